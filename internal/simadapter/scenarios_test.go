package simadapter

import "maps"

// This file defines the settings of the fleets in the replay test, in the simulator's format.

func classSettings(effect, scope string, worth float64, streamed bool) map[string]any {
	return map[string]any{
		"name": "class", "effect": effect, "key-scope": scope, "worth": worth, "streamed": streamed,
		"aim-us": 1_200_000, "deadline-us": 5_000_000, "key-ttl-us": 2_000_000, "late-value": 0.2, "aim-stretch": 0.0,
	}
}

func contractSettings() map[string]any {
	return map[string]any{
		"answer-slack-us": 20_000, "ask-every-us": 10_000_000, "cold-from": 0.32, "drain-grace-us": 2_000_000,
		"fall-us": 3_000_000, "overload-factor": 3.0, "warm-up-us": 4_900_000,
	}
}

func familySettings(decidedBy string, change map[string]any) map[string]any {
	out := map[string]any{
		"ayes-needed": 2, "back-votes": 1, "ballot-ttl-us": 10_000_000, "call-timeout-us": 800_000,
		"counted-by": "per_lane", "counted-over-us": 3_000_000, "decided-by": decidedBy, "guarded-stages": 0, "keys-stay": true,
		"most-shares": []float64{0.08, 0.2, 0.5, 1, 1}, "rings": []float64{0.04, 0.1, 0.25, 0.55, 1}, "soak-us": 2_000_000,
		"spare-tries": 2.0,
	}
	maps.Copy(out, change)
	return out
}

func limitSettings(change map[string]any) map[string]any {
	out := map[string]any{
		"cancel": true, "connect-timeout-us": 250_000, "idle-close-us": 30_000_000, "max-attempts": 5,
		"max-open": 2000, "max-retry-after-us": 2_000_000, "parallel-tries": true, "peers": false, "probes": true, "retry-after": true,
	}
	maps.Copy(out, change)
	return out
}

// scenarios cover the ways in which deployments differ, with about an hour of simulated time in total.
var scenarios = []scenario{
	{name: "few", seed: 11, instances: 3, seconds: 600, backends: 12, zones: 1, rate: 6, faultEvery: 15, settings: map[string]any{
		"balancers": 3, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(nil), "tariffs": map[string]any{"probe": 0.01},
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("by_key", "all", 3, false), classSettings("once", "all", 5, false)},
		"family-info": familySettings("majority", nil),
	}},
	{name: "one-subscribes", seed: 12, instances: 1, seconds: 900, backends: 6, zones: 1, rate: 12, faultEvery: 20, settings: map[string]any{
		"balancers": 1, "discovery": "subscribe", "contract": contractSettings(),
		"limits":      limitSettings(map[string]any{"cancel": false, "parallel-tries": false, "max-attempts": 3}),
		"grades":      []map[string]any{classSettings("repeatable", "all", 1, true), classSettings("by_key", "cell", 3, false)},
		"family-info": familySettings("single", map[string]any{"counted-by": "all", "keys-stay": false}),
	}},
	{name: "zones-tenants", seed: 13, instances: 2, seconds: 600, backends: 18, zones: 3, rate: 9, faultEvery: 12, settings: map[string]any{
		"balancers": 6, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(nil), "tariffs": map[string]any{"cross-zone": 0.05},
		"customers":        []map[string]any{{"name": "a", "quota-per-s": 20.0}, {"name": "b", "quota-per-s": 10.0}, {"name": "c", "quota-per-s": 3.0}},
		"over-share-worth": 0.1, "hints": true,
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("by_key", "zone", 3, false), classSettings("once", "all", 9, false)},
		"family-info": familySettings("clocked", map[string]any{"guarded-stages": 2}),
	}},
	{name: "many", seed: 14, instances: 3, seconds: 600, backends: 30, zones: 2, rate: 5, faultEvery: 15, settings: map[string]any{
		"balancers": 300, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(nil), "tariffs": map[string]any{"probe": 0.01},
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("by_key", "all", 3, false), classSettings("by_key", "cell", 4, false)},
		"family-info": familySettings("majority", map[string]any{"back-votes": 1}),
	}},
	{name: "many-peers", seed: 15, instances: 3, seconds: 600, backends: 20, zones: 1, rate: 7, faultEvery: 25, settings: map[string]any{
		"balancers": 40, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(map[string]any{"peers": true}), "tariffs": map[string]any{"probe": 0.05},
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("repeatable", "all", 1, true)},
		"family-info": familySettings("majority", map[string]any{"back-votes": 5}),
	}},
	{name: "overload", seed: 16, instances: 2, seconds: 300, backends: 4, zones: 1, rate: 32, faultEvery: 20, settings: map[string]any{
		"balancers": 24, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(map[string]any{"max-open": 150}), "tariffs": map[string]any{"probe": 0.01},
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("once", "all", 9, false)},
		"family-info": familySettings("majority", map[string]any{"back-votes": 2}),
	}},
	{name: "stalled-rollout", seed: 17, instances: 2, seconds: 300, backends: 12, zones: 1, rate: 8, faultEvery: 40, quorum: 3, settings: map[string]any{
		"balancers": 4, "discovery": "automatic", "contract": contractSettings(),
		"limits": limitSettings(nil), "tariffs": map[string]any{"probe": 0.01},
		"grades":      []map[string]any{classSettings("repeatable", "all", 2, false), classSettings("by_key", "all", 3, false)},
		"family-info": familySettings("majority", map[string]any{"ballot-ttl-us": 6_000_000}),
	}},
}
