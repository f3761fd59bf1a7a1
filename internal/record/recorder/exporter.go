package recorder

// Exporting to the store: building batches and handling their results. Pacing and backoff are decided by
// record.ExportScheduler.

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

// schedulerStream separates the scheduler's random numbers from other uses of the same seed.
const schedulerStream = 16

const (
	// idlePause is the maximum time between checks for rows to export.
	idlePause = 50 * time.Millisecond
	// busyPause is the pause between two batches.
	busyPause = time.Millisecond
)

// exporter exports the incarnations of an instance to the store.
type exporter struct {
	spool          *spool.Spool
	instance       string
	config         StoreConfig
	store          *sqlstore.Store   // nil if none is configured
	now            func() float64    // ms
	currentSegment func() uint64     // current segment of the running incarnation, which must not be pruned
	onFreed        func(bytes int64) // called after files of that total size were removed

	mu            sync.Mutex
	scheduler     *record.ExportScheduler
	running       *incarnationReader   // nil if no incarnation is running
	earlier       []*incarnationReader // only the first is being exported
	migrated      bool                 // the store's schema is up to date
	exported      uint64               // rows
	inDoubt       uint64               // exported rows that are in doubt
	oldestWaiting float64              // when the running incarnation's next row to export was answered; 0 if a gap or none
	lastResult    record.ExportResult  // as last logged
}

// newRecorderExporter returns the exporter for a running instance.
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

// drain exports as much as possible before ctx is done.
func (e *exporter) drain(ctx context.Context) {
	for remaining := true; remaining && ctx.Err() == nil; {
		var wait time.Duration
		if _, wait, remaining = e.step(ctx); remaining {
			time.Sleep(wait)
		}
	}
}

// step sends one batch if one is due. It returns the number of bytes sent, how long to wait before the next call, and
// whether anything may remain to be exported. It must not be called concurrently.
func (e *exporter) step(ctx context.Context) (sent int64, wait time.Duration, remaining bool) {
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

// nextBatch returns the next batch and its incarnation, or nil if there is nothing to export. If wait is not 0, the
// batch must not be sent yet.
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

// onStored removes the rows of a stored batch from its incarnation. The caller must hold mu.
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

// finish removes the files of an incarnation that is completely stored. If it has defects, the files are kept for
// inspection and not read again before the next start. Only the first of the earlier incarnations can be complete.
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
	if err != nil { // it will be exported again and removed at the next start
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
