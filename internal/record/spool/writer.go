package spool

// This file owns the writing of one incarnation's segments.

import (
	"errors"
	"io"

	"github.com/google/uuid"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

var errNoSegment = errors.New("no segment is open")

// Writer appends to one incarnation. Calls must not overlap.
type Writer struct {
	fs          FS
	dir         string
	Incarnation string
	file        File // nil: no segment is open
}

// Begin makes a new incarnation.
func (s *Spool) NewIncarnation() (*Writer, error) {
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

// Do carries a step of the ledger out and tells how many bytes the files may now hold of it. After an error the next step
// must begin a new segment.
func (w *Writer) Execute(next record.IO) (wrote int, err error) {
	if next.NewSegment {
		if err := w.beginSegment(next.Segment); err != nil {
			return 0, err
		}
	}
	if w.file == nil {
		return 0, errNoSegment
	}
	if wrote, err = w.write(next.Bytes); err == nil && next.Sync {
		err = w.sync(next.NewSegment)
	}
	if err != nil { // the ledger leaves the segment
		w.file.Close()
		w.file = nil
	}
	return wrote, err
}

func (w *Writer) beginSegment(number uint64) error {
	failpoint.At("spool.turn")
	if err := w.Close(); err != nil {
		return err
	}
	file, err := w.fs.Create(join(w.dir, segmentName(number)))
	if err != nil {
		return err
	}
	w.file = file
	return nil
}

func (w *Writer) write(bytes []byte) (wrote int, err error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	failpoint.At("spool.write")
	if wrote, err = w.file.Write(bytes); err == nil && wrote < len(bytes) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return wrote, err
	}
	failpoint.At("spool.wrote")
	return wrote, nil
}

func (w *Writer) sync(newSegment bool) error {
	if err := w.file.Sync(); err != nil {
		return err
	}
	if newSegment { // else the file's name may be lost with the power
		if err := w.fs.SyncDir(w.dir); err != nil {
			return err
		}
	}
	failpoint.At("spool.synced")
	return nil
}

// Close ends writing.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	file := w.file
	w.file = nil
	return file.Close()
}
