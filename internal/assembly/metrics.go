package assembly

// The metrics of an instance, one table per component. Tests in internal/ci compare them with the table in
// docs/oncall.md.

import (
	"context"
	"fmt"

	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/internal/invariant"
	"onyxgate/internal/metrics"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/host"
)

// metric is one time series whose value is computed from a component's counters.
type metric[Counts any] struct {
	name  string // including labels; the suffix _total marks a counter
	help  string
	value func(Counts) float64
}

var requestMetrics = []metric[core.Counts]{
	{"onyxgate_requests_accepted_total", "requests accepted from clients", func(n core.Counts) float64 { return float64(n.Accepted) }},
	{`onyxgate_requests_ended_total{outcome="served"}`, "answered by a backend", func(n core.Counts) float64 { return float64(n.Served) }},
	{`onyxgate_requests_ended_total{outcome="rejected"}`, "rejected: the client may safely try again", func(n core.Counts) float64 { return float64(n.Rejected) }},
	{`onyxgate_requests_ended_total{outcome="failed"}`, "failed: the request may have run", func(n core.Counts) float64 { return float64(n.Failed) }},
	{`onyxgate_requests_ended_total{outcome="client_gone"}`, "the client left before its answer", func(n core.Counts) float64 { return float64(n.ClientGone) }},
	{"onyxgate_requests_open", "requests without an answer yet", func(n core.Counts) float64 { return float64(n.OpenRequests) }},
	{"onyxgate_attempts_open", "attempts at backends without a result yet", func(n core.Counts) float64 { return float64(n.OpenAttempts) }},
	{"onyxgate_attempts_withheld_total", "attempts no longer allowed when their connection was established", func(n core.Counts) float64 { return float64(n.AttemptsWithheld) }},
	{"onyxgate_invariant_violations_total", "violations of invariants", func(core.Counts) float64 { return float64(invariant.Violations()) }},
}

var socketMetrics = []metric[httpwire.SocketUsage]{
	{"onyxgate_client_connections", "connections of clients", func(u httpwire.SocketUsage) float64 { return float64(u.Clients) }},
	{"onyxgate_client_connections_idle", "client connections that carry no request", func(u httpwire.SocketUsage) float64 { return float64(u.IdleClients) }},
	{"onyxgate_client_connections_receiving", "client connections on which a request has begun to arrive and is not complete", func(u httpwire.SocketUsage) float64 { return float64(u.ReceivingClients) }},
	{"onyxgate_accept_blocked_seconds_total", "time for which new connections had to wait in the backlog for a socket", func(u httpwire.SocketUsage) float64 { return u.AcceptBlocked.Seconds() }},
	{"onyxgate_incomplete_requests_rejected_total", "requests rejected before they were complete, to make room for others", func(u httpwire.SocketUsage) float64 { return float64(u.IncompleteRejected) }},
	{"onyxgate_new_connections_rejected_total", "new connections answered with a rejection and closed before a byte had arrived, to make room for others", func(u httpwire.SocketUsage) float64 { return float64(u.UnsentRejected) }},
}

var memoryMetrics = []metric[httpwire.MemoryUsage]{
	{"onyxgate_reserved_memory_bytes", "memory reserved for large heads, bodies and responses", func(u httpwire.MemoryUsage) float64 { return float64(u.Used) }},
	{`onyxgate_memory_reservations_total{result="waited"}`, "reservations that had to wait for memory", func(u httpwire.MemoryUsage) float64 { return float64(u.Waited) }},
	{`onyxgate_memory_reservations_total{result="refused"}`, "reservations refused after they had waited", func(u httpwire.MemoryUsage) float64 { return float64(u.Refused) }},
	{`onyxgate_memory_reservations_total{result="taken_back"}`, "reservations taken back from incomplete requests and from clients that do not read", func(u httpwire.MemoryUsage) float64 { return float64(u.Evicted) }},
}

var releaseMetrics = []metric[core.Counts]{
	{"onyxgate_release_newest", "number of the newest release", func(n core.Counts) float64 { return float64(n.Releases.Newest.Release) }},
	{"onyxgate_release_stage", "stage of the newest release", func(n core.Counts) float64 { return float64(n.Releases.Newest.Stage) }},
	{"onyxgate_release_rolling_out", "number of the newest running release under a cap", func(n core.Counts) float64 { return float64(n.Releases.RollingOut) }},
	{"onyxgate_affinity_keys", "keys remembered with the release that answered them", func(n core.Counts) float64 { return float64(n.Releases.AffinityKeys) }},
	{`onyxgate_backends_skipped_total{reason="closed"}`, "backends skipped: their release is closed to the request", func(n core.Counts) float64 { return float64(n.Releases.Skipped.Closed) }},
	{`onyxgate_backends_skipped_total{reason="cap"}`, "backends skipped: their release has used up its allowance", func(n core.Counts) float64 { return float64(n.Releases.Skipped.CapReached) }},
	{`onyxgate_backends_skipped_total{reason="affinity"}`, "backends skipped: the key has affinity to a later release", func(n core.Counts) float64 { return float64(n.Releases.Skipped.Affinity) }},
}

var sourceMetrics = []metric[host.Counts]{
	{"onyxgate_sources_lookups_total", "look-ups of the service's name", func(n host.Counts) float64 { return float64(n.Lookups) }},
	{"onyxgate_sources_questions_total", "DNS questions sent", func(n host.Counts) float64 { return float64(n.Questions) }},
	{"onyxgate_sources_failed_lookups_total", "look-ups that failed", func(n host.Counts) float64 { return float64(n.FailedLookups) }},
	{"onyxgate_sources_negative_answers_total", "answers that the service does not exist", func(n host.Counts) float64 { return float64(n.NegativeAnswers) }},
	{"onyxgate_sources_changes_total", "changes of the fleet passed to the core", func(n host.Counts) float64 { return float64(n.Changes) }},
	{"onyxgate_sources_backends_running", "backends running, according to all sources", func(n host.Counts) float64 { return float64(n.Running) }},
	{`onyxgate_sources_doubted{source="discovery"}`, "1 while discovery is doubted, else 0", doubtGauge(sources.Discovery)},
	{`onyxgate_sources_doubted{source="srv"}`, "1 while SRV is doubted, else 0", doubtGauge(sources.SRV)},
}

// ruleMetric counts changes by the rule that decided them. It has one time series, labeled with the rule, for each
// entry of sources.Rules.
const ruleMetric = "onyxgate_sources_changes_by_rule_total"

var recordMetrics = []metric[recorder.Status]{
	{"onyxgate_record_entries_total", "answers recorded", func(s recorder.Status) float64 { return float64(s.Entries) }},
	{"onyxgate_record_syncs_total", "syncs of the spool", func(s recorder.Status) float64 { return float64(s.Syncs) }},
	{"onyxgate_record_spool_failures_total", "failed writes and syncs of the spool", func(s recorder.Status) float64 { return float64(s.Failures) }},
	{"onyxgate_record_unsynced_total", "answers sent before their entry was durable", func(s recorder.Status) float64 { return float64(s.Unsynced) }},
	{"onyxgate_record_unrecorded_total", "answers that were not recorded", func(s recorder.Status) float64 { return float64(s.Unrecorded) }},
	{"onyxgate_record_gaps_total", "gaps in the record", func(s recorder.Status) float64 { return float64(s.Gaps) }},
	{"onyxgate_record_exported_total", "entries and gaps exported to the store", func(s recorder.Status) float64 { return float64(s.Exported) }},
	{"onyxgate_record_in_doubt_total", "exported entries in doubt: an earlier process died before their completion", func(s recorder.Status) float64 { return float64(s.InDoubt) }},
	{"onyxgate_record_spool_bytes", "size of the spool", func(s recorder.Status) float64 { return float64(s.SpoolBytes) }},
	{"onyxgate_record_queued_bytes", "bytes waiting to be written to the spool", func(s recorder.Status) float64 { return float64(s.QueuedBytes) }},
	{"onyxgate_record_oldest_unexported_seconds", "age of the next entry to export; 0 if a gap is next or nothing waits", func(s recorder.Status) float64 { return s.OldestWaiting / 1000 }},
}

// doubtGauge returns the value function of a gauge that is 1 while the source is doubted and 0 otherwise.
func doubtGauge(source sources.Source) func(host.Counts) float64 {
	return func(n host.Counts) float64 {
		if n.Doubt[source] != "" {
			return 1
		}
		return 0
	}
}

// rulesMetrics returns a counter of changes for each rule.
func rulesMetrics() (all []metric[host.Counts]) {
	for i, rule := range sources.Rules() {
		all = append(all, metric[host.Counts]{
			fmt.Sprintf("%s{rule=%q}", ruleMetric, rule), "changes decided by this rule",
			func(n host.Counts) float64 { return float64(n.ChangesByRule[i]) },
		})
	}
	return all
}

// serveMetrics starts the metrics endpoint if the settings name a listen address.
func (s *Server) serveMetrics(ctx context.Context) {
	table := s.options.Settings.Metrics
	if table.Listen == "" {
		return
	}
	meter := metrics.New()
	register(meter, requestMetrics, s.core.Counts)
	register(meter, releaseMetrics, s.core.Counts)
	register(meter, socketMetrics, s.sockets.Usage)
	register(meter, memoryMetrics, s.memory.Usage)
	if s.sources != nil {
		register(meter, sourceMetrics, s.sources.Counts)
		register(meter, rulesMetrics(), s.sources.Counts)
	}
	if s.recorder != nil {
		register(meter, recordMetrics, s.recorder.Status)
	}
	go meter.Serve(ctx, table)
}

// register adds the metrics of a table. Each scrape reads the counters anew.
func register[Counts any](meter *metrics.Meter, table []metric[Counts], counts func() Counts) {
	for _, m := range table {
		meter.Gauge(m.name, func() float64 { return m.value(counts()) })
	}
}
