package spool

// This file owns an agent's directory: its lock, its incarnations and who they belong to, and the writing of segments.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"

	"github.com/google/uuid"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

// ErrCopied: a directory does not stand where it was made. Were it used, one incarnation would be written at two places.
var ErrCopied = errors.New("copied from elsewhere")

const (
	segmentSuffix = ".seg"
	ownerName     = "owner.json"
	lockName      = "lock"
)

// owner says whose an incarnation's directory is and where it was made.
type owner struct {
	Instance    string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
}

// Spool is one agent's directory under a root.
type Spool struct {
	fs       FS
	dir      string
	Instance string
	lock     io.Closer
}

// Open takes an agent's directory, alone. Errors wrap ErrLocked and ErrCopied.
func Open(fs FS, root, agent string) (*Spool, error) {
	s := &Spool{fs: fs, dir: join(root, url.PathEscape(agent)), Instance: agent}
	if err := fs.MkdirAll(s.dir); err != nil {
		return nil, err
	}
	lock, err := fs.Lock(join(s.dir, lockName))
	if err != nil {
		return nil, err
	}
	s.lock = lock
	for _, name := range s.Incarnations() {
		if err := s.checkOwner(name); err != nil {
			lock.Close()
			return nil, err
		}
	}
	return s, nil
}

// View looks at a directory without taking it.
func View(fs FS, root, agent string) *Spool {
	return &Spool{fs: fs, dir: join(root, url.PathEscape(agent)), Instance: agent}
}

// Instances lists whose directories stand under a root.
func Instances(fs FS, root string) (agents []string, err error) {
	names, _, err := fs.List(root)
	for _, name := range names {
		inside, _, _ := fs.List(join(root, name)) // what else stands there, as a store's file, is no agent's
		if agent, err := url.PathUnescape(name); err == nil && slices.Contains(inside, lockName) {
			agents = append(agents, agent)
		}
	}
	return agents, err
}

// Close lets the directory go.
func (s *Spool) Close() error {
	if s.lock == nil {
		return nil
	}
	return s.lock.Close()
}

// Incarnations lists them, in the order of their names.
func (s *Spool) Incarnations() (out []string) {
	names, _, err := s.fs.List(s.dir)
	if err != nil {
		return nil
	}
	for _, name := range names {
		if name != lockName {
			out = append(out, name)
		}
	}
	return out
}

// checkOwner refuses a directory that was copied here: its original may still be written.
func (s *Spool) checkOwner(incarnation string) error {
	dir := join(s.dir, incarnation)
	place, err := s.fs.Place(dir)
	if err != nil {
		return err
	}
	segments, _ := s.segments(incarnation)
	o, err := s.readOwner(incarnation)
	switch {
	case err != nil && len(segments) == 0: // killed while it was made: nothing was ever written
		s.Drop(incarnation)
		return nil
	case err != nil:
		return fmt.Errorf("%s: %s can't be read: %w; if it is yours, run 'onyxgate record adopt'", dir, ownerName, err)
	case o.Place != place || o.Instance != s.Instance || o.Incarnation != incarnation:
		return fmt.Errorf("%s: %w: it was made as %s/%s at %s and stands at %s; if the original is gone for good, run "+
			"'onyxgate record adopt'", dir, ErrCopied, o.Instance, o.Incarnation, o.Place, place)
	}
	return nil
}

func (s *Spool) readOwner(incarnation string) (o owner, err error) {
	f, err := s.fs.Open(join(s.dir, incarnation, ownerName))
	if err != nil {
		return o, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, 0, 4096))
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	return o, err
}

// Place is where an incarnation was made, as its owner file says.
func (s *Spool) Place(incarnation string) string {
	o, err := s.readOwner(incarnation)
	if err != nil {
		return ""
	}
	return o.Place
}

// Adopt makes directories that were moved here on purpose usable; the caller answers for the originals being gone.
func Adopt(fs FS, root, agent string) (adopted []string, err error) {
	s := View(fs, root, agent)
	lock, err := fs.Lock(join(s.dir, lockName))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	for _, name := range s.Incarnations() {
		if s.checkOwner(name) == nil {
			continue
		}
		s.fs.Remove(join(s.dir, name, ownerName))
		if err := s.writeOwner(name); err != nil {
			return adopted, err
		}
		adopted = append(adopted, name)
	}
	return adopted, nil
}

func (s *Spool) writeOwner(incarnation string) error {
	dir := join(s.dir, incarnation)
	place, err := s.fs.Place(dir)
	if err != nil {
		return err
	}
	text, err := json.Marshal(owner{s.Instance, incarnation, place})
	if err != nil {
		return err
	}
	f, err := s.fs.Create(join(dir, ownerName))
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return s.fs.SyncDir(dir)
}

// segments lists an incarnation's, in order.
func (s *Spool) segments(incarnation string) (numbers []uint64, sizes []int64) {
	return segments(s.fs, join(s.dir, incarnation))
}

func segments(fs FS, dir string) (numbers []uint64, sizes []int64) {
	names, all, _ := fs.List(dir)
	for i, name := range names {
		var n uint64
		if stem, ok := strings.CutSuffix(name, segmentSuffix); ok {
			if _, err := fmt.Sscanf(stem, "%d", &n); err == nil {
				numbers, sizes = append(numbers, n), append(sizes, all[i])
			}
		}
	}
	return numbers, sizes
}

func segmentName(n uint64) string { return fmt.Sprintf("%010d%s", n, segmentSuffix) }

// Bytes is how many bytes all incarnations hold.
func (s *Spool) Bytes() (bytes int64) {
	for _, name := range s.Incarnations() {
		_, sizes := s.segments(name)
		for _, size := range sizes {
			bytes += size
		}
	}
	return bytes
}

// Drop removes an incarnation's directory and returns the bytes that it held.
func (s *Spool) Drop(incarnation string) (freed int64, err error) {
	dir := join(s.dir, incarnation)
	names, sizes, err := s.fs.List(dir)
	for i, name := range names {
		if name == ownerName {
			continue
		}
		failpoint.At("spool.drop")
		if err := s.fs.Remove(join(dir, name)); err != nil {
			return freed, err
		}
		freed += sizes[i]
	}
	s.fs.Remove(join(dir, ownerName)) // last: segments without it would be refused
	s.fs.Remove(dir)
	return freed, err
}

// Prune removes the segments before `until` in which every ordinal is at most through.
func (s *Spool) Prune(incarnation string, until, through uint64) (freed int64, err error) {
	dir := join(s.dir, incarnation)
	numbers, sizes := s.segments(incarnation)
	for i := 0; i+1 < len(numbers) && numbers[i] < until; i++ {
		head, err := readHeader(s.fs, join(dir, segmentName(numbers[i+1])))
		if err != nil || head.From == 0 || head.From-1 > through {
			break
		}
		failpoint.At("spool.prune")
		if err := s.fs.Remove(join(dir, segmentName(numbers[i]))); err != nil {
			return freed, err
		}
		freed += sizes[i]
	}
	return freed, nil
}

// Writer appends to one incarnation.
type Writer struct {
	fs          FS
	dir         string
	Incarnation string
	file        File
}

// Begin makes a new incarnation.
func (s *Spool) Begin() (*Writer, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return nil, err
	}
	w := &Writer{fs: s.fs, dir: join(s.dir, id.String()), Incarnation: id.String()}
	if err := s.fs.MkdirAll(w.dir); err != nil {
		return nil, err
	}
	failpoint.At("spool.begin")
	if err := s.writeOwner(w.Incarnation); err != nil {
		return nil, err
	}
	return w, s.fs.SyncDir(s.dir)
}

// Do carries a work out and tells how many bytes the files may now hold of it.
func (w *Writer) Do(work record.IO) (wrote int, err error) {
	if work.NewSegment {
		failpoint.At("spool.turn")
		if w.file != nil {
			w.file.Close()
			w.file = nil
		}
		file, err := w.fs.Create(join(w.dir, segmentName(work.Segment)))
		if err != nil {
			return 0, err
		}
		w.file = file
	}
	if w.file == nil {
		return 0, errors.New("no segment is open")
	}
	if len(work.Bytes) > 0 {
		failpoint.At("spool.write")
		if wrote, err = w.file.Write(work.Bytes); err == nil && wrote < len(work.Bytes) {
			err = io.ErrShortWrite
		}
		if err != nil {
			return wrote, err
		}
		failpoint.At("spool.wrote")
	}
	if work.Sync {
		if err := w.file.Sync(); err != nil {
			return wrote, err
		}
		if work.NewSegment { // else the file's name may be lost with the power
			if err := w.fs.SyncDir(w.dir); err != nil {
				return wrote, err
			}
		}
		failpoint.At("spool.synced")
	}
	return wrote, nil
}

// Close ends writing.
func (w *Writer) Close() {
	if w.file != nil {
		w.file.Close()
	}
}
