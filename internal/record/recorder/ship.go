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

	"onyxgate/internal/jobs"
	"onyxgate/internal/jobs/runner"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// line is one incarnation on its way to the store.
type line struct {
	incarnation, place string
	live               bool
	reader             *spool.Reader
	rows               []record.Row // read and not stored, at most a batch and a chunk
	through            uint64       // of what was read
	done               bool         // nothing more will come
	refused            bool
}

// read fills rows up to a batch.
func (l *line) read(batch int) error {
	for len(l.rows) < batch && !l.done {
		rows, more, err := l.reader.Next()
		if err != nil {
			return err
		}
		l.rows = append(l.rows, rows...)
		l.through = l.reader.Replay.Through()
		if !more {
			l.done = !l.live
			return nil
		}
	}
	return nil
}

// waiting tells that the store lacks something.
func (l *line) waiting() bool { return !l.refused && (len(l.rows) > 0 || !l.live) }

// shipping sends an agent's lines; k is nil where a command does it for agents that do not run.
type shipping struct {
	k       *Recorder
	spool   *spool.Spool
	agent   string
	table   StoreTable
	store   *sqlstore.Store
	now     func() float64
	freed   func(int64)
	mu      sync.Mutex
	pace    *record.ExportScheduler
	live    *line
	old     []*line
	schema  bool
	shipped uint64
	doubt   uint64
	oldest  float64
	last    record.ExportResult
	seen    map[string]int // defects of each line that were logged
}

func newShipping(k *Recorder, seed uint64) (*shipping, error) {
	store, err := k.table.Store.Open()
	if err != nil {
		return nil, err
	}
	s := ships(k.spool, k.spool.Agent, k.table.Store, store, k.now, seed)
	s.k = k
	s.freed = func(bytes int64) {
		k.mu.Lock()
		k.ledger.Freed(bytes)
		k.mu.Unlock()
		k.ring()
	}
	for _, name := range k.spool.Incarnations() {
		s.add(name, name == k.writer.Incarnation)
	}
	return s, nil
}

func ships(sp *spool.Spool, agent string, t StoreTable, store *sqlstore.Store, now func() float64, seed uint64) *shipping {
	return &shipping{spool: sp, agent: agent, table: t, store: store, now: now, freed: func(int64) {},
		pace: record.NewExportScheduler(t.Batch, t.Every.Ms(), rand.New(rand.NewPCG(seed, 16))), seen: map[string]int{}}
}

func (s *shipping) add(incarnation string, live bool) {
	l := &line{incarnation: incarnation, place: s.spool.Place(incarnation), live: live,
		reader: s.spool.Read(incarnation, !live)}
	if live {
		s.live = l
	} else {
		s.old = append(s.old, l)
	}
}

const (
	lookAgain  = 50 * time.Millisecond
	pruneEvery = 500 * time.Millisecond
	checkEvery = 2 * time.Second
)

func (s *shipping) run(ctx context.Context) {
	if s.store == nil {
		return
	}
	background := runner.New()
	prune := func() {}
	background.Add(jobs.Options{Name: "ship", MaxBytesPerSecond: float64(s.table.Bytes)}, func(ctx context.Context) (int64, time.Duration) {
		sent, wait, _ := s.step(ctx)
		if sent > 0 {
			prune()
		}
		return sent, wait
	})
	prune = background.Add(jobs.Options{Name: "prune", Priority: 1, MaxMsPerSecond: 200}, func(context.Context) (int64, time.Duration) {
		s.prune()
		return 0, pruneEvery
	})
	background.Add(jobs.Options{Name: "checkpoint", Priority: 2, MaxMsPerSecond: 100}, func(ctx context.Context) (int64, time.Duration) {
		s.checkpoint(ctx)
		return 0, checkEvery
	})
	background.Run(ctx, 2)
}

// drain sends what it can before ctx ends.
func (s *shipping) drain(ctx context.Context) {
	for left := true; left && ctx.Err() == nil; {
		var wait time.Duration
		if _, wait, left = s.step(ctx); left {
			time.Sleep(wait)
		}
	}
}

// step sends one batch, if it is time to; left tells that something still waits.
func (s *shipping) step(ctx context.Context) (sent int64, wait time.Duration, left bool) {
	s.mu.Lock()
	l := s.pick()
	if l == nil {
		s.mu.Unlock()
		return 0, lookAgain, false
	}
	waiting := len(l.rows)
	if l.done && waiting == 0 { // its end is still to be told
		waiting = 1
	}
	n, ms := s.pace.Next(s.now(), waiting)
	if n == 0 {
		s.mu.Unlock()
		return 0, max(min(time.Duration(ms*1e6), lookAgain), time.Millisecond), true
	}
	n = min(n, len(l.rows))
	b := sqlstore.Batch{Agent: s.agent, Incarnation: l.incarnation, Place: l.place, Rows: l.rows[:n:n]}
	if n == len(l.rows) {
		b.Through, b.Closed = l.through, l.done
	}
	s.mu.Unlock()

	err := s.put(ctx, b, &sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.store.Reply(err)
	if err != nil && ctx.Err() != nil {
		return 0, lookAgain, true
	}
	s.pace.Result(s.now(), reply)
	if reply != record.ExportStored {
		s.failed(err, reply, l)
		return 0, time.Millisecond, true
	}
	if s.last != record.ExportStored {
		logrus.WithField("store", s.table.Kind).Info("record is shipped again")
		s.last = record.ExportStored
	}
	for _, r := range b.Rows {
		if s.shipped++; r.State == record.StateInDoubt {
			s.doubt++
		}
	}
	l.rows = append(l.rows[:0:0], l.rows[n:]...)
	if b.Closed {
		s.end(l)
	}
	return sent, time.Millisecond, true
}

func (s *shipping) put(ctx context.Context, b sqlstore.Batch, sent *int64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.table.Timeout))
	defer cancel()
	if !s.schema {
		if err := s.store.Migrate(ctx); err != nil {
			return err
		}
		s.schema = true
	}
	n, err := s.store.Put(ctx, b)
	*sent = int64(n)
	return err
}

// pick is the line whose turn it is, with rows read.
func (s *shipping) pick() *line {
	live := false
	if s.live != nil {
		if err := s.live.read(s.table.Batch); err != nil { // it may be there the next time
			s.failed(err, record.ExportUnreachable, nil)
		}
		s.defects(s.live)
		live = s.live.waiting()
		if s.oldest = 0; live && s.live.rows[0].Gap == nil {
			s.oldest = s.live.rows[0].Entry.AnsweredAt
		}
	}
	for len(s.old) > 0 {
		l := s.old[0]
		if !l.refused {
			if live && s.pace.Live(true, true) {
				return s.live
			}
			err := l.read(s.table.Batch)
			if s.defects(l); err == nil {
				return l
			}
			logrus.WithField("incarnation", l.incarnation).WithError(err).Error("an earlier incarnation can't be read, " +
				"its files stay: 'onyxgate record verify' shows what is wrong")
		}
		l.reader.Close()
		s.old = s.old[1:]
	}
	if live {
		return s.live
	}
	return nil
}

// failed tells of a failure once, until another kind comes.
func (s *shipping) failed(err error, reply record.ExportResult, l *line) {
	if reply == record.ExportForeign && l != nil {
		l.refused = true
	}
	if reply != s.last {
		logrus.WithFields(logrus.Fields{"store": s.table.Kind, "reply": reply.String()}).WithError(err).
			Warn("record can't be shipped")
		s.last = reply
	}
}

func (s *shipping) defects(l *line) {
	all := l.reader.Replay.Defects
	for _, d := range all[min(s.seen[l.incarnation], len(all)):] {
		logrus.WithFields(logrus.Fields{"incarnation": l.incarnation, "defect": d.String()}).Error("record is damaged")
	}
	s.seen[l.incarnation] = len(all)
}

// end removes an incarnation that is stored whole. One with defects stays for whoever looks into it, and is not read again
// until the next start.
func (s *shipping) end(l *line) {
	l.reader.Close()
	s.old = s.old[1:]
	f := l.reader.Replay
	entry := logrus.WithFields(logrus.Fields{"incarnation": l.incarnation, "given": f.Counts[record.StateAnswered],
		"unheard": f.Counts[record.StateUndelivered], "in_doubt": f.Counts[record.StateInDoubt], "torn_bytes": f.Torn,
		"defects": len(f.Defects)})
	if len(f.Defects) > 0 {
		entry.Warn("an earlier incarnation is stored, its files stay: 'onyxgate record verify' shows what is wrong")
		return
	}
	freed, err := s.spool.Drop(l.incarnation)
	s.freed(freed)
	if err != nil { // it is shipped again at the next start, and dropped then
		entry = entry.WithError(err)
	}
	entry.Info("an earlier incarnation is stored")
}

// prune removes the segments in which everything is stored.
func (s *shipping) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.old[:min(len(s.old), 1)]
	if s.live != nil {
		lines = append(lines[:len(lines):len(lines)], s.live)
	}
	for _, l := range lines {
		through, last := l.through, ^uint64(0)
		for _, r := range l.rows { // read, and not stored yet
			through = min(through, r.N()-1)
		}
		if l.live {
			s.k.mu.Lock()
			last = s.k.ledger.Segment()
			s.k.mu.Unlock()
		}
		freed, err := s.spool.Prune(l.incarnation, min(last, l.reader.Segment()), through)
		if err != nil {
			logrus.WithError(err).Warn("record can't be pruned")
		}
		if freed > 0 {
			s.freed(freed)
		}
	}
}

func (s *shipping) checkpoint(ctx context.Context) {
	s.mu.Lock()
	ready := s.schema && !s.pace.CircuitOpen()
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

func (s *shipping) standing(to *Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to.Shipped, to.InDoubt, to.Replies = s.shipped, s.doubt, s.pace.Replies
	if s.oldest > 0 {
		to.Oldest = max(s.now()-s.oldest, 0)
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
	s := ships(sp, agent, t.Store, store, func() float64 { return float64(time.Since(from))/1e6 + 1 }, uint64(from.UnixNano()))
	for _, name := range sp.Incarnations() {
		s.add(name, false)
	}
	for ctx.Err() == nil && len(s.old) > 0 {
		_, wait, _ := s.step(ctx)
		progress(s.shipped, s.doubt)
		if s.last == record.ExportDenied || s.last == record.ExportForeign {
			return fmt.Errorf("the store refuses: %v", s.last)
		}
		time.Sleep(wait)
	}
	return ctx.Err()
}
