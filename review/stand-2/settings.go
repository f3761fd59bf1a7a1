package main

import "net/http"

// The settings of small deployments, with the figures of their pages.

const ms = 1000 // microseconds, the unit of the settings

func grade(name, effect string, aim, deadline, window int, worth, late float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "aim-us": aim * ms, "deadline-us": deadline * ms, "key-scope": "all", "key-ttl-us": window * ms,
		"worth": worth, "late-value": late, "streamed": false,
	}
}

func limits(retryAfter bool) map[string]any {
	return map[string]any{
		"cancel": true, "connect-timeout-us": 250 * ms, "idle-close-us": 15000 * ms, "max-attempts": 5, "max-open": 20000,
		"max-retry-after-us": 2000 * ms, "parallel-tries": true, "peers": false, "probes": true, "retry-after": retryAfter,
		"streams-per-conn": 100, "cpu-us-per-request": 0, "cpu-us-per-s": 100000,
	}
}

// kartor returns the settings of kartor-main, for an instance with the given number among 3.
func kartor(me int) map[string]any {
	return map[string]any{
		"balancers": 3, "me": me, "zone": 0, "dcs": []string{"falun-hall"}, "skus": []string{"k2-fast", "k3-std"},
		"service-type": "rollout", "discovery": "subscribe", "weight-kind": "rough", "worth-by": "work", "over-share-worth": 0.1,
		"customers": []any{}, "client-habits": map[string]any{"marks-retry": true},
		"grades": []any{
			grade("route-plan", "repeatable", 500, 2000, 5000, 3, 0),
			grade("piste-status", "repeatable", 300, 1000, 5000, 1, 0),
			grade("print-order", "by_key", 250, 600, 400, 5, 0),
		},
		"limits": limits(true),
		"report": map[string]any{"source": "none", "fields": []string{}},
		"contract": map[string]any{
			"answer-slack-us": 20 * ms, "ask-every-us": 10000 * ms, "cold-from": 0.35, "drain-grace-us": 250 * ms, "fall-us": 1000 * ms,
			"overload-factor": 4.0, "warm-up-us": 4300 * ms,
		},
		"family-info": map[string]any{
			"decided-by": "single", "ayes-needed": 1, "back-votes": 1, "hold-votes": 0, "ballot-ttl-us": 6000 * ms, "call-timeout-us": 1200 * ms,
			"calls-per-s": 200, "counted-by": "all", "counted-over-us": 4000 * ms, "spare-tries": 2.0, "guarded-stages": 0, "keys-stay": false,
			"most-shares": []float64{0.06, 0.24, 0.6, 1}, "rings": []float64{0.05, 0.2, 0.5, 1}, "soak-us": 1500 * ms,
			"replace-mode": "rolling", "news-period-us": 4000 * ms, "metrics-period-us": 0, "complaint-share": 0.15,
		},
		"tariffs": map[string]any{"probe": 0.01, "cross-zone": 0.0, "waste": 0.08, "late-fail": 0.05},
	}
}

var kartorClasses = []class{
	{name: "route-plan", method: http.MethodGet, wait: 2000e6, share: 0.47},
	{name: "piste-status", method: http.MethodGet, wait: 1000e6, share: 0.43},
	{name: "print-order", method: http.MethodPost, keyed: true, wait: 600e6, share: 0.10},
}

// lahore returns the settings of lahore-render, for an instance with the given number among the given number.
func lahore(me, instances int) map[string]any {
	return map[string]any{
		"balancers": instances, "me": me, "zone": 0, "dcs": []string{"lhr-dc1"}, "skus": []string{"three-core", "four-core"},
		"service-type": "rollout", "discovery": "automatic", "weight-kind": "nominal", "worth-by": "request", "over-share-worth": 0.1,
		"customers": []any{}, "client-habits": map[string]any{"marks-retry": true},
		"grades": []any{
			grade("page-preview", "repeatable", 1500, 6000, 5000, 2, 0),
			grade("layout-save", "repeatable", 1200, 5000, 5000, 3, 0),
			grade("pdf-export", "by_key", 1200, 5000, 10000, 3, 0.2),
		},
		"limits": limits(false),
		"report": map[string]any{"source": "answers", "fields": []string{"q", "busy", "rate"}},
		"contract": map[string]any{
			"answer-slack-us": 20 * ms, "ask-every-us": 10000 * ms, "cold-from": 0.32, "drain-grace-us": 2000 * ms, "fall-us": 3000 * ms,
			"overload-factor": 3.0, "warm-up-us": 4900 * ms,
		},
		"family-info": map[string]any{
			"decided-by": "majority", "ayes-needed": 2, "back-votes": 1, "hold-votes": 0, "ballot-ttl-us": 10000 * ms, "call-timeout-us": 800 * ms,
			"calls-per-s": 75, "counted-by": "per_lane", "counted-over-us": 3000 * ms, "spare-tries": 2.0, "guarded-stages": 0, "keys-stay": true,
			"most-shares": []float64{0.08, 0.2, 0.5, 1, 1}, "rings": []float64{0.04, 0.1, 0.25, 0.55, 1}, "soak-us": 2000 * ms,
			"replace-mode": "rolling", "news-period-us": 4000 * ms, "metrics-period-us": 0, "complaint-share": 0.0,
		},
		"tariffs": map[string]any{"probe": 0.01, "cross-zone": 0.0, "waste": 0.05, "late-fail": 0.03},
	}
}

var lahoreClasses = []class{
	{name: "page-preview", method: http.MethodGet, wait: 6000e6, share: 0.52},
	{name: "layout-save", method: http.MethodGet, wait: 5000e6, share: 0.33},
	{name: "pdf-export", method: http.MethodPost, keyed: true, wait: 5000e6, share: 0.15},
}

// cuenca returns the settings of cuenca-factoring, for an instance with the given number among the given number.
func cuenca(me, instances int) map[string]any {
	return map[string]any{
		"balancers": instances, "me": me, "zone": 0, "dcs": []string{"totoracocha", "el-ejido"}, "skus": []string{"full-node", "slim-node"},
		"service-type": "rollout", "discovery": "subscribe", "weight-kind": "nominal", "worth-by": "request", "over-share-worth": 0.2,
		"customers": []any{}, "client-habits": map[string]any{"marks-retry": true},
		"grades": []any{
			grade("invoice-status", "repeatable", 800, 3000, 5000, 2, 0.1),
			grade("quote-refresh", "repeatable", 800, 3000, 5000, 2, 0.1),
			grade("advance-order", "once", 1000, 3000, 5000, 6, 0.1),
		},
		"limits": limits(true),
		"report": map[string]any{"source": "probe", "fields": []string{"rate"}},
		"contract": map[string]any{
			"answer-slack-us": 20 * ms, "ask-every-us": 10000 * ms, "cold-from": 0.42, "drain-grace-us": 1000 * ms, "fall-us": 1000 * ms,
			"overload-factor": 3.0, "warm-up-us": 5000 * ms,
		},
		"family-info": map[string]any{
			"decided-by": "majority", "ayes-needed": max(instances*6/10, 1), "back-votes": max(instances/4, 1), "hold-votes": 0,
			"ballot-ttl-us": 4000 * ms, "call-timeout-us": 800 * ms, "calls-per-s": 80, "counted-by": "all", "counted-over-us": 3000 * ms,
			"spare-tries": 2.0, "guarded-stages": 0, "keys-stay": false, "most-shares": []float64{0.14, 0.49, 1}, "rings": []float64{0.1, 0.35, 1},
			"soak-us": 1000 * ms, "replace-mode": "side_by_side", "news-period-us": 2000 * ms, "metrics-period-us": 0, "complaint-share": 0.15,
		},
		"tariffs": map[string]any{"probe": 0.01, "cross-zone": 0.01, "waste": 0.08, "late-fail": 0.08},
	}
}

var cuencaClasses = []class{
	{name: "invoice-status", method: http.MethodGet, wait: 3000e6, share: 0.43},
	{name: "quote-refresh", method: http.MethodGet, wait: 3000e6, share: 0.31},
	{name: "advance-order", method: http.MethodPost, wait: 3000e6, share: 0.26},
}
