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
	readChunk      = 256 << 10
	frameFirstByte = 0x0f // byte of a frame
)

// Reader reads one incarnation.
type Reader struct {
	Replay        *record.Replay
	fs            FS
	dir           string
	closed        bool // nobody writes it any more
	file          ReadFile
	segment       uint64
	offset        int64 // in the file, of buf's beginning
	buffer        []byte
	rewrittenFrom uint64 // first ordinal of the next segment, where there is one: from there on it is written anew
	corruptBytes  int64
	corruptFrom   int64
	finished      bool
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
	if r.finished {
		return nil, false, nil
	}
	if r.file == nil {
		if ok, err := r.openNextSegment(); err != nil || !ok {
			return nil, false, err
		}
	}
	old := len(r.buffer)
	r.buffer = append(r.buffer, make([]byte, readChunk)...)
	n, err := r.file.ReadAt(r.buffer[old:], r.offset+int64(old))
	r.buffer = r.buffer[:old+n]
	end := errors.Is(err, io.EOF)
	if err != nil && !end {
		return nil, false, fmt.Errorf("%s segment %d: %w", r.dir, r.segment, err)
	}
	last := false
	if end { // only the end of the last segment may be torn; looked up after reading, for the writer may turn meanwhile
		last = !r.lookAhead()
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
	r.closeSegment(last)
	if last {
		r.finished = true
		return append(rows, r.Replay.Finish()...), false, nil
	}
	return rows, true, nil
}

// parse takes the frames out of buf; at the end of a file that grows no more, what is left is no frame.
func (r *Reader) parse(end, last bool) (rows []record.Row, err error) {
	final := end && (!last || r.closed)
	used := 0
	for used < len(r.buffer) {
		f, size, err := record.ParseFrame(r.buffer[used:])
		if errors.Is(err, record.ErrShortFrame) && !final {
			break
		}
		if err != nil { // look for the next
			if r.corruptBytes == 0 {
				r.corruptFrom = r.offset + int64(used)
			}
			step := bytes.IndexByte(r.buffer[used+1:], frameFirstByte)
			if step < 0 {
				step = len(r.buffer) - used - 1
			}
			r.corruptBytes += int64(step + 1)
			used += step + 1
			continue
		}
		if r.corruptBytes > 0 {
			r.Replay.AddCorruptBytes(r.corruptFrom, r.corruptBytes)
			r.corruptBytes = 0
		}
		if record.Kind(f.Payload[0]) == record.KindHeader {
			err = r.startSegment(f)
		} else if r.rewrittenFrom == 0 || f.N < r.rewrittenFrom {
			rows = append(rows, r.Replay.Apply(f)...)
		}
		if err != nil {
			return rows, err
		}
		used += size
	}
	r.offset += int64(used)
	r.buffer = append(r.buffer[:0], r.buffer[used:]...)
	return rows, nil
}

func (r *Reader) startSegment(f record.Frame) error {
	v, err := record.Decode(f.Payload)
	if err != nil {
		return fmt.Errorf("%s segment %d: its head: %w", r.dir, r.segment, err)
	}
	return r.Replay.StartSegment(*v.(*record.SegmentHeader))
}

func (r *Reader) closeSegment(last bool) {
	if r.corruptBytes > 0 && last {
		r.Replay.AddTornTail(r.corruptBytes)
	} else if r.corruptBytes > 0 && (r.rewrittenFrom == 0 || r.Replay.LastRead()+1 < r.rewrittenFrom) {
		r.Replay.AddCorruptBytes(r.corruptFrom, r.corruptBytes)
	}
	r.Close()
	r.buffer, r.offset, r.corruptBytes, r.rewrittenFrom = r.buffer[:0], 0, 0, 0
}

// lookAhead notes where the next segment begins and tells whether there is one.
func (r *Reader) lookAhead() bool {
	next, ok := r.nextSegment()
	if ok && r.rewrittenFrom == 0 {
		head, err := readHeader(r.fs, join(r.dir, segmentName(next)))
		if err == nil {
			r.rewrittenFrom = head.From
		}
		return err == nil || r.closed // else it was made and its head is on the way
	}
	return ok
}

// nextSegment is the segment behind the present one.
func (r *Reader) nextSegment() (uint64, bool) {
	numbers, _ := segments(r.fs, r.dir)
	for _, n := range numbers {
		if n > r.segment {
			return n, true
		}
	}
	return 0, false
}

func (r *Reader) openNextSegment() (bool, error) {
	n, ok := r.nextSegment()
	if !ok {
		r.finished = r.closed
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
	r.lookAhead()
	return true, nil
}

func readHeader(fs FS, name string) (h record.SegmentHeader, err error) {
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
