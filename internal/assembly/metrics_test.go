package assembly

import (
	"testing"

	"onyxgate/internal/core"
	"onyxgate/internal/metrics"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/host"
	"onyxgate/policy"
)

// valueOf returns the value of the named metric for the given counters.
func valueOf[Counts any](t *testing.T, table []metric[Counts], name string, counts Counts) float64 {
	t.Helper()
	for _, m := range table {
		if m.name == name {
			return m.value(counts)
		}
	}
	t.Fatalf("no metric %q in the table", name)
	return 0
}

// Registering a duplicate name panics, so registering all tables in one meter checks that the names are unique.
func TestMetricNames(t *testing.T) {
	meter := metrics.New()
	register(meter, requestMetrics, func() core.Counts { return core.Counts{} })
	register(meter, releaseMetrics, func() core.Counts { return core.Counts{} })
	register(meter, sourceMetrics, func() host.Counts { return host.Counts{} })
	register(meter, rulesMetrics(), func() host.Counts { return host.Counts{} })
	register(meter, recordMetrics, func() recorder.Status { return recorder.Status{} })
	if got, want := len(rulesMetrics()), len(sources.Rules()); got != want {
		t.Errorf("len(rulesMetrics()) = %d, want %d", got, want)
	}
}

// Metrics return the counters that their names refer to.
func TestMetricValues(t *testing.T) {
	counts := core.Counts{
		Accepted: 1, Served: 2, Rejected: 3, Failed: 4, ClientGone: 5, OpenRequests: 6, OpenAttempts: 7, AttemptsWithheld: 8,
		Releases: policy.ReleaseStatus{RollingOut: 9, AffinityKeys: 10},
	}
	for name, want := range map[string]float64{
		"onyxgate_requests_accepted_total":                     1,
		`onyxgate_requests_ended_total{outcome="served"}`:      2,
		`onyxgate_requests_ended_total{outcome="rejected"}`:    3,
		`onyxgate_requests_ended_total{outcome="failed"}`:      4,
		`onyxgate_requests_ended_total{outcome="client_gone"}`: 5,
		"onyxgate_requests_open":                               6,
		"onyxgate_attempts_open":                               7,
		"onyxgate_attempts_withheld_total":                     8,
	} {
		if got := valueOf(t, requestMetrics, name, counts); got != want {
			t.Errorf("%s = %v, want %v", name, got, want)
		}
	}
	if got := valueOf(t, releaseMetrics, "onyxgate_release_rolling_out", counts); got != 9 {
		t.Errorf("onyxgate_release_rolling_out = %v, want 9", got)
	}
	if got := valueOf(t, releaseMetrics, "onyxgate_affinity_keys", counts); got != 10 {
		t.Errorf("onyxgate_affinity_keys = %v, want 10", got)
	}
	doubted := host.Counts{Doubt: [2]string{"", "silent"}, FailedLookups: 3}
	if got := valueOf(t, sourceMetrics, `onyxgate_sources_doubted{source="srv"}`, doubted); got != 1 {
		t.Errorf("SRV doubted = %v, want 1", got)
	}
	if got := valueOf(t, sourceMetrics, `onyxgate_sources_doubted{source="discovery"}`, doubted); got != 0 {
		t.Errorf("discovery doubted = %v, want 0", got)
	}
	if got := valueOf(t, recordMetrics, "onyxgate_record_oldest_unexported_seconds", recorder.Status{OldestWaiting: 1500}); got != 1.5 {
		t.Errorf("onyxgate_record_oldest_unexported_seconds = %v, want 1.5", got)
	}
}
