package assembly

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/tidwall/gjson"

	"onyxgate/internal/siteconfig"
	"onyxgate/policy"
)

// Read reads and validates a configuration file. The error lists every problem found, one per line.
func Read(path string) (gjson.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) {
		return gjson.Result{}, fmt.Errorf("%s: not valid JSON", path)
	}
	configuration := gjson.ParseBytes(text)
	var problems []error
	for _, line := range siteconfig.Problems(configuration) {
		problems = append(problems, errors.New(line))
	}
	if len(problems) > 0 {
		return configuration, fmt.Errorf("%s: invalid configuration: %w", path, errors.Join(problems...))
	}
	return configuration, nil
}

// effectiveConfig is the configuration of this process after the overrides in Options have been applied.
type effectiveConfig struct {
	configuration, settings gjson.Result
	name, listen, discovery string
	seed                    uint64
	sockets, memoryMB       int // limits; 0 means unlimited
	classNames              []string
	classes                 []policy.RequestClass
}

func newEffectiveConfig(o Options, configuration gjson.Result) effectiveConfig {
	settings := configuration.Get("settings")
	c := effectiveConfig{
		configuration: configuration,
		settings:      settings,
		name:          cmp.Or(o.Name, configuration.Get("name").Str),
		listen:        cmp.Or(o.Listen, configuration.Get("listen").Str),
		discovery:     cmp.Or(o.Discovery, configuration.Get("discovery").Str),
	}
	c.seed, _ = siteconfig.Seed(configuration) // Read has validated the seed
	c.sockets, c.memoryMB = siteconfig.Limits(configuration)
	c.classNames, c.classes = siteconfig.Classes(settings)
	return c
}

func (c effectiveConfig) platform() string { return c.configuration.Get("pipeline.address").Str }

func (c effectiveConfig) instances() int { return int(c.settings.Get("balancers").Int()) }

func (c effectiveConfig) knownBackends() int {
	return len(c.configuration.Get("known.servers").Array())
}

const (
	bytesPerMB = 1 << 20
	// gcPercent is only moderately above Go's default of 100: at some hundreds of requests per second, the live heap is
	// small and its collection cheap. With a higher value, peaks of the heap could be mistaken for growth.
	gcPercent = 150
)

// memoryBytes returns the limit on the memory of the process; 0 means no limit.
func (c effectiveConfig) memoryBytes() int64 { return int64(c.memoryMB) * bytesPerMB }

// limitProcess applies the configured core and memory limits to the Go runtime.
func (c effectiveConfig) limitProcess() {
	if cores := siteconfig.Cores(c.configuration); cores > 0 { // more threads would only compete for the same cores
		runtime.GOMAXPROCS(cores)
	}
	if c.memoryMB > 0 {
		// The rest is a reserve for the program itself and for garbage that is collected late.
		debug.SetMemoryLimit(int64(c.memoryMB) * bytesPerMB * 7 / 10)
		debug.SetGCPercent(gcPercent)
	}
}
