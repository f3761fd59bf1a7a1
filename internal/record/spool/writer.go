package spool

// Writing the segments of one incarnation.

import (
	"errors"
	"io"

	"github.com/google/uuid"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

var errNoSegment = errors.New("no segment is open")

// Writer appends to one incarnation. Methods must not be called concurrently.
type Writer struct {
	fs          FS
	dir         string
	Incarnation string
	file        File // nil if no segment is open
}

// NewIncarnation creates the directory of a new incarnation and returns its writer.
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

// Execute performs the I/O that the ledger asked for and returns how many of its bytes may have reached the file. After
// an error the next I/O must start a new segment.
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
	if err != nil { // the ledger abandons the segment
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
	if newSegment { // otherwise a power failure may lose the directory entry
		if err := w.fs.SyncDir(w.dir); err != nil {
			return err
		}
	}
	failpoint.At("spool.synced")
	return nil
}

// Close closes the current segment.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	file := w.file
	w.file = nil
	return file.Close()
}
