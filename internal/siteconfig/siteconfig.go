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

// NewInstance hands each part of a new module its own settings; the agent can bear so many txns at once, 0: any number.
func NewInstance(port policy.Port, seed uint64, s gjson.Result, most int) *policy.Instance {
	rules, fam, lim := s.Get("contract"), s.Get("family-info"), s.Get("limits")
	a := policy.New(port, seed, int(s.Get("me").Int()), int(s.Get("balancers").Int()))
	_, products := Classes(s)
	a.Serve(products, int(lim.Get("max-attempts").Int()), lim.Get("parallel-tries").Bool(), lim.Get("cancel").Bool())
	if open := MaxOpenRequests(s); open > 0 && (most <= 0 || open < most) {
		most = open
	}
	if most > 0 {
		a.Hold(float64(most))
	}
	a.Share(lim.Get("peers").Bool())
	a.Probing(lim.Get("probes").Bool(), s.Get("tariffs.probe").Num)
	wait := 0.0
	if lim.Get("retry-after").Bool() {
		wait = Milliseconds(lim.Get("max-retry-after-us"))
	}
	a.Advise(wait)
	a.Zone(int(s.Get("zone").Int()), s.Get("tariffs.cross-zone").Num > 0)
	a.Watch(OnDemandDiscovery(s), Milliseconds(rules.Get("drain-grace-us")), Milliseconds(rules.Get("ask-every-us")))
	a.Warm(rules.Get("cold-from").Num, Milliseconds(rules.Get("warm-up-us")), rules.Get("overload-factor").Num,
		Milliseconds(rules.Get("fall-us")))
	a.Expose(fam.Get("spare-tries").Num, numbers(fam.Get("most-shares")), int(fam.Get("guarded-stages").Int()),
		fam.Get("counted-by").Str == "per_lane", fam.Get("keys-stay").Bool())
	a.CountOver(Milliseconds(fam.Get("counted-over-us")))
	a.Judge(numbers(fam.Get("rings")), controls[fam.Get("decided-by").Str], int(fam.Get("back-votes").Int()),
		Milliseconds(fam.Get("ballot-ttl-us")))
	quotas := []float64{}
	s.Get("customers").ForEach(func(_, c gjson.Result) bool {
		quotas = append(quotas, c.Get("quota-per-s").Num/1000)
		return true
	})
	a.Tenants(quotas, s.Get("over-share-worth").Num)
	return a
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
