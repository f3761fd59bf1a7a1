package spool

// This file owns the reading of an incarnation's segments, from the first that is left, in bounded memory: while it is
// written, or once it never will be again. What the bytes mean is Fold's.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"

	"onyxgate/internal/record"
)

const (
	chunk = 256 << 10
	first = 0x0f // byte of a frame
)

// Reader reads one incarnation.
type Reader struct {
	Replay   *record.Replay
	fs       FS
	dir      string
	closed   bool // nobody writes it any more
	file     ReadFile
	segment  uint64
	at       int64 // in the file, of buf's beginning
	buf      []byte
	limit    uint64 // first ordinal of the next segment, where there is one: from there on it is written anew
	skipped  int64
	skipFrom int64
	ended    bool
}

// Read starts reading an incarnation; closed tells that it will never be written again.
func (s *Spool) Read(incarnation string, closed bool) *Reader {
	return &Reader{Replay: record.NewReplay(), fs: s.fs, dir: join(s.dir, incarnation), closed: closed}
}

// Segment is the one that is read now; those before it are done with.
func (r *Reader) Segment() uint64 { return r.segment }

// Close ends reading.
func (r *Reader) Close() {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}

// Next reads on and returns what became final; more is false where nothing is left to read now. Of a closed incarnation
// the last rows are those in doubt.
func (r *Reader) Next() (rows []record.Row, more bool, err error) {
	if r.ended {
		return nil, false, nil
	}
	if r.file == nil {
		if ok, err := r.open(); err != nil || !ok {
			return nil, false, err
		}
	}
	old := len(r.buf)
	r.buf = append(r.buf, make([]byte, chunk)...)
	n, err := r.file.ReadAt(r.buf[old:], r.at+int64(old))
	r.buf = r.buf[:old+n]
	end := errors.Is(err, io.EOF)
	if err != nil && !end {
		return nil, false, fmt.Errorf("%s segment %d: %w", r.dir, r.segment, err)
	}
	last := false
	if end { // only the end of the last segment may be torn; looked up after reading, for the writer may turn meanwhile
		last = !r.bound()
		if !last && n > 0 { // what was written before the turn has not all been read, perhaps
			end = false
		}
	}
	rows, err = r.parse(end, last)
	if err != nil || !end {
		return rows, err == nil, err
	}
	if last && !r.closed {
		return rows, false, nil
	}
	r.leave(last)
	if last {
		r.ended = true
		return append(rows, r.Replay.End()...), false, nil
	}
	return rows, true, nil
}

// parse takes the frames out of buf; at the end of a file that grows no more, what is left is no frame.
func (r *Reader) parse(end, last bool) (rows []record.Row, err error) {
	final := end && (!last || r.closed)
	used := 0
	for used < len(r.buf) {
		f, size, err := record.ParseFrame(r.buf[used:])
		if errors.Is(err, record.ErrShortFrame) && !final {
			break
		}
		if err != nil { // look for the next
			if r.skipped == 0 {
				r.skipFrom = r.at + int64(used)
			}
			step := bytes.IndexByte(r.buf[used+1:], first)
			if step < 0 {
				step = len(r.buf) - used - 1
			}
			r.skipped += int64(step + 1)
			used += step + 1
			continue
		}
		if r.skipped > 0 {
			r.Replay.Spoilt(r.skipFrom, r.skipped)
			r.skipped = 0
		}
		if record.Kind(f.Payload[0]) == record.KindHeader {
			err = r.head(f)
		} else if r.limit == 0 || f.N < r.limit {
			rows = append(rows, r.Replay.Frame(f)...)
		}
		if err != nil {
			return rows, err
		}
		used += size
	}
	r.at += int64(used)
	r.buf = append(r.buf[:0], r.buf[used:]...)
	return rows, nil
}

func (r *Reader) head(f record.Frame) error {
	v, err := record.Decode(f.Payload)
	if err != nil {
		return fmt.Errorf("%s segment %d: its head: %w", r.dir, r.segment, err)
	}
	return r.Replay.Head(*v.(*record.SegmentHeader))
}

func (r *Reader) leave(last bool) {
	if r.skipped > 0 && last {
		r.Replay.Tail(r.skipped)
	} else if r.skipped > 0 && (r.limit == 0 || r.Replay.Read()+1 < r.limit) {
		r.Replay.Spoilt(r.skipFrom, r.skipped)
	}
	r.Close()
	r.buf, r.at, r.skipped, r.limit = r.buf[:0], 0, 0, 0
}

// bound notes where the next segment begins and tells whether there is one.
func (r *Reader) bound() bool {
	next, ok := r.after()
	if ok && r.limit == 0 {
		head, err := readHead(r.fs, join(r.dir, segmentName(next)))
		if err == nil {
			r.limit = head.From
		}
		return err == nil || r.closed // else it was made and its head is on the way
	}
	return ok
}

// after is the segment behind the present one.
func (r *Reader) after() (uint64, bool) {
	numbers, _ := segments(r.fs, r.dir)
	for _, n := range numbers {
		if n > r.segment {
			return n, true
		}
	}
	return 0, false
}

func (r *Reader) open() (bool, error) {
	n, ok := r.after()
	if !ok {
		r.ended = r.closed
		return false, nil
	}
	file, err := r.fs.Open(join(r.dir, segmentName(n)))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.file, r.segment = file, n
	r.bound()
	return true, nil
}

func readHead(fs FS, name string) (h record.SegmentHeader, err error) {
	f, err := fs.Open(name)
	if err != nil {
		return h, err
	}
	defer f.Close()
	b := make([]byte, 2048)
	n, err := f.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return h, err
	}
	frame, _, err := record.ParseFrame(b[:n])
	if err != nil {
		return h, err
	}
	v, err := record.Decode(frame.Payload)
	if err != nil {
		return h, err
	}
	if head, ok := v.(*record.SegmentHeader); ok {
		return *head, nil
	}
	return h, record.ErrCorruptFrame
}
