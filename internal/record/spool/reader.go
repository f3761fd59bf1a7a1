package spool

// This file owns the reading of an incarnation's segments, from the first that is left, in bounded memory: while it is
// written, or once it never will be again. What the bytes mean is record.Replay's.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"

	"onyxgate/internal/record"
)

const (
	readChunk      = 256 << 10 // bytes
	frameFirstByte = 0x0f
)

// Reader reads one incarnation. Calls must not overlap.
type Reader struct {
	Replay   *record.Replay // what was read so far
	fs       FS
	dir      string
	closed   bool // nobody writes it any more
	finished bool // all was read, and nothing will follow

	file          ReadFile // of the present segment; nil: none is open
	segment       uint64
	offset        int64 // in the file, of the buffer's beginning
	buffer        []byte
	rewrittenFrom uint64 // first ordinal of the next segment: from there on the present one is written anew; 0: not known

	corruptBytes int64 // skipped since the last frame
	corruptFrom  int64 // their offset in the file
}

// Read starts reading an incarnation; closed: it will never be written again.
func (s *Spool) NewReader(incarnation string, closed bool) *Reader {
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
// the last rows are those in doubt. After an error Next may be called again.
func (r *Reader) Next() (rows []record.Row, more bool, err error) {
	if r.finished {
		return nil, false, nil
	}
	if r.file == nil {
		if opened, err := r.openNextSegment(); err != nil || !opened {
			return nil, false, err
		}
	}
	read, atEnd, err := r.fill()
	if err != nil {
		return nil, false, err
	}
	isLast := false
	if atEnd { // looked up after reading, for the writer may begin another segment meanwhile
		isLast = !r.lookAhead()
		if !isLast && read > 0 { // what was written before that has not all been read, perhaps
			atEnd = false
		}
	}
	rows, err = r.parse(atEnd && (!isLast || r.closed))
	switch {
	case err != nil || !atEnd:
		return rows, err == nil, err
	case isLast && !r.closed:
		return rows, false, nil
	}
	r.closeSegment(isLast)
	if isLast {
		r.finished = true
		return append(rows, r.Replay.Finish()...), false, nil
	}
	return rows, true, nil
}

// fill reads a chunk behind what the buffer holds.
func (r *Reader) fill() (read int, atEnd bool, err error) {
	kept := len(r.buffer)
	r.buffer = append(r.buffer, make([]byte, readChunk)...)
	read, err = r.file.ReadAt(r.buffer[kept:], r.offset+int64(kept))
	r.buffer = r.buffer[:kept+read]
	atEnd = errors.Is(err, io.EOF)
	if err != nil && !atEnd {
		return read, false, fmt.Errorf("%s segment %d: %w", r.dir, r.segment, err)
	}
	return read, atEnd, nil
}

// parse takes the frames out of the buffer. Where the file grows no more (final), what is left at its end is no frame.
func (r *Reader) parse(final bool) (rows []record.Row, err error) {
	used := 0
	for used < len(r.buffer) {
		frame, size, err := record.ParseFrame(r.buffer[used:])
		if errors.Is(err, record.ErrShortFrame) && !final {
			break
		}
		if err != nil {
			used += r.skipCorrupt(used)
			continue
		}
		r.endCorrupt()
		if rows, err = r.applyFrame(rows, frame); err != nil {
			return rows, err
		}
		used += size
	}
	r.offset += int64(used)
	r.buffer = append(r.buffer[:0], r.buffer[used:]...)
	return rows, nil
}

// skipCorrupt notes that what the buffer holds at an index is no frame, and returns how far the next may be away.
func (r *Reader) skipCorrupt(index int) (skip int) {
	if r.corruptBytes == 0 {
		r.corruptFrom = r.offset + int64(index)
	}
	rest := r.buffer[index+1:]
	step := bytes.IndexByte(rest, frameFirstByte)
	if step < 0 {
		step = len(rest)
	}
	r.corruptBytes += int64(step + 1)
	return step + 1
}

// endCorrupt notes the corrupt bytes before a frame as a defect.
func (r *Reader) endCorrupt() {
	if r.corruptBytes > 0 {
		r.Replay.AddCorruptBytes(r.corruptFrom, r.corruptBytes)
		r.corruptBytes = 0
	}
}

// take gives a frame to the replay and adds what became final by it.
func (r *Reader) applyFrame(rows []record.Row, frame record.Frame) ([]record.Row, error) {
	if record.Kind(frame.Payload[0]) == record.KindHeader {
		value, err := record.Decode(frame.Payload)
		if err != nil {
			return rows, fmt.Errorf("%s segment %d: its head: %w", r.dir, r.segment, err)
		}
		return rows, r.Replay.StartSegment(*value.(*record.SegmentHeader))
	}
	if r.rewrittenFrom == 0 || frame.Ordinal < r.rewrittenFrom {
		rows = append(rows, r.Replay.Apply(frame)...)
	}
	return rows, nil
}

// closeSegment ends the reading of the present segment: only the end of the last one may be torn.
func (r *Reader) closeSegment(isLast bool) {
	missesFrames := r.rewrittenFrom == 0 || r.Replay.LastRead()+1 < r.rewrittenFrom
	switch {
	case r.corruptBytes > 0 && isLast:
		r.Replay.AddTornTail(r.corruptBytes)
	case r.corruptBytes > 0 && missesFrames:
		r.Replay.AddCorruptBytes(r.corruptFrom, r.corruptBytes)
	}
	r.Close()
	r.buffer, r.offset, r.corruptBytes, r.rewrittenFrom = r.buffer[:0], 0, 0, 0
}

// lookAhead notes where the next segment begins and reports whether there is one.
func (r *Reader) lookAhead() bool {
	next, ok := r.nextSegment()
	if ok && r.rewrittenFrom == 0 {
		header, err := readHeader(r.fs, join(r.dir, segmentName(next)))
		if err == nil {
			r.rewrittenFrom = header.From
		}
		return err == nil || r.closed // else it was made and its header is on the way
	}
	return ok
}

// nextSegment is the one behind the present.
func (r *Reader) nextSegment() (number uint64, ok bool) {
	for _, segment := range listSegments(r.fs, r.dir) {
		if segment.number > r.segment {
			return segment.number, true
		}
	}
	return 0, false
}

func (r *Reader) openNextSegment() (opened bool, err error) {
	number, ok := r.nextSegment()
	if !ok {
		r.finished = r.closed
		return false, nil
	}
	file, err := r.fs.Open(join(r.dir, segmentName(number)))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r.file, r.segment = file, number
	r.lookAhead()
	return true, nil
}
