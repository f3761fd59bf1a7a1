package spool

// Segment files: their names and headers.

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"onyxgate/internal/record"
)

const segmentSuffix = ".seg"

// maxHeaderBytes is large enough for a frame with a segment header.
const maxHeaderBytes = 2048

// segmentFile is a segment found in a directory listing.
type segmentFile struct {
	number uint64
	bytes  int64
}

func segmentName(number uint64) string { return fmt.Sprintf("%010d%s", number, segmentSuffix) }

// listSegments returns the segments in a directory in order, or none if the directory can't be listed.
func listSegments(files FS, dir string) (segments []segmentFile) {
	all, _ := files.List(dir) // entries found before an error are used
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

// readHeader reads the header of a segment. Errors wrap record.ErrShortFrame if it is still being written and
// record.ErrCorruptFrame if the segment does not begin with a header.
func readHeader(files FS, name string) (header record.SegmentHeader, err error) {
	file, err := files.Open(name)
	if err != nil {
		return header, err
	}
	defer file.Close()
	buffer := make([]byte, maxHeaderBytes)
	n, err := file.ReadAt(buffer, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return header, err
	}
	frame, _, err := record.ParseFrame(buffer[:n])
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
