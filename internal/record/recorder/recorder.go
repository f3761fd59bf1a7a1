// Package recorder is the part of an instance that keeps the record: it intercepts each request before and after its
// response, carries out what the ledger wants written, and exports to the store in the background. It must never choose
// what the ledger or the export scheduler chooses, nor let a request wait for the store.
package recorder

// This file owns the requests' side: what is recorded of a response, and how long the response waits for it.

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

// Options are what a recorder is made with.
type Options struct {
	Settings Config
	Instance string         // its name, which must be the same after a restart
	Classes  []string       // names of request classes, by number
	Now      func() float64 // the instance's clock (ms)
	Seed     uint64         // of random pauses
}

// Recorder keeps one instance's record. It is a core.Interceptor; its methods may be called from any goroutine.
type Recorder struct {
	config   Config
	now      func() float64 // ms
	classes  []string       // names, by number
	spool    *spool.Spool
	writer   *spool.Writer
	exporter *exporter

	wake chan struct{} // tells the writer that there is something to do

	mu        sync.Mutex
	ledger    *record.Ledger
	confirmed chan struct{} // closed and made anew with each confirmation or failure
	health    record.Health // as it was logged last
	unsynced  uint64        // answers that went before they were durable
}

// memoryRoot is where a spool in memory has its directories.
const memoryRoot = "memory"

// New takes the spool and begins an incarnation. Errors wrap spool.ErrLocked and spool.ErrCopied.
func New(options Options) (*Recorder, error) {
	if options.Instance == "" {
		return nil, errors.New("record: an agent without a name can't keep one: entries would be nobody's")
	}
	if options.Settings.Mode == "memory" {
		return newOn(spool.NewMemory(), memoryRoot, options)
	}
	return newOn(spool.Disk{}, options.Settings.Directory, options)
}

// newOn is New on a file system.
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

// Admit rejects while the spool takes nothing, where that is what the settings say. Of a request that is admitted, reserve
// (ms) of its time is kept for the wait in BeforeResponse.
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

// BeforeResponse holds an answer until its entry is durable, or until that is no longer to be expected in time, at the
// latest until `until` (ms). It returns the entry's ordinal for AfterResponse, or nil where it is only counted in a gap.
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

// awaitDurable returns once an entry is durable, after delay (ms), or when the spool fails meanwhile. confirmed is the
// channel that was there when the entry was added.
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

// AfterResponse notes the end of an answer: whether it was delivered whole. ordinal is what BeforeResponse returned.
func (r *Recorder) AfterResponse(ordinal any, now float64, delivered bool) {
	n, ok := ordinal.(uint64)
	if !ok { // it is counted in a gap
		return
	}
	failpoint.At("record.answered")
	r.mu.Lock()
	r.ledger.AddCompletion(now, n, delivered)
	r.mu.Unlock()
	r.wakeWriter()
}

// Abandoned does nothing: a request that ended without an answer has no entry.
func (r *Recorder) Abandoned(float64) {}

// Status are the figures of the record now.
type Status struct {
	record.Counts
	Health            record.Health
	SpoolBytes        int64 // bytes in the spool
	QueuedBytes       int   // bytes that wait in memory
	Unsynced          uint64
	Exported, InDoubt uint64
	Results           record.ExportCounts
	OldestWaiting     float64 // ms since the oldest unshipped entry was answered; 0: none
}

// Status returns the figures now.
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
