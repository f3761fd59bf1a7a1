package siteconfig

import (
	"fmt"
	"net"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

// The lowest limits with which an instance can do useful work.
const (
	minSockets  = 24
	minMemoryMB = 24
)

// problems collects the errors of a configuration. The texts are read by users and must not change.
type problems []string

func (p *problems) addIf(bad bool, format string, args ...any) {
	if bad {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

func (p *problems) checkAddress(key, value string) {
	_, _, err := net.SplitHostPort(value)
	p.addIf(err != nil, "%s is not an address: %q", key, value)
}

func (p *problems) checkLimit(key string, limit, minimum int) {
	tooLow := limit > 0 && limit < minimum
	p.addIf(limit < 0 || tooLow, "%s leaves no room for work: %d", key, limit)
}

// Problems validates a configuration. It returns one line per problem, which names the key, and none if the
// configuration is valid.
func Problems(config gjson.Result) (lines []string) {
	var p problems
	p.checkAddress("listen", config.Get("listen").Str)
	p.checkAddress("discovery", config.Get("discovery").Str)
	p.checkAddress("pipeline.address", config.Get("pipeline.address").Str)
	_, err := Seed(config)
	p.addIf(err != nil, "seed is not a hexadecimal number: %q", config.Get("seed").Str)
	p.addIf(!config.Get("pipeline.news").IsObject(), "pipeline.news is missing")
	p.addIf(!config.Get("known.servers").IsArray(), "known.servers is missing")
	sockets, memoryMB := Limits(config)
	p.checkLimit("limits.sockets", sockets, minSockets)
	p.checkLimit("limits.memory_mb", memoryMB, minMemoryMB)
	p.checkSettings(config.Get("settings"))
	return p
}

func (p *problems) checkSettings(settings gjson.Result) {
	p.addIf(!settings.IsObject(), "settings is missing")
	p.checkClasses(settings)
	p.addIf(settings.Get("limits.max-attempts").Int() < 1, "settings.limits.max-attempts allows no submission")
	connect, idle := ConnectionTimes(settings)
	p.addIf(connect <= 0 || idle <= 0, "settings.limits has no connect-timeout-us or idle-close-us")
	p.addIf(VoteTimeout(settings) <= 0, "settings.family-info.call-timeout-us is missing")
	control := settings.Get("family-info.decided-by").Str
	_, known := rolloutControls[control]
	p.addIf(!known, "settings.family-info.decided-by is unknown: %q", control)
}

func (p *problems) checkClasses(settings gjson.Result) {
	names, classes := Classes(settings)
	p.addIf(len(names) == 0, "settings.grades names no product")
	for i, class := range classes {
		p.addIf(names[i] == "", "settings.grades.%d has no name", i)
		p.addIf(!knownSemantics(settings, i), "settings.grades.%d.effect is unknown", i)
		p.addIf(!hasTimes(class), "settings.grades.%d has no aim-us or deadline-us", i)
	}
}

func knownSemantics(settings gjson.Result, class int) bool {
	_, known := semantics[settings.Get(fmt.Sprintf("grades.%d.effect", class)).Str]
	return known
}

func hasTimes(class policy.RequestClass) bool { return class.LatencyObjective > 0 && class.Timeout > 0 }
