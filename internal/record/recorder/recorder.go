// Package recorder is the part of an agent that keeps the record: it joins the path of each txn, runs the ledger's writer
// and ships to the store in the background. It must never choose what the ledger or the shipper chooses, nor let a txn
// wait for the store.
package recorder

// This file owns the txns' side and the writer.

import (
	"context"
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

// Recorder keeps one agent's record.
type Recorder struct {
	table   Table
	now     func() float64
	classes []string
	spool   *spool.Spool
	writer  *spool.Writer
	digests bool

	mu        sync.Mutex
	ledger    *record.Ledger
	confirmed chan struct{} // closed and made anew with each confirmation or failure
	wake      chan struct{}
	health    record.Health
	unsynced  uint64 // answers that went before they were durable
	canceled  uint64

	exporter *exporter
}

// New takes the spool and begins an incarnation; now is the agent's clock in ms.
func New(t Table, agent string, products []string, now func() float64, seed uint64) (*Recorder, error) {
	if agent == "" {
		return nil, errors.New("record: an agent without a name can't keep one: entries would be nobody's")
	}
	if t.Mode == "memory" {
		return newOn(spool.NewMemory(), "memory", t, agent, products, now, seed)
	}
	return newOn(spool.Disk{}, t.Directory, t, agent, products, now, seed)
}

func newOn(fs spool.FS, root string, t Table, agent string, products []string, now func() float64, seed uint64) (*Recorder,
	error,
) {
	k := &Recorder{table: t, now: now, classes: products, confirmed: make(chan struct{}), wake: make(chan struct{}, 1)}
	var err error
	if k.spool, err = spool.Open(fs, root, agent); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	used := k.spool.Bytes()
	if k.writer, err = k.spool.Begin(); err != nil {
		k.spool.Close()
		return nil, fmt.Errorf("record: %w", err)
	}
	k.ledger = record.NewLedger(t.ledgerOptions(agent, k.writer.Incarnation, used))
	if k.exporter, err = newRecorderExporter(k, seed); err != nil {
		k.spool.Close()
		return nil, fmt.Errorf("record: %w", err)
	}
	logrus.WithFields(logrus.Fields{
		"incarnation": k.writer.Incarnation, "mode": t.Mode, "store": t.Store.Kind,
		"spool_bytes": used, "earlier": len(k.spool.Incarnations()) - 1,
	}).Info("record")
	return k, nil
}

// Admit declines while the spool takes nothing, where that is what the settings say.
func (k *Recorder) Admit(now float64) (reserve float64, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.RejectsRequests(now) {
		return 0, "unrecorded"
	}
	return k.table.Reserve.Ms(), ""
}

var outcomes = map[core.ActionKind]record.Outcome{
	core.ActionServe: record.OutcomeServed, core.ActionReject: record.OutcomeRejected,
	core.ActionFail: record.OutcomeFailed,
}

// BeforeResponse holds an answer until its entry is durable, or until that is no longer to be expected in time.
func (k *Recorder) BeforeResponse(e core.Completion, until float64) any {
	product := ""
	if e.Class >= 0 && e.Class < len(k.classes) {
		product = k.classes[e.Class]
	}
	entry := record.Entry{
		RequestID: e.RequestID, Class: product, Outcome: outcomes[e.Kind], Reason: e.Reason, Release: int(e.Release),
		Backend: e.Backend, Attempts: e.Attempts, ArrivedAt: e.ArrivedAt, AnsweredAt: e.Now,
		BodyDigest: record.DigestOf(e.Body), KeyDigest: record.DigestOf([]byte(e.IdempotencyKey)),
	}
	k.mu.Lock()
	n, ok := k.ledger.AddEntry(e.Now, entry)
	patience := min(k.ledger.CommitDelay(e.Now), until-e.Now)
	wait := k.confirmed
	k.mu.Unlock()
	k.wakeWriter()
	if !ok {
		return nil
	}
	failpoint.At("record.queued")
	if failpoint.Defect("answer-before-sync") {
		return n
	}
	if patience > 0 {
		timer := time.NewTimer(time.Duration(patience * 1e6))
		defer timer.Stop()
		for {
			late := false
			select {
			case <-wait:
			case <-timer.C:
				late = true
			}
			k.mu.Lock()
			durable, able := k.ledger.Confirmed() >= n, k.ledger.CommitDelay(k.now()) > 0
			wait = k.confirmed
			if !durable && (late || !able) {
				k.unsynced++
				k.mu.Unlock()
				return n
			}
			k.mu.Unlock()
			if durable {
				failpoint.At("record.durable")
				return n
			}
		}
	}
	k.mu.Lock()
	if k.table.Mode == "spool" && k.table.Sync == "group" {
		k.unsynced++
	}
	k.mu.Unlock()
	return n
}

// AfterResponse notes the end of an answer.
func (k *Recorder) AfterResponse(kept any, now float64, whole bool) {
	n, ok := kept.(uint64)
	if !ok { // it stands for itself in a gap
		return
	}
	failpoint.At("record.answered")
	k.mu.Lock()
	k.ledger.AddCompletion(now, n, whole)
	k.mu.Unlock()
	k.wakeWriter()
}

// Closed counts a txn that ended without an answer.
func (k *Recorder) Closed(float64) {
	k.mu.Lock()
	k.canceled++
	k.mu.Unlock()
}

func (k *Recorder) wakeWriter() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run writes and ships until ctx ends, then writes what is left; no txn may follow.
func (k *Recorder) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { k.exporter.run(ctx) })
	k.write(ctx)
	all.Wait()
	if k.exporter.store != nil {
		if k.table.Mode == "memory" { // what does not go now is lost
			ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
			k.exporter.drain(ctx)
			cancel()
		}
		k.exporter.store.Close()
	}
	k.writer.Close()
	k.spool.Close()
}

// shutdownWait bounds the writing of what is left at the end.
const shutdownWait = 500 * time.Millisecond

func (k *Recorder) write(ctx context.Context) {
	done := ctx.Done()
	var last time.Time
	for {
		k.mu.Lock()
		now := k.now()
		w := k.ledger.NextIO(now)
		pending := k.ledger.Pending()
		k.mu.Unlock()
		if !w.Idle() {
			if failpoint.Defect("answer-before-sync") {
				time.Sleep(40 * time.Millisecond) // what a slow disk would take
			}
			wrote, err := k.writer.Do(w)
			k.mu.Lock()
			k.ledger.Completed(k.now(), wrote, err == nil)
			health := k.ledger.Health(k.now())
			close(k.confirmed)
			k.confirmed = make(chan struct{})
			changed := health != k.health
			k.health = health
			k.mu.Unlock()
			if changed {
				k.logHealth(health, err)
			}
			continue
		}
		if !last.IsZero() && (!pending || time.Since(last) > shutdownWait) {
			return
		}
		timer := time.NewTimer(time.Duration(max(w.Wait, 0.2) * 1e6))
		select {
		case <-k.wake:
			if !timer.Stop() {
				<-timer.C
			}
			if pending {
				k.linger()
			}
		case <-timer.C:
		case <-done:
			done, last = nil, time.Now()
		}
	}
}

// linger lets notes gather that come one by one: they are written 2 ms after the first, or with the next entry.
func (k *Recorder) linger() { time.Sleep(50 * time.Microsecond) }

func (k *Recorder) logHealth(health record.Health, err error) {
	line := logrus.WithFields(logrus.Fields{"spool": health.String(), "when_full": k.table.WhenFull}).WithError(err)
	if health == record.HealthGood {
		line.Info("record is written again")
	} else {
		line.Error("record can't be written")
	}
}

// Status is how the record stands.
type Status struct {
	record.Counts
	Health             record.Health
	Used               int64
	Queued             int
	Unsynced, Canceled uint64
	Shipped, InDoubt   uint64
	Results            [7]uint64
	Oldest             float64 // ms since the oldest unshipped entry was answered; 0: none
}

// Status tells it.
func (k *Recorder) Status() Status {
	k.mu.Lock()
	s := Status{
		Counts: k.ledger.Counts(), Health: k.ledger.Health(k.now()), Used: k.ledger.SpoolBytes(),
		Queued: k.ledger.QueuedBytes(), Unsynced: k.unsynced, Canceled: k.canceled,
	}
	k.mu.Unlock()
	k.exporter.addStatus(&s)
	return s
}
