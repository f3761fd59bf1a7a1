package spool

// This file owns the files of an incarnation's segments: their names, and the headers they begin with.

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"onyxgate/internal/record"
)

const segmentSuffix = ".seg"

// maxHeaderBytes holds a frame with a segment's header.
const maxHeaderBytes = 2048

// segmentFile is a segment as its directory lists it.
type segmentFile struct {
	number uint64
	bytes  int64
}

func segmentName(number uint64) string { return fmt.Sprintf("%010d%s", number, segmentSuffix) }

// listSegments lists the segments in a directory, in order. A directory that can't be listed has none.
func listSegments(files FS, dir string) (segments []segmentFile) {
	all, _ := files.List(dir) // what it found before an error counts
	for _, file := range all {
		stem, ok := strings.CutSuffix(file.Name, segmentSuffix)
		if !ok {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(stem, "%d", &number); err == nil {
			segments = append(segments, segmentFile{number, file.Bytes})
		}
	}
	return segments
}

// readHeader reads the header of a segment. Errors wrap record.ErrShortFrame while it is being written, and
// record.ErrCorruptFrame where there is none.
func readHeader(files FS, name string) (header record.SegmentHeader, err error) {
	file, err := files.Open(name)
	if err != nil {
		return header, err
	}
	defer file.Close()
	text := make([]byte, maxHeaderBytes)
	n, err := file.ReadAt(text, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return header, err
	}
	frame, _, err := record.ParseFrame(text[:n])
	if err != nil {
		return header, err
	}
	value, err := record.Decode(frame.Payload)
	if err != nil {
		return header, err
	}
	if found, ok := value.(*record.SegmentHeader); ok {
		return *found, nil
	}
	return header, record.ErrCorruptFrame
}
