package assembly

// This file owns how the configuration is read, and what holds of it for one process.

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

// Read reads a configuration. Its error says all that is wrong with it, a line each.
func Read(path string) (gjson.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) {
		return gjson.Result{}, fmt.Errorf("%s is not JSON", path)
	}
	configuration := gjson.ParseBytes(text)
	var problems []error
	for _, line := range siteconfig.Problems(configuration) {
		problems = append(problems, errors.New(line))
	}
	if len(problems) > 0 {
		return configuration, fmt.Errorf("%s can't be used: %w", path, errors.Join(problems...))
	}
	return configuration, nil
}

// effectiveConfig is what holds for this process: the configuration, and the options that replace some of it.
type effectiveConfig struct {
	configuration, settings gjson.Result
	name, listen, discovery string
	seed                    uint64
	sockets, memoryMB       int // limits; 0: none
	classNames              []string
	classes                 []policy.RequestClass
}

func newEffectiveConfig(o Options, configuration gjson.Result) effectiveConfig {
	settings := configuration.Get("settings")
	s := effectiveConfig{
		configuration: configuration,
		settings:      settings,
		name:          cmp.Or(o.Name, configuration.Get("name").Str),
		listen:        cmp.Or(o.Listen, configuration.Get("listen").Str),
		discovery:     cmp.Or(o.Discovery, configuration.Get("discovery").Str),
	}
	s.seed, _ = siteconfig.Seed(configuration) // Read has seen that it is one
	s.sockets, s.memoryMB = siteconfig.Limits(configuration)
	s.classNames, s.classes = siteconfig.Classes(settings)
	return s
}

func (s effectiveConfig) platform() string { return s.configuration.Get("pipeline.address").Str }

func (s effectiveConfig) instances() int { return int(s.settings.Get("balancers").Int()) }

func (s effectiveConfig) knownBackends() int { return len(s.configuration.Get("known.servers").Array()) }

const (
	bytesPerMB = 1 << 20
	// defaultBodyBytes may be taken by requests' bodies where no limit of memory is set.
	defaultBodyBytes = 1 << 30
	// gcPercent: little is live at some hundreds of requests a second, and the collector cheap; at more, peaks would pass for
	// growth.
	gcPercent = 150
)

// bodyBytes is how much requests' bodies may take: a quarter of the memory.
func (s effectiveConfig) bodyBytes() int64 {
	if s.memoryMB > 0 {
		return int64(s.memoryMB) * bytesPerMB / 4
	}
	return defaultBodyBytes
}

// limitProcess holds the process to the cores and the memory that the configuration allows it.
func (s effectiveConfig) limitProcess() {
	if cores := siteconfig.Cores(s.configuration); cores > 0 { // more threads at once than that only take turns on it
		runtime.GOMAXPROCS(cores)
	}
	if s.memoryMB > 0 {
		// The rest is for stacks, the program itself and what the collector is late with.
		debug.SetMemoryLimit(int64(s.memoryMB) * bytesPerMB * 6 / 10)
		debug.SetGCPercent(gcPercent)
	}
}
