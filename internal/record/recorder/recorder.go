// Package recorder keeps the record of a running instance: it intercepts each request before and after its response,
// performs the I/O that the ledger asks for, and exports to the store in the background. Requests never wait for the
// store. What is written and exported, and when, is decided by package record.
package recorder

// The request side: what is recorded of a response, and how long the response waits for its entry to be durable.

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// Options configures a Recorder.
type Options struct {
	Settings Config
	Instance string         // name of the instance, which must not change across restarts
	Classes  []string       // names of the request classes, by number
	Now      func() float64 // clock of the instance (ms)
	Seed     uint64         // seed for randomized backoff
}

// Recorder keeps the record of one instance. It implements core.Interceptor and is safe for concurrent use.
type Recorder struct {
	config   Config
	now      func() float64 // ms
	classes  []string       // names of the request classes, by number
	spool    *spool.Spool
	writer   *spool.Writer
	exporter *exporter

	wake chan struct{} // wakes the writer

	mu        sync.Mutex
	ledger    *record.Ledger
	confirmed chan struct{} // closed and replaced after each write or sync, whether or not it succeeded
	health    record.Health // as last logged
	unsynced  uint64        // responses sent before their entries were durable
}

// memoryRoot is the root directory of an in-memory spool.
const memoryRoot = "memory"

// New opens the spool and begins a new incarnation. The error may wrap spool.ErrLocked or spool.ErrCopied.
func New(options Options) (*Recorder, error) {
	if options.Instance == "" {
		return nil, errors.New("record: instance name is empty, but entries are stored under it")
	}
	if options.Settings.Mode == "memory" {
		return newOn(spool.NewMemory(), memoryRoot, options)
	}
	return newOn(spool.Disk{}, options.Settings.Directory, options)
}

// newOn is New with a given file system.
func newOn(files spool.FS, root string, options Options) (*Recorder, error) {
	config, instance := options.Settings, options.Instance
	opened, err := spool.Open(files, root, instance)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	r := &Recorder{
		config: config, now: options.Now, classes: options.Classes, spool: opened,
		wake: make(chan struct{}, 1), confirmed: make(chan struct{}),
	}
	bytes := opened.Bytes()
	if r.writer, err = opened.NewIncarnation(); err == nil {
		r.ledger = record.NewLedger(config.ledgerOptions(instance, r.writer.Incarnation, bytes))
		r.exporter, err = newRecorderExporter(r, options.Seed)
	}
	if err != nil {
		opened.Close()
		return nil, fmt.Errorf("record: %w", err)
	}
	logrus.WithFields(logrus.Fields{
		"incarnation": r.writer.Incarnation, "mode": config.Mode, "store": config.Store.Kind,
		"spool_bytes": bytes, "earlier": len(opened.Incarnations()) - 1,
	}).Info("record")
	return r, nil
}

// Admit rejects requests while nothing can be written to the spool, if so configured. For a rejected request, it
// returns a reason; for an admitted one, the part of its time (ms) that is reserved for the wait in BeforeResponse.
func (r *Recorder) Admit(now float64) (reserve float64, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.RejectsRequests(now) {
		return 0, "unrecorded"
	}
	return r.config.Reserve.Ms(), ""
}

var outcomeByAction = map[core.ActionKind]record.Outcome{
	core.ActionServe:  record.OutcomeServed,
	core.ActionReject: record.OutcomeRejected,
	core.ActionFail:   record.OutcomeFailed,
}

func (r *Recorder) newEntry(completion core.Completion) record.Entry {
	class := ""
	if completion.Class >= 0 && completion.Class < len(r.classes) {
		class = r.classes[completion.Class]
	}
	return record.Entry{
		RequestID: completion.RequestID, Class: class, Outcome: outcomeByAction[completion.Kind], Reason: completion.Reason,
		Release: int(completion.Release), Backend: completion.Backend, Attempts: completion.Attempts,
		ArrivedAt: completion.ArrivedAt, AnsweredAt: completion.Now, BodyDigest: record.DigestOf(completion.Body),
		KeyDigest: record.DigestOf([]byte(completion.IdempotencyKey)),
	}
}

// BeforeResponse adds the entry of a response and waits until it is durable, or can't be expected to become durable in
// time, but no longer than until `until` (ms). It returns the entry's ordinal for AfterResponse, or nil if the response
// is only counted in a gap.
func (r *Recorder) BeforeResponse(completion core.Completion, until float64) any {
	entry := r.newEntry(completion)
	r.mu.Lock()
	ordinal, recorded := r.ledger.AddEntry(completion.Now, entry)
	delay := min(r.ledger.CommitDelay(completion.Now), until-completion.Now)
	confirmed := r.confirmed
	r.mu.Unlock()
	r.wakeWriter()
	if !recorded {
		return nil
	}
	failpoint.At("record.queued")
	if failpoint.Defect("answer-before-sync") {
		return ordinal
	}
	if delay > 0 {
		r.awaitDurable(ordinal, confirmed, delay)
		return ordinal
	}
	if r.config.syncs() {
		r.mu.Lock()
		r.unsynced++
		r.mu.Unlock()
	}
	return ordinal
}

// awaitDurable waits until the entry is durable, delay (ms) has passed, or the spool can't be written. confirmed must
// be the value of r.confirmed when the entry was added.
func (r *Recorder) awaitDurable(ordinal uint64, confirmed <-chan struct{}, delay float64) {
	timer := time.NewTimer(duration(delay))
	defer timer.Stop()
	for {
		late := false
		select {
		case <-confirmed:
		case <-timer.C:
			late = true
		}
		r.mu.Lock()
		durable := r.ledger.Confirmed() >= ordinal
		abandoned := !durable && (late || r.ledger.CommitDelay(r.now()) <= 0)
		if abandoned {
			r.unsynced++
		}
		confirmed = r.confirmed
		r.mu.Unlock()
		if durable {
			failpoint.At("record.durable")
		}
		if durable || abandoned {
			return
		}
	}
}

// AfterResponse notes that a response has ended and whether it was delivered completely. ordinal is the result of
// BeforeResponse.
func (r *Recorder) AfterResponse(ordinal any, now float64, delivered bool) {
	n, ok := ordinal.(uint64)
	if !ok { // the response was counted in a gap
		return
	}
	failpoint.At("record.answered")
	r.mu.Lock()
	r.ledger.AddCompletion(now, n, delivered)
	r.mu.Unlock()
	r.wakeWriter()
}

// Abandoned does nothing: a request that ended without a response has no entry.
func (r *Recorder) Abandoned(float64) {}

// Status holds the current figures of the record.
type Status struct {
	record.Counts
	Health            record.Health
	SpoolBytes        int64  // all incarnations together
	QueuedBytes       int    // of frames that are not confirmed yet
	Unsynced          uint64 // responses sent before their entries were durable
	Exported, InDoubt uint64
	Results           record.ExportCounts
	OldestWaiting     float64 // ms since the running incarnation's next row to export was answered; 0 if it is a gap or there is none
}

// Status returns the current figures.
func (r *Recorder) Status() Status {
	r.mu.Lock()
	status := Status{
		Counts: r.ledger.Counts(), Health: r.ledger.Health(r.now()), SpoolBytes: r.ledger.SpoolBytes(),
		QueuedBytes: r.ledger.QueuedBytes(), Unsynced: r.unsynced,
	}
	r.mu.Unlock()
	r.exporter.addStatus(&status)
	return status
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
