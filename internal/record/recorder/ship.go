package recorder

// This file owns the way to the store: readers over the spool, batches, pruning. Pace and meaning of failures are
// record.Shipper's, the turns sched's.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/jobs/runner"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// incarnationReader is one incarnation on its way to the store.
type incarnationReader struct {
	incarnation, place string
	running            bool
	reader             *spool.Reader
	rows               []record.Row // read and not stored, at most a batch and a chunk
	through            uint64       // of what was read
	done               bool         // nothing more will come
	refused            bool
}

// read fills rows up to a batch.
func (l *incarnationReader) read(batch int) error {
	for len(l.rows) < batch && !l.done {
		rows, more, err := l.reader.Next()
		if err != nil {
			return err
		}
		l.rows = append(l.rows, rows...)
		l.through = l.reader.Replay.FinalThrough()
		if !more {
			l.done = !l.running
			return nil
		}
	}
	return nil
}

// waiting tells that the store lacks something.
func (l *incarnationReader) waiting() bool { return !l.refused && (len(l.rows) > 0 || !l.running) }

// exporter sends an agent's lines; k is nil where a command does it for agents that do not run.
type exporter struct {
	recorder      *Recorder
	spool         *spool.Spool
	instance      string
	table         StoreTable
	store         *sqlstore.Store
	now           func() float64
	onFreed       func(int64)
	mu            sync.Mutex
	scheduler     *record.ExportScheduler
	running       *incarnationReader
	earlier       []*incarnationReader
	migrated      bool
	exported      uint64
	inDoubt       uint64
	oldestWaiting float64
	lastResult    record.ExportResult
	loggedDefects map[string]int // defects of each line that were logged
}

func newRecorderExporter(k *Recorder, seed uint64) (*exporter, error) {
	store, err := k.table.Store.Open()
	if err != nil {
		return nil, err
	}
	s := newExporter(k.spool, k.spool.Instance, k.table.Store, store, k.now, seed)
	s.recorder = k
	s.onFreed = func(bytes int64) {
		k.mu.Lock()
		k.ledger.ReleaseBytes(bytes)
		k.mu.Unlock()
		k.wakeWriter()
	}
	for _, name := range k.spool.Incarnations() {
		s.add(name, name == k.writer.Incarnation)
	}
	return s, nil
}

func newExporter(sp *spool.Spool, agent string, t StoreTable, store *sqlstore.Store, now func() float64, seed uint64) *exporter {
	return &exporter{
		spool: sp, instance: agent, table: t, store: store, now: now, onFreed: func(int64) {},
		scheduler: record.NewExportScheduler(t.Batch, t.Every.Ms(), rand.New(rand.NewPCG(seed, 16))), loggedDefects: map[string]int{},
	}
}

func (s *exporter) add(incarnation string, live bool) {
	l := &incarnationReader{
		incarnation: incarnation, place: s.spool.Place(incarnation), running: live,
		reader: s.spool.Read(incarnation, !live),
	}
	if live {
		s.running = l
	} else {
		s.earlier = append(s.earlier, l)
	}
}

const (
	idlePause  = 50 * time.Millisecond
	pruneEvery = 500 * time.Millisecond
	checkEvery = 2 * time.Second
)

func (s *exporter) run(ctx context.Context) {
	if s.store == nil {
		return
	}
	jobs := runner.New()
	prune := func() {}
	jobs.Add("ship", 0, 0, float64(s.table.Bytes), func(ctx context.Context) (int64, time.Duration) {
		sent, wait, _ := s.step(ctx)
		if sent > 0 {
			prune()
		}
		return sent, wait
	})
	prune = jobs.Add("prune", 1, 200, 0, func(context.Context) (int64, time.Duration) {
		s.prune()
		return 0, pruneEvery
	})
	jobs.Add("checkpoint", 2, 100, 0, func(ctx context.Context) (int64, time.Duration) {
		s.checkpoint(ctx)
		return 0, checkEvery
	})
	jobs.Run(ctx, 2)
}

// drain sends what it can before ctx ends.
func (s *exporter) drain(ctx context.Context) {
	for left := true; left && ctx.Err() == nil; {
		var wait time.Duration
		if _, wait, left = s.step(ctx); left {
			time.Sleep(wait)
		}
	}
}

// step sends one batch, if it is time to; left tells that something still waits.
func (s *exporter) step(ctx context.Context) (sent int64, wait time.Duration, left bool) {
	s.mu.Lock()
	l := s.pick()
	if l == nil {
		s.mu.Unlock()
		return 0, idlePause, false
	}
	waiting := len(l.rows)
	if l.done && waiting == 0 { // its end is still to be told
		waiting = 1
	}
	n, ms := s.scheduler.Next(s.now(), waiting)
	if n == 0 {
		s.mu.Unlock()
		return 0, max(min(time.Duration(ms*1e6), idlePause), time.Millisecond), true
	}
	n = min(n, len(l.rows))
	b := sqlstore.Batch{Instance: s.instance, Incarnation: l.incarnation, Place: l.place, Rows: l.rows[:n:n]}
	if n == len(l.rows) {
		b.Through, b.Closed = l.through, l.done
	}
	s.mu.Unlock()

	err := s.put(ctx, b, &sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.store.Classify(err)
	if err != nil && ctx.Err() != nil {
		return 0, idlePause, true
	}
	s.scheduler.Result(s.now(), reply)
	if reply != record.ExportStored {
		s.logFailure(err, reply, l)
		return 0, time.Millisecond, true
	}
	if s.lastResult != record.ExportStored {
		logrus.WithField("store", s.table.Kind).Info("record is shipped again")
		s.lastResult = record.ExportStored
	}
	for _, r := range b.Rows {
		if s.exported++; r.State == record.StateInDoubt {
			s.inDoubt++
		}
	}
	l.rows = append(l.rows[:0:0], l.rows[n:]...)
	if b.Closed {
		s.finish(l)
	}
	return sent, time.Millisecond, true
}

func (s *exporter) put(ctx context.Context, b sqlstore.Batch, sent *int64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.table.Timeout))
	defer cancel()
	if !s.migrated {
		if err := s.store.Migrate(ctx); err != nil {
			return err
		}
		s.migrated = true
	}
	n, err := s.store.Put(ctx, b)
	*sent = int64(n)
	return err
}

// pick is the line whose turn it is, with rows read.
func (s *exporter) pick() *incarnationReader {
	live := false
	if s.running != nil {
		if err := s.running.read(s.table.Batch); err != nil { // it may be there the next time
			s.logFailure(err, record.ExportUnreachable, nil)
		}
		s.logDefects(s.running)
		live = s.running.waiting()
		if s.oldestWaiting = 0; live && s.running.rows[0].Gap == nil {
			s.oldestWaiting = s.running.rows[0].Entry.AnsweredAt
		}
	}
	for len(s.earlier) > 0 {
		l := s.earlier[0]
		if !l.refused {
			if live && s.scheduler.TakesRunning(true, true) {
				return s.running
			}
			err := l.read(s.table.Batch)
			if s.logDefects(l); err == nil {
				return l
			}
			logrus.WithField("incarnation", l.incarnation).WithError(err).Error("an earlier incarnation can't be read, " +
				"its files stay: 'onyxgate record verify' shows what is wrong")
		}
		l.reader.Close()
		s.earlier = s.earlier[1:]
	}
	if live {
		return s.running
	}
	return nil
}

// logFailure tells of a failure once, until another kind comes.
func (s *exporter) logFailure(err error, reply record.ExportResult, l *incarnationReader) {
	if reply == record.ExportForeign && l != nil {
		l.refused = true
	}
	if reply != s.lastResult {
		logrus.WithFields(logrus.Fields{"store": s.table.Kind, "reply": reply.String()}).WithError(err).
			Warn("record can't be shipped")
		s.lastResult = reply
	}
}

func (s *exporter) logDefects(l *incarnationReader) {
	all := l.reader.Replay.Defects
	for _, d := range all[min(s.loggedDefects[l.incarnation], len(all)):] {
		logrus.WithFields(logrus.Fields{"incarnation": l.incarnation, "defect": d.String()}).Error("record is damaged")
	}
	s.loggedDefects[l.incarnation] = len(all)
}

// finish removes an incarnation that is stored whole. One with defects stays for whoever looks into it, and is not read again
// until the next start.
func (s *exporter) finish(l *incarnationReader) {
	l.reader.Close()
	s.earlier = s.earlier[1:]
	f := l.reader.Replay
	entry := logrus.WithFields(logrus.Fields{
		"incarnation": l.incarnation, "given": f.Counts[record.StateAnswered],
		"unheard": f.Counts[record.StateUndelivered], "in_doubt": f.Counts[record.StateInDoubt], "torn_bytes": f.TornBytes,
		"defects": len(f.Defects),
	})
	if len(f.Defects) > 0 {
		entry.Warn("an earlier incarnation is stored, its files stay: 'onyxgate record verify' shows what is wrong")
		return
	}
	freed, err := s.spool.Drop(l.incarnation)
	s.onFreed(freed)
	if err != nil { // it is shipped again at the next start, and dropped then
		entry = entry.WithError(err)
	}
	entry.Info("an earlier incarnation is stored")
}

// prune removes the segments in which everything is stored.
func (s *exporter) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.earlier[:min(len(s.earlier), 1)]
	if s.running != nil {
		lines = append(lines[:len(lines):len(lines)], s.running)
	}
	for _, l := range lines {
		through, last := l.through, ^uint64(0)
		for _, r := range l.rows { // read, and not stored yet
			through = min(through, r.Ordinal()-1)
		}
		if l.running {
			s.recorder.mu.Lock()
			last = s.recorder.ledger.Segment()
			s.recorder.mu.Unlock()
		}
		freed, err := s.spool.Prune(l.incarnation, min(last, l.reader.Segment()), through)
		if err != nil {
			logrus.WithError(err).Warn("record can't be pruned")
		}
		if freed > 0 {
			s.onFreed(freed)
		}
	}
}

func (s *exporter) checkpoint(ctx context.Context) {
	s.mu.Lock()
	ready := s.migrated && !s.scheduler.CircuitOpen()
	s.mu.Unlock()
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.table.Timeout))
	defer cancel()
	if err := s.store.Checkpoint(ctx); err != nil {
		logrus.WithError(err).Debug("no checkpoint")
	}
}

func (s *exporter) addStatus(to *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to.Shipped, to.InDoubt, to.Results = s.exported, s.inDoubt, s.scheduler.Results
	if s.oldestWaiting > 0 {
		to.Oldest = max(s.now()-s.oldestWaiting, 0)
	}
}

// Ship sends all that an agent's directory holds, for an agent that does not run; progress is called after each batch.
func Ship(ctx context.Context, t Table, agent string, progress func(shipped, inDoubt uint64)) error {
	sp, err := spool.Open(spool.Disk{}, t.Directory, agent)
	if err != nil {
		return err
	}
	defer sp.Close()
	store, err := t.Store.Open()
	if err != nil {
		return err
	}
	if store == nil {
		return errors.New("[record.store] names no store")
	}
	defer store.Close()
	from := time.Now()
	s := newExporter(sp, agent, t.Store, store, func() float64 { return float64(time.Since(from))/1e6 + 1 }, uint64(from.UnixNano()))
	for _, name := range sp.Incarnations() {
		s.add(name, false)
	}
	for ctx.Err() == nil && len(s.earlier) > 0 {
		_, wait, _ := s.step(ctx)
		progress(s.exported, s.inDoubt)
		if s.lastResult == record.ExportDenied || s.lastResult == record.ExportForeign {
			return fmt.Errorf("the store refuses: %v", s.lastResult)
		}
		time.Sleep(wait)
	}
	return ctx.Err()
}
