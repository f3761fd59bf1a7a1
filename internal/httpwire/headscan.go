package httpwire

import "bytes"

const (
	// maxHeadFields is the largest number of header fields of a request. Each field costs some hundred bytes once it is
	// parsed, however short it is, so the limit on the head's size alone does not bound its memory.
	maxHeadFields = 100

	// freeHeadBytes and freeHeadFields are the size up to which a head needs no reservation.
	freeHeadBytes  = 2 << 10
	freeHeadFields = 32

	// headByteCost and headFieldCost are the memory (bytes) for each byte and each field of a head: the raw lines, the parsed
	// strings, the map and the head that is sent to a backend.
	headByteCost  = 3
	headFieldCost = 256

	// maxHeadCost is the memory of the largest head. net/http reads up to 4 KiB more than maxHeadBytes.
	maxHeadCost = headByteCost*(maxHeadBytes+4<<10) + headFieldCost*maxHeadFields
)

// headScanner finds the end of a request head in the bytes as they arrive, and counts its fields. The zero value is ready to
// scan a head.
type headScanner struct {
	complete   bool // the empty line at the end has been scanned
	bytes      int
	lines      int // complete lines, without the last, empty one
	lineLength int // bytes of the current line so far
	onlyCR     bool
}

// scan scans the next bytes and returns how many of them belong to the head.
func (s *headScanner) scan(b []byte) (n int) {
	for n < len(b) && !s.complete {
		line := b[n:]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			s.extendLine(line)
			n = len(b)
			break
		}
		s.extendLine(line[:end])
		n += end + 1
		s.complete = s.endLine()
	}
	s.bytes += n
	return n
}

func (s *headScanner) extendLine(part []byte) {
	if len(part) == 0 {
		return
	}
	s.onlyCR = s.lineLength == 0 && len(part) == 1 && part[0] == '\r'
	s.lineLength += len(part)
}

// endLine ends the current line and reports whether it is empty, which ends the head.
func (s *headScanner) endLine() (empty bool) {
	empty = s.lineLength == 0 || s.onlyCR
	s.lineLength, s.onlyCR = 0, false
	if !empty {
		s.lines++
	}
	return empty
}

// fields returns the number of complete header fields. The first line is the request line.
func (s *headScanner) fields() int { return max(s.lines-1, 0) }

// isSmall reports whether the head needs no reservation so far.
func (s *headScanner) isSmall() bool { return s.bytes <= freeHeadBytes && s.fields() <= freeHeadFields }

// cost returns the memory (bytes) that the head needs beyond the free size.
func (s *headScanner) cost() int64 {
	if s.isSmall() {
		return 0
	}
	return int64(headByteCost*s.bytes + headFieldCost*s.fields())
}
