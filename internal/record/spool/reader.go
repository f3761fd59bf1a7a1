package spool

// Sequential reading of an incarnation's segments in bounded memory, either while it is being written or after it has
// ended. record.Replay interprets the frames.

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

// Reader reads one incarnation, beginning with its oldest remaining segment. Methods must not be called concurrently.
type Reader struct {
	Replay   *record.Replay // state of everything read so far
	fs       FS
	dir      string
	closed   bool // the incarnation is no longer written
	finished bool // everything was read and nothing will follow

	file          ReadFile // the current segment; nil if none is open
	segment       uint64
	offset        int64 // file offset of the start of buffer
	buffer        []byte
	rewrittenFrom uint64 // first ordinal of the next segment, which supersedes frames from there on; 0 if unknown

	corruptBytes int64 // skipped since the last valid frame
	corruptFrom  int64 // file offset of the first skipped byte
}

// NewReader returns a reader for an incarnation. closed means that it will not be written again.
func (s *Spool) NewReader(incarnation string, closed bool) *Reader {
	return &Reader{Replay: record.NewReplay(), fs: s.fs, dir: join(s.dir, incarnation), closed: closed}
}

// Segment returns the number of the current segment. Segments before it have been read completely.
func (r *Reader) Segment() uint64 { return r.segment }

// Close closes the current segment.
func (r *Reader) Close() {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}

// Next reads the next chunk and returns the rows that became final. more is false if there is nothing left to
// read for now. For a closed incarnation, the last rows returned are those in doubt. Next may be called again after an
// error.
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
	if atEnd { // checked after reading, because the writer may start another segment meanwhile
		isLast = !r.lookAhead()
		if !isLast && read > 0 { // more may have been written before the writer moved on
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

// fill appends the next chunk of the file to the buffer.
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

// parse extracts the frames from the buffer. If the file no longer grows (final), an incomplete frame at the end is
// treated as corrupt.
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

// skipCorrupt records that there is no valid frame at index in the buffer and returns the distance to the next
// candidate.
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

// endCorrupt reports the skipped bytes before a valid frame as a defect.
func (r *Reader) endCorrupt() {
	if r.corruptBytes > 0 {
		r.Replay.AddCorruptBytes(r.corruptFrom, r.corruptBytes)
		r.corruptBytes = 0
	}
}

// applyFrame passes a frame to the replay and appends the rows that became final.
func (r *Reader) applyFrame(rows []record.Row, frame record.Frame) ([]record.Row, error) {
	if record.Kind(frame.Payload[0]) == record.KindHeader {
		value, err := record.Decode(frame.Payload)
		if err != nil {
			return rows, fmt.Errorf("%s segment %d: header: %w", r.dir, r.segment, err)
		}
		return rows, r.Replay.StartSegment(*value.(*record.SegmentHeader))
	}
	if r.rewrittenFrom == 0 || frame.Ordinal < r.rewrittenFrom {
		rows = append(rows, r.Replay.Apply(frame)...)
	}
	return rows, nil
}

// closeSegment ends reading the current segment. Invalid bytes at its end are a torn tail if it is the last segment,
// and otherwise a defect unless the next segment continues right after the last frame that was read.
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

// lookAhead determines the first ordinal of the next segment and reports whether there is one.
func (r *Reader) lookAhead() bool {
	next, ok := r.nextSegment()
	if ok && r.rewrittenFrom == 0 {
		header, err := readHeader(r.fs, join(r.dir, segmentName(next)))
		if err == nil {
			r.rewrittenFrom = header.From
		}
		return err == nil || r.closed // while the writer runs, the header may not be written yet
	}
	return ok
}

// nextSegment returns the number of the segment after the current one.
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
