package httpwire

// listFramer splits the stream from discovery into endpoint lists: JSON objects, on one line or indented, with empty
// lines between them as keep-alives.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

const maxListBytes = 8 << 20 // per endpoint list

var errNotAList = errors.New("not an endpoint list object")

// newListScanner returns a scanner whose tokens are whole endpoint lists. An empty line between lists is an empty token.
func newListScanner(from io.Reader) *bufio.Scanner {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxListBytes)
	scanner.Split(new(listFramer).split)
	return scanner
}

// listFramer is the scan state of an incomplete list.
type listFramer struct {
	scanned  int // bytes of the list scanned so far
	depth    int // open braces and brackets; 0: between lists
	inString bool
	escaped  bool // the previous byte was a backslash in a string
}

// split implements bufio.SplitFunc.
func (f *listFramer) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if f.depth > 0 {
		return f.splitList(data, atEOF)
	}
	for i, c := range data {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			return i + 1, data[:0], nil
		case '{':
			if i > 0 { // drop the spaces before the list first
				return i, nil, nil
			}
			return f.splitList(data, atEOF)
		default:
			return 0, nil, fmt.Errorf("%w: %.99q", errNotAList, data[i:])
		}
	}
	return len(data), nil, nil
}

// splitList returns the list at the start of data if it is complete.
func (f *listFramer) splitList(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for ; f.scanned < len(data); f.scanned++ {
		if f.endsList(data[f.scanned]) {
			length := f.scanned + 1
			*f = listFramer{}
			return length, data[:length], nil
		}
	}
	if atEOF {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// endsList processes the next byte of a list and reports whether it is the last one.
func (f *listFramer) endsList(c byte) bool {
	switch {
	case f.escaped:
		f.escaped = false
	case f.inString && c == '\\':
		f.escaped = true
	case c == '"':
		f.inString = !f.inString
	case f.inString:
	case c == '{' || c == '[':
		f.depth++
	case c == '}' || c == ']':
		f.depth--
		return f.depth == 0
	}
	return false
}
