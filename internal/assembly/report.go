package assembly

// This file owns the log lines of counts. The table of them is in docs/oncall.md.

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// report logs the decisions' own lines and, every so often, the counts.
func (s *Server) report(ctx context.Context) {
	tick := time.NewTicker(s.options.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-s.core.LogLines():
			logrus.Info(line)
		case <-tick.C:
			s.logCounts()
		}
	}
}

// logCounts logs one line for each part that counts.
func (s *Server) logCounts() {
	s.core.CheckClock() // once a second, as its comment asks
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
	opened, idle, unsent := s.upstream.Connections()
	all, clients, idleClients := s.sockets.Used()
	version, listed := s.discovery.Version()
	logrus.WithFields(logrus.Fields{
		"cpu_ms": cpuMs(),
		"taken":  n.Accepted, "settled": n.Served, "declined": n.Rejected, "voided": n.Failed, "gone": n.ClientGone,
		"bad_input": s.front.Refused.Load(), "open": n.OpenRequests,
		"out": n.OpenAttempts, "ends": fmt.Sprint(n.AttemptsByStatus[policy.StatusServed:]), "withdrawn": n.AttemptsWithheld,
		"sockets": all, "clients": clients, "clients_idle": idleClients,
		"opened": opened, "idle": idle, "unsent": unsent,
		"list": version, "listed": listed,
		"timers": n.Timers, "broken": invariant.Violations(),
	}).Info("counts")
}

// cpuMs is the processor time that the process has used, in ms.
func cpuMs() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // the kernel refuses it to nobody; a report is not worth an end
	}
	return (usage.Utime.Nano() / 1e6) + (usage.Stime.Nano() / 1e6)
}

func (s *Server) logReleases() {
	r := s.core.Counts().Releases
	logrus.WithFields(logrus.Fields{
		"newest": r.Newest.Release, "phase": r.Newest.Phase.String(), "stage": r.Newest.Stage, "cap": r.Newest.Cap,
		"trial": r.RollingOut, "keys": r.Keys,
		"withheld_closed": r.Skipped.Closed, "withheld_cap": r.Skipped.CapReached, "withheld_affinity": r.Skipped.Affinity,
	}).Info("releases")
}

func (s *Server) logSources() {
	n := s.sources.Counts()
	logrus.WithFields(logrus.Fields{
		"lookups": n.Lookups, "questions": n.Questions, "failures": n.FailedLookups, "negative": n.NegativeAnswers,
		"changes": n.Changes, "running": n.Running, "known": n.Known,
		"doubt_discovery": n.Doubt[0], "doubt_srv": n.Doubt[1],
	}).Info("sources")
}

func (s *Server) logRecord() {
	status := s.recorder.Status()
	logrus.WithFields(logrus.Fields{
		"spool": status.Health.String(), "entries": status.Entries, "notes": status.Notes, "gaps": status.Gaps,
		"missed": status.Missed, "syncs": status.Syncs, "failures": status.Failures, "unsynced": status.Unsynced,
		"spool_bytes": status.Used, "queued_bytes": status.Queued, "shipped": status.Shipped, "in_doubt": status.InDoubt,
		"oldest_ms": int(status.Oldest), "replies": fmt.Sprint(status.Replies),
	}).Info("record")
}
