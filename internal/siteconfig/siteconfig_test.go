package siteconfig

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

const validConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"pipeline":{"address":"127.0.0.1:3","news":{}},
"known":{"version":1,"full":true,"servers":[]},"settings":{"grades":[{"name":"p","effect":"repeatable","aim-us":1,
"deadline-us":2}],"limits":{"max-attempts":5,"connect-timeout-us":250000,"idle-close-us":30000000},
"family-info":{"call-timeout-us":800000,"decided-by":"majority"}}}`

// Each invalid value is reported by its key in the JSON, and nothing else is reported.
func TestProblems(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		want           string // the only line expected; "" if none is
	}{
		{"valid", "", "", ""},
		{"listen", "127.0.0.1:1", "nowhere", `listen is not an address: "nowhere"`},
		{"discovery", `"discovery":"127.0.0.1:2"`, `"discovery":null`, `discovery is not an address: ""`},
		{"platform", "127.0.0.1:3", "", `pipeline.address is not an address: ""`},
		{"release updates", `"news":{}`, `"news":null`, "pipeline.news is missing"},
		{"known endpoints", `"servers":[]`, `"servers":{}`, "known.servers is missing"},
		{"seed", "8c1f30d27a5be964", "xyz", `seed is not a hexadecimal number: "xyz"`},
		{"few sockets", `"sockets":1024`, `"sockets":9`, "limits.sockets leaves no room for work: 9"},
		{"negative sockets", `"sockets":1024`, `"sockets":-1`, "limits.sockets leaves no room for work: -1"},
		{"no limit on sockets", `"sockets":1024`, `"sockets":0`, ""},
		{"minimum of sockets", `"sockets":1024`, `"sockets":24`, ""},
		{"little memory", `"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb leaves no room for work: 1"},
		{"no classes", `"grades":[`, `"other":[`, "settings.grades names no product"},
		{"class without a name", `"name":"p",`, ``, "settings.grades.0 has no name"},
		{"unknown semantics", "repeatable", "often", "settings.grades.0.effect is unknown"},
		{"no objective", `"aim-us":1,`, "", "settings.grades.0 has no aim-us or deadline-us"},
		{"no attempts", `"max-attempts":5`, `"max-attempts":0`, "settings.limits.max-attempts allows no submission"},
		{"no time to connect", `"connect-timeout-us":250000,`, "", "settings.limits has no connect-timeout-us or idle-close-us"},
		{"no time for votes", `"call-timeout-us":800000,`, "", "settings.family-info.call-timeout-us is missing"},
		{"unknown control", "majority", "dice", `settings.family-info.decided-by is unknown: "dice"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var want []string
			if c.want != "" {
				want = []string{c.want}
			}
			if lines := Problems(gjson.Parse(strings.Replace(validConfig, c.from, c.to, 1))); !slices.Equal(lines, want) {
				t.Errorf("Problems() = %q, want %q", lines, want)
			}
		})
	}
}

// An empty configuration lacks every required key. The problems are reported in this order.
func TestProblemsOfEmptyConfiguration(t *testing.T) {
	want := []string{
		`listen is not an address: ""`,
		`discovery is not an address: ""`,
		`pipeline.address is not an address: ""`,
		`seed is not a hexadecimal number: ""`,
		"pipeline.news is missing",
		"known.servers is missing",
		"settings is missing",
		"settings.grades names no product",
		"settings.limits.max-attempts allows no submission",
		"settings.limits has no connect-timeout-us or idle-close-us",
		"settings.family-info.call-timeout-us is missing",
		`settings.family-info.decided-by is unknown: ""`,
	}
	if lines := Problems(gjson.Parse(`{}`)); !slices.Equal(lines, want) {
		t.Errorf("Problems() of {} = %q, want %q", lines, want)
	}
}

func TestSeed(t *testing.T) {
	if seed, err := Seed(gjson.Parse(validConfig)); err != nil || seed != 0x8c1f30d27a5be964 {
		t.Errorf("Seed() = %x, %v, want 8c1f30d27a5be964", seed, err)
	}
}

// The lower of the process's and the settings' limit applies; 0 means no limit.
func TestMaxOpenRequests(t *testing.T) {
	for _, c := range []struct {
		name              string
		settings          string
		processLimit, max int
	}{
		{"none", `{}`, 0, 0},
		{"the process's", `{}`, 40, 40},
		{"the settings'", `{"limits":{"max-open":30}}`, 0, 30},
		{"the settings' is lower", `{"limits":{"max-open":30}}`, 40, 30},
		{"the process's is lower", `{"limits":{"max-open":30}}`, 20, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := InstanceConfig(gjson.Parse(c.settings), 1, c.processLimit).MaxOpenRequests; got != c.max {
				t.Errorf("MaxOpenRequests = %d, want %d", got, c.max)
			}
		})
	}
}

// The settings are converted to the fields of policy.Config, in the units of package policy.
func TestInstanceConfig(t *testing.T) {
	settings := `{"me":2,"balancers":9,"zone":1,"discovery":"subscribe","tariffs":{"probe":0.5,"cross-zone":0.1},
"limits":{"max-attempts":5,"parallel-tries":true,"cancel":true,"retry-after":true,"max-retry-after-us":2000,"peers":true,"probes":true},
"contract":{"ask-every-us":3000,"cold-from":0.3,"warm-up-us":4000,"overload-factor":3,"fall-us":5000},
"family-info":{"spare-tries":2,"most-shares":[0.1,1],"counted-over-us":6000,"guarded-stages":1,"counted-by":"per_lane","keys-stay":true,
"rings":[0.2,1],"decided-by":"clocked","back-votes":3,"ballot-ttl-us":7000},
"customers":[{"quota-per-s":20}],"over-share-worth":0.25,
"grades":[{"name":"p","aim-us":1000,"aim-stretch":1.5,"deadline-us":2000,"worth":4,"late-value":0.5,"effect":"by_key","key-scope":"zone",
"key-ttl-us":8000,"streamed":true}]}`
	want := policy.Config{
		Seed: 7, Index: 2, Instances: 9, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true, MaxRetryAfter: 2,
		PeerMessages: true, ProbesAllowed: true, ProbePrice: 0.5, Zone: 1, CrossZoneCharged: true,
		Classes: []policy.RequestClass{{
			LatencyObjective: 1, ObjectivePerWork: 1.5, Timeout: 2, Value: 4, LateValue: 0.5, Semantics: policy.Idempotent,
			DedupScope: policy.DedupZone, DedupWindow: 8, Streamed: true,
		}},
		Discovery: policy.DiscoveryConfig{SubscriptionRequired: true, RefreshInterval: 3},
		SlowStart: policy.SlowStartConfig{InitialCapacity: 0.3, WarmUp: 4, OverloadFactor: 3, OverloadWindow: 5},
		Exposure:  policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 1}, Window: 6, GuardedStages: 1, PerClass: true, KeyAffinity: true},
		Rollout:   policy.RolloutConfig{Stages: []float64{0.2, 1}, Control: policy.ControlTimed, RollbackVotes: 3, VoteLifetime: 7},
		Tenants:   policy.TenantConfig{Quotas: []float64{0.02}, OverQuotaValue: 0.25},
	}
	if got := InstanceConfig(gjson.Parse(settings), 7, 0); !reflect.DeepEqual(got, want) {
		t.Errorf("InstanceConfig() = %+v\nwant %+v", got, want)
	}
}
