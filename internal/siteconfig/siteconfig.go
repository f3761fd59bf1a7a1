// Package siteconfig reads the users' JSON configuration of a site and of one instance in it. It converts the settings
// to the types of package policy, in the same way for the simulator's adapter and for a running instance, and validates
// configurations. It makes no decisions, contains no tuning constants and keeps no state.
//
// There are two JSON objects. The configuration is the complete file of an instance. The settings are its value under
// the key "settings"; the simulator supplies only these. Exported functions name their parameter config or settings
// accordingly. A missing key reads as the zero value; Problems reports the keys that are required. Times are in
// microseconds in the JSON, and in milliseconds in return values.
//
// siteconfig.go reads single values, instance.go builds the policy.Config, and problems.go validates.
package siteconfig

import (
	"math"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

// Enum values of the settings and their counterparts in package policy.
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

// Classes returns the request classes and their names in the order of the settings. Both slices use the same index.
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

// OnDemandDiscovery reports whether discovery sends the endpoint list only to instances that subscribe.
func OnDemandDiscovery(settings gjson.Result) bool {
	return settings.Get("discovery").Str == "subscribe"
}

// LoadReports reports whether responses and probe results may carry load reports.
func LoadReports(settings gjson.Result) (inResponses, inProbes bool) {
	source := settings.Get("report.source").Str
	return source == "answers", source == "answers" || source == "probe"
}

// ConnectionTimes returns the connect timeout and the idle timeout of backend connections, in ms.
func ConnectionTimes(settings gjson.Result) (connect, idle float64) {
	return Milliseconds(settings.Get("limits.connect-timeout-us")), Milliseconds(settings.Get("limits.idle-close-us"))
}

// VoteTimeout returns the timeout for the response to a vote, in ms.
func VoteTimeout(settings gjson.Result) float64 {
	return Milliseconds(settings.Get("family-info.call-timeout-us"))
}

// ZonesAndHardware returns the names of the zones and of the hardware classes. Package policy refers to both by their
// index.
func ZonesAndHardware(settings gjson.Result) (zones, hardwareClasses []string) {
	return stringList(settings.Get("dcs")), stringList(settings.Get("skus"))
}

// MaxOpenRequests returns the limit on concurrently open requests; 0 means no limit.
func MaxOpenRequests(settings gjson.Result) int { return int(settings.Get("limits.max-open").Int()) }

// CancelAllowed reports whether an attempt that has been sent may be canceled.
func CancelAllowed(settings gjson.Result) bool { return settings.Get("limits.cancel").Bool() }

// Limits returns the limits on sockets and on memory (MiB); 0 means no limit.
func Limits(config gjson.Result) (sockets, memoryMB int) {
	return int(config.Get("limits.sockets").Int()), int(config.Get("limits.memory_mb").Int())
}

// Cores returns the limit on concurrently running threads, rounded up; 0 means no limit.
func Cores(config gjson.Result) int { return int(math.Ceil(config.Get("limits.cores").Num)) }

// Seed parses the seed for random numbers, a hexadecimal number. The error is that of strconv.ParseUint.
func Seed(config gjson.Result) (uint64, error) {
	return strconv.ParseUint(config.Get("seed").Str, 16, 64)
}

// Milliseconds converts a JSON number of microseconds to milliseconds.
func Milliseconds(value gjson.Result) float64 { return float64(value.Int()) / 1000 }

func numberList(list gjson.Result) (numbers []float64) {
	for _, value := range list.Array() {
		numbers = append(numbers, value.Num)
	}
	return numbers
}

func stringList(list gjson.Result) (texts []string) {
	for _, value := range list.Array() {
		texts = append(texts, value.Str)
	}
	return texts
}
