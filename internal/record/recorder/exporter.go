package recorder

// This file owns the way to the store: which rows go in a batch, and what became of it. Pace and the meaning of failures are
// record.ExportScheduler's.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// schedulerStream tells the scheduler's random numbers from others of the same seed.
const schedulerStream = 16

const (
	// idlePause is the longest time after which it is looked again whether something waits.
	idlePause = 50 * time.Millisecond
	// busyPause is the time between two batches.
	busyPause = time.Millisecond
)

// exporter sends what an instance's incarnations hold to the store.
type exporter struct {
	spool          *spool.Spool
	instance       string
	config         StoreConfig
	store          *sqlstore.Store   // nil: there is none
	now            func() float64    // ms
	currentSegment func() uint64     // the one that the running incarnation is written to, which must stay
	onFreed        func(bytes int64) // files of so many bytes were removed

	mu            sync.Mutex
	scheduler     *record.ExportScheduler
	running       *incarnationReader   // nil: none runs
	earlier       []*incarnationReader // the first is on its way
	migrated      bool                 // the store's schema is up to date
	exported      uint64               // rows
	inDoubt       uint64               // rows of these
	oldestWaiting float64              // when the oldest entry of the running incarnation that waits was answered; 0: none
	lastResult    record.ExportResult  // as it was logged last
}

// newRecorderExporter makes the one of an instance that runs.
func newRecorderExporter(r *Recorder, seed uint64) (*exporter, error) {
	store, err := r.config.Store.Open()
	if err != nil {
		return nil, err
	}
	e := newExporter(r.spool, r.config.Store, store, r.now, seed)
	e.currentSegment = func() uint64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.ledger.CurrentSegment()
	}
	e.onFreed = func(bytes int64) {
		r.mu.Lock()
		r.ledger.ReleaseBytes(bytes)
		r.mu.Unlock()
		r.wakeWriter()
	}
	for _, incarnation := range r.spool.Incarnations() {
		e.add(incarnation, incarnation == r.writer.Incarnation)
	}
	return e, nil
}

func newExporter(from *spool.Spool, config StoreConfig, store *sqlstore.Store, now func() float64, seed uint64) *exporter {
	random := rand.New(rand.NewPCG(seed, schedulerStream))
	return &exporter{
		spool: from, instance: from.Instance, config: config, store: store, now: now, onFreed: func(int64) {},
		scheduler: record.NewExportScheduler(config.MaxBatchRows, config.BatchWait.Ms(), random),
	}
}

func (e *exporter) add(incarnation string, running bool) {
	added := &incarnationReader{
		incarnation: incarnation, dirID: e.spool.RecordedDirID(incarnation), running: running,
		reader: e.spool.NewReader(incarnation, !running),
	}
	if running {
		e.running = added
	} else {
		e.earlier = append(e.earlier, added)
	}
}

// drain sends what it can before ctx ends.
func (e *exporter) drain(ctx context.Context) {
	for left := true; left && ctx.Err() == nil; {
		var wait time.Duration
		if _, wait, left = e.step(ctx); left {
			time.Sleep(wait)
		}
	}
}

// step sends one batch, if it is time to. It returns the bytes that went and when to come again; left reports whether
// something still waits. Calls must not overlap.
func (e *exporter) step(ctx context.Context) (sent int64, wait time.Duration, left bool) {
	from, batch, wait := e.nextBatch()
	if from == nil || wait > 0 {
		return 0, wait, from != nil
	}
	sent, err := e.put(ctx, batch)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		return 0, idlePause, true
	}
	result := e.store.Classify(err)
	e.scheduler.Result(e.now(), result)
	if result != record.ExportStored {
		from.refused = from.refused || result == record.ExportForeign
		e.logFailure(err, result)
		return 0, busyPause, true
	}
	e.onStored(from, batch)
	return sent, busyPause, true
}

// nextBatch is what goes next, and of which incarnation: nil where nothing waits. Where wait is not 0 it may not go yet.
func (e *exporter) nextBatch() (from *incarnationReader, batch sqlstore.Batch, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from = e.nextIncarnation(); from == nil {
		return nil, batch, idlePause
	}
	n, ms := e.scheduler.Next(e.now(), from.pending())
	if n == 0 {
		return from, batch, max(min(duration(ms), idlePause), busyPause)
	}
	n = min(n, len(from.rows))
	batch = sqlstore.Batch{
		Instance: e.instance, Incarnation: from.incarnation, DirID: from.dirID, Rows: from.rows[:n:n],
	}
	if n == len(from.rows) {
		batch.Through, batch.Closed = from.through, from.complete
	}
	return from, batch, 0
}

func (e *exporter) put(ctx context.Context, batch sqlstore.Batch) (sent int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.config.BatchTimeout))
	defer cancel()
	if !e.migrated {
		if err := e.store.Migrate(ctx); err != nil {
			return 0, err
		}
		e.mu.Lock()
		e.migrated = true
		e.mu.Unlock()
	}
	bytes, err := e.store.Put(ctx, batch)
	return int64(bytes), err
}

// onStored takes a batch off its incarnation. Under the lock.
func (e *exporter) onStored(from *incarnationReader, batch sqlstore.Batch) {
	if e.lastResult != record.ExportStored {
		logrus.WithField("store", e.config.Kind).Info("record is shipped again")
		e.lastResult = record.ExportStored
	}
	for _, row := range batch.Rows {
		e.exported++
		if row.State == record.StateInDoubt {
			e.inDoubt++
		}
	}
	from.rows = append(from.rows[:0:0], from.rows[len(batch.Rows):]...)
	if batch.Closed {
		e.finish(from)
	}
}

// finish removes an incarnation that is stored whole. One with defects stays for whoever looks into it, and is not read
// again until the next start. Only the first of the earlier ones can be complete.
func (e *exporter) finish(stored *incarnationReader) {
	e.closeFirstEarlier()
	replay := stored.reader.Replay
	line := logrus.WithFields(logrus.Fields{
		"incarnation": stored.incarnation, "given": replay.Counts[record.StateAnswered],
		"unheard": replay.Counts[record.StateUndelivered], "in_doubt": replay.Counts[record.StateInDoubt],
		"torn_bytes": replay.TornBytes, "defects": len(replay.Defects),
	})
	if len(replay.Defects) > 0 {
		line.Warn("an earlier incarnation is stored, its files stay: 'onyxgate record verify' shows what is wrong")
		return
	}
	freed, err := e.spool.RemoveIncarnation(stored.incarnation)
	e.onFreed(freed)
	if err != nil { // it is exported again at the next start, and dropped then
		line = line.WithError(err)
	}
	line.Info("an earlier incarnation is stored")
}

func (e *exporter) addStatus(status *Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status.Exported, status.InDoubt, status.Results = e.exported, e.inDoubt, e.scheduler.Results
	if e.oldestWaiting > 0 {
		status.OldestWaiting = max(e.now()-e.oldestWaiting, 0)
	}
}
