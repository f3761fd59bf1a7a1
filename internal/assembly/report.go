package assembly

// The periodic log lines with counters. docs/oncall.md lists their fields.

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// reportLoop logs the lines written by the decision core and, every ReportInterval, the counters.
func (s *Server) reportLoop(ctx context.Context) {
	tick := time.NewTicker(s.options.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-s.core.LogLines():
			logrus.Info(line)
		case <-tick.C:
			s.core.CheckClock() // should run about once a second; with a longer ReportInterval, clock steps are detected later
			s.logCounts()
		}
	}
}

// logCounts logs one line of counters per component.
func (s *Server) logCounts() {
	s.logTraffic()
	s.logReleases()
	if s.sources != nil {
		s.logSources()
	}
	if s.recorder != nil {
		s.logRecord()
	}
}

func (s *Server) logTraffic() {
	n := s.core.Counts()
	opened, idle, withoutSocket := s.upstream.Connections()
	sockets := s.sockets.Usage()
	memory := s.memory.Usage()
	version, listed := s.discovery.Version()
	logrus.WithFields(logrus.Fields{
		"cpu_ms":   cpuMs(),
		"accepted": n.Accepted, "served": n.Served, "rejected": n.Rejected, "failed": n.Failed, "client_gone": n.ClientGone,
		"invalid_requests": s.front.InvalidRequests(), "client_left_early": s.front.ClientsLeft(), "requests_open": n.OpenRequests,
		"attempts_open": n.OpenAttempts, "attempts_ended": fmt.Sprint(n.AttemptsByStatus[policy.StatusServed:]), "attempts_withheld": n.AttemptsWithheld,
		"sockets": sockets.Open, "client_connections": sockets.Clients, "client_connections_idle": sockets.IdleClients,
		"client_connections_receiving": sockets.ReceivingClients, "accept_blocked_ms": sockets.AcceptBlocked.Milliseconds(),
		"incomplete_rejected": sockets.IncompleteRejected, "unsent_rejected": sockets.UnsentRejected, "requests_paused": s.front.PausedRequests(),
		"memory_reserved_bytes": memory.Used, "memory_reserved_peak_bytes": memory.Peak,
		"memory_waited": memory.Waited, "memory_refused": memory.Refused, "memory_taken_back": memory.Evicted,
		"backend_connections_opened": opened, "backend_connections_idle": idle, "attempts_without_socket": withoutSocket,
		"list_version": version, "backends": listed,
		"timers": n.Timers, "invariant_violations": invariant.Violations(),
	}).Info("counts")
}

// cpuMs returns the CPU time used by the process so far, in ms.
func cpuMs() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // getrusage does not fail for the calling process, and a report is not worth a crash
	}
	return (usage.Utime.Nano() / 1e6) + (usage.Stime.Nano() / 1e6)
}

func (s *Server) logReleases() {
	r := s.core.Counts().Releases
	logrus.WithFields(logrus.Fields{
		"release": r.Newest.Release, "phase": r.Newest.Phase.String(), "stage": r.Newest.Stage, "cap": r.Newest.Cap,
		"rolling_out": r.RollingOut, "affinity_keys": r.AffinityKeys,
		"skipped_closed": r.Skipped.Closed, "skipped_cap": r.Skipped.CapReached, "skipped_affinity": r.Skipped.Affinity,
	}).Info("releases")
}

func (s *Server) logSources() {
	n := s.sources.Counts()
	logrus.WithFields(logrus.Fields{
		"lookups": n.Lookups, "questions": n.Questions, "failed_lookups": n.FailedLookups, "negative_answers": n.NegativeAnswers,
		"changes": n.Changes, "backends_running": n.Running, "backends": n.Backends,
		"doubt_discovery": n.Doubt[0], "doubt_srv": n.Doubt[1],
	}).Info("sources")
}

func (s *Server) logRecord() {
	status := s.recorder.Status()
	logrus.WithFields(logrus.Fields{
		"spool_state": status.Health.String(), "entries": status.Entries, "completions": status.Completions, "gaps": status.Gaps,
		"unrecorded": status.Unrecorded, "syncs": status.Syncs, "spool_failures": status.Failures, "unsynced": status.Unsynced,
		"spool_bytes": status.SpoolBytes, "queued_bytes": status.QueuedBytes, "exported": status.Exported, "in_doubt": status.InDoubt,
		"oldest_unexported_ms": int(status.OldestWaiting), "store_results": fmt.Sprint(status.Results),
	}).Info("record")
}
