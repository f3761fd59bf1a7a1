// Package siteconfig owns the reading of what an agent is told at its start: it turns the settings JSON into the module's
// calls, once for the simulator's adapter and the live agent alike, and says what is wrong with a configuration. It
// must never hold a decision or a tuned value, nor keep the settings in a record of its own.
package siteconfig

import (
	"fmt"
	"math"
	"net"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

var (
	effects = map[string]policy.Semantics{"repeatable": policy.Safe, "by_key": policy.Idempotent,
		"once": policy.NonIdempotent}
	groups   = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}
	controls = map[string]policy.RolloutControl{"single": policy.ControlSingleVote, "majority": policy.ControlMajority,
		"clocked": policy.ControlTimed}
)

// InstanceConfig is the settings in the terms of the decisions. The instance can hold maxOpen requests, 0: any number.
func InstanceConfig(s gjson.Result, seed uint64, maxOpen int) policy.Config {
	limits, tariffs := s.Get("limits"), s.Get("tariffs")
	_, classes := Classes(s)
	if open := MaxOpenRequests(s); open > 0 && (maxOpen <= 0 || open < maxOpen) {
		maxOpen = open
	}
	retryAfter := 0.0
	if limits.Get("retry-after").Bool() {
		retryAfter = Milliseconds(limits.Get("max-retry-after-us"))
	}
	return policy.Config{
		Seed: seed, Index: int(s.Get("me").Int()), Instances: int(s.Get("balancers").Int()),
		Classes: classes, MaxAttempts: int(limits.Get("max-attempts").Int()),
		ConcurrentAttempts: limits.Get("parallel-tries").Bool(), CancelAllowed: CancelAllowed(s),
		MaxOpenRequests: maxOpen, MaxRetryAfter: retryAfter,
		PeerMessages: limits.Get("peers").Bool(), ProbesAllowed: limits.Get("probes").Bool(), ProbePrice: tariffs.Get("probe").Num,
		Zone: int(s.Get("zone").Int()), CrossZonePrice: tariffs.Get("cross-zone").Num > 0,
		Discovery: policy.DiscoveryConfig{OnDemand: OnDemandDiscovery(s), RefreshInterval: Milliseconds(s.Get("contract.ask-every-us"))},
		SlowStart: slowStart(s.Get("contract")), Exposure: exposure(s.Get("family-info")), Rollout: rollout(s.Get("family-info")),
		Tenants: tenants(s),
	}
}

func slowStart(contract gjson.Result) policy.SlowStartConfig {
	return policy.SlowStartConfig{
		InitialCapacity: contract.Get("cold-from").Num, WarmUp: Milliseconds(contract.Get("warm-up-us")),
		OverloadFactor: contract.Get("overload-factor").Num, OverloadWindow: Milliseconds(contract.Get("fall-us")),
	}
}

func exposure(family gjson.Result) policy.ExposureConfig {
	return policy.ExposureConfig{
		FreeAttempts: family.Get("spare-tries").Num, Caps: numbers(family.Get("most-shares")),
		Window: Milliseconds(family.Get("counted-over-us")), GuardedStages: int(family.Get("guarded-stages").Int()),
		PerClass: family.Get("counted-by").Str == "per_lane", KeyAffinity: family.Get("keys-stay").Bool(),
	}
}

func rollout(family gjson.Result) policy.RolloutConfig {
	return policy.RolloutConfig{
		Stages: numbers(family.Get("rings")), Control: controls[family.Get("decided-by").Str],
		RollbackVotes: int(family.Get("back-votes").Int()), VoteLifetime: Milliseconds(family.Get("ballot-ttl-us")),
	}
}

func tenants(s gjson.Result) policy.TenantConfig {
	quotas := []float64{}
	s.Get("customers").ForEach(func(_, c gjson.Result) bool {
		quotas = append(quotas, c.Get("quota-per-s").Num/1000)
		return true
	})
	return policy.TenantConfig{Quotas: quotas, OverQuotaValue: s.Get("over-share-worth").Num}
}

// Classes are the products' names and figures, under one index.
func Classes(s gjson.Result) (names []string, products []policy.RequestClass) {
	s.Get("grades").ForEach(func(_, g gjson.Result) bool {
		names = append(names, g.Get("name").Str)
		products = append(products, policy.RequestClass{
			LatencyObjective: Milliseconds(g.Get("aim-us")), ObjectivePerWork: g.Get("aim-stretch").Num, Timeout: Milliseconds(g.Get("deadline-us")),
			Value: g.Get("worth").Num, LateValue: g.Get("late-value").Num, Semantics: effects[g.Get("effect").Str],
			DedupScope: groups[g.Get("key-scope").Str], DedupWindow: Milliseconds(g.Get("key-ttl-us")), Streamed: g.Get("streamed").Bool(),
		})
		return true
	})
	return names, products
}

// OnDemandDiscovery tells that the list comes only to those who ask for it.
func OnDemandDiscovery(s gjson.Result) bool { return s.Get("discovery").Str == "subscribe" }

// LoadReports tells whether answers, and probes, may carry load reports.
func LoadReports(s gjson.Result) (answers, probes bool) {
	source := s.Get("report.source").Str
	return source == "answers", source == "answers" || source == "probe"
}

// ConnectionTimes is how long a connection may take to come up and how long one may stand idle.
func ConnectionTimes(s gjson.Result) (up, idle float64) {
	return Milliseconds(s.Get("limits.connect-timeout-us")), Milliseconds(s.Get("limits.idle-close-us"))
}

// VoteTimeout is how long a vote is waited for.
func VoteTimeout(s gjson.Result) float64 { return Milliseconds(s.Get("family-info.call-timeout-us")) }

// ZonesAndHardware are the names of zones and kinds of machine, which the module knows by number.
func ZonesAndHardware(s gjson.Result) (zones, kinds []string) {
	return words(s.Get("dcs")), words(s.Get("skus"))
}

// MaxOpenRequests is how many txns may be held at once; 0: nothing is said of it.
func MaxOpenRequests(s gjson.Result) int { return int(s.Get("limits.max-open").Int()) }

// CancelAllowed tells that a submission may be called off.
func CancelAllowed(s gjson.Result) bool { return s.Get("limits.cancel").Bool() }

// Limits are the socket and memory limits; 0: none.
func Limits(config gjson.Result) (sockets, memoryMB int) {
	return int(config.Get("limits.sockets").Int()), int(config.Get("limits.memory_mb").Int())
}

// Cores is how many threads may work at once; 0: nothing is said of it.
func Cores(config gjson.Result) int { return int(math.Ceil(config.Get("limits.cores").Num)) }

// Seed starts chance.
func Seed(config gjson.Result) (uint64, error) {
	return strconv.ParseUint(config.Get("seed").Str, 16, 64)
}

// Problems says what keeps a configuration from being used, one line each.
func Problems(config gjson.Result) (lines []string) {
	wrong := func(bad bool, format string, args ...any) {
		if bad {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	address := func(name, value string) {
		_, _, err := net.SplitHostPort(value)
		wrong(err != nil, "%s is not an address: %q", name, value)
	}
	address("listen", config.Get("listen").Str)
	address("discovery", config.Get("discovery").Str)
	address("pipeline.address", config.Get("pipeline.address").Str)
	_, err := Seed(config)
	wrong(err != nil, "seed is not a hexadecimal number: %q", config.Get("seed").Str)
	wrong(!config.Get("pipeline.news").IsObject(), "pipeline.news is missing")
	wrong(!config.Get("known.servers").IsArray(), "known.servers is missing")
	sockets, memory := Limits(config)
	wrong(sockets < 0 || sockets > 0 && sockets < 24, "limits.sockets leaves no room for work: %d", sockets)
	wrong(memory < 0 || memory > 0 && memory < 24, "limits.memory_mb leaves no room for work: %d", memory)
	s := config.Get("settings")
	wrong(!s.IsObject(), "settings is missing")
	names, products := Classes(s)
	wrong(len(names) == 0, "settings.grades names no product")
	for i, p := range products {
		wrong(names[i] == "", "settings.grades.%d has no name", i)
		_, known := effects[s.Get(fmt.Sprintf("grades.%d.effect", i)).Str]
		wrong(!known, "settings.grades.%d.effect is unknown", i)
		wrong(p.LatencyObjective <= 0 || p.Timeout <= 0, "settings.grades.%d has no aim-us or deadline-us", i)
	}
	wrong(s.Get("limits.max-attempts").Int() < 1, "settings.limits.max-attempts allows no submission")
	up, idle := ConnectionTimes(s)
	wrong(up <= 0 || idle <= 0, "settings.limits has no connect-timeout-us or idle-close-us")
	wrong(VoteTimeout(s) <= 0, "settings.family-info.call-timeout-us is missing")
	_, known := controls[s.Get("family-info.decided-by").Str]
	wrong(!known, "settings.family-info.decided-by is unknown: %q", s.Get("family-info.decided-by").Str)
	return lines
}

// Milliseconds reads microseconds.
func Milliseconds(v gjson.Result) float64 { return float64(v.Int()) / 1000 }

func numbers(list gjson.Result) (out []float64) {
	for _, v := range list.Array() {
		out = append(out, v.Num)
	}
	return out
}

func words(list gjson.Result) (out []string) {
	for _, v := range list.Array() {
		out = append(out, v.Str)
	}
	return out
}
