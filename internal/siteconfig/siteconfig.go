// Package siteconfig reads what the users' JSON says of a site and of one instance in it: it turns the settings into the terms of
// the decisions, the same for the simulator's adapter and for a live process, and says what keeps a configuration from being used.
// It holds no decision, no tuned value and no state.
//
// There are two objects. The configuration is the whole file of a live instance; the settings are the part of it under the key
// "settings", and all that the simulator gives. A function's parameter says which one it reads. A key that is missing reads as the
// zero value: Problems names those that must not be missing. Times in the JSON are microseconds, those that are returned
// milliseconds.
//
// siteconfig.go reads single values, instance.go makes the decisions' configuration, problems.go checks.
package siteconfig

import (
	"math"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

// The words of the settings in the terms of the decisions.
var (
	semantics = map[string]policy.Semantics{
		"repeatable": policy.Safe, "by_key": policy.Idempotent, "once": policy.NonIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
	}
	rolloutControls = map[string]policy.RolloutControl{
		"single": policy.ControlSingleVote, "majority": policy.ControlMajority, "clocked": policy.ControlTimed,
	}
)

// Classes returns the names of the request classes and the classes, under one index, in the settings' order.
func Classes(settings gjson.Result) (names []string, classes []policy.RequestClass) {
	settings.Get("grades").ForEach(func(_, grade gjson.Result) bool {
		names = append(names, grade.Get("name").Str)
		classes = append(classes, requestClass(grade))
		return true
	})
	return names, classes
}

func requestClass(grade gjson.Result) policy.RequestClass {
	return policy.RequestClass{
		LatencyObjective: Milliseconds(grade.Get("aim-us")), ObjectivePerWork: grade.Get("aim-stretch").Num,
		Timeout: Milliseconds(grade.Get("deadline-us")),
		Value:   grade.Get("worth").Num, LateValue: grade.Get("late-value").Num,
		Semantics:  semantics[grade.Get("effect").Str],
		DedupScope: dedupScopes[grade.Get("key-scope").Str], DedupWindow: Milliseconds(grade.Get("key-ttl-us")),
		Streamed: grade.Get("streamed").Bool(),
	}
}

// OnDemandDiscovery tells that the endpoint list comes only to those who ask for it.
func OnDemandDiscovery(settings gjson.Result) bool {
	return settings.Get("discovery").Str == "subscribe"
}

// LoadReports tells whether responses, and probes, may carry load reports.
func LoadReports(settings gjson.Result) (inResponses, inProbes bool) {
	source := settings.Get("report.source").Str
	return source == "answers", source == "answers" || source == "probe"
}

// ConnectionTimes returns how long (ms) a connection may take to come up, and how long one may stay idle.
func ConnectionTimes(settings gjson.Result) (connect, idle float64) {
	return Milliseconds(settings.Get("limits.connect-timeout-us")), Milliseconds(settings.Get("limits.idle-close-us"))
}

// VoteTimeout is how long (ms) the response to a vote is waited for.
func VoteTimeout(settings gjson.Result) float64 {
	return Milliseconds(settings.Get("family-info.call-timeout-us"))
}

// ZonesAndHardware returns the names of the zones and of the hardware classes. The decisions know both by their index here.
func ZonesAndHardware(settings gjson.Result) (zones, hardwareClasses []string) {
	return stringList(settings.Get("dcs")), stringList(settings.Get("skus"))
}

// MaxOpenRequests is how many requests may be open at once; 0: the settings set no limit.
func MaxOpenRequests(settings gjson.Result) int { return int(settings.Get("limits.max-open").Int()) }

// CancelAllowed tells that an attempt that was sent may be canceled.
func CancelAllowed(settings gjson.Result) bool { return settings.Get("limits.cancel").Bool() }

// Limits returns the limits on sockets and on memory (MiB); 0: none.
func Limits(config gjson.Result) (sockets, memoryMB int) {
	return int(config.Get("limits.sockets").Int()), int(config.Get("limits.memory_mb").Int())
}

// Cores is how many threads may work at once; 0: the configuration sets no limit.
func Cores(config gjson.Result) int { return int(math.Ceil(config.Get("limits.cores").Num)) }

// Seed is the seed of the random numbers. The error is that of strconv.ParseUint.
func Seed(config gjson.Result) (uint64, error) {
	return strconv.ParseUint(config.Get("seed").Str, 16, 64)
}

// Milliseconds reads a number of microseconds.
func Milliseconds(value gjson.Result) float64 { return float64(value.Int()) / 1000 }

func numberList(list gjson.Result) (numbers []float64) {
	for _, value := range list.Array() {
		numbers = append(numbers, value.Num)
	}
	return numbers
}

func stringList(list gjson.Result) (words []string) {
	for _, value := range list.Array() {
		words = append(words, value.Str)
	}
	return words
}
