package httpwire

// This file cuts discovery's stream into endpoint lists: JSON objects, in one line or indented, with empty lines between them as
// signs of life.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

const maxListBytes = 8 << 20 // of one endpoint list

var errNotAList = errors.New("something other than a list")

// newListScanner returns a scanner whose tokens are whole endpoint lists. An empty line between them is an empty token.
func newListScanner(from io.Reader) *bufio.Scanner {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxListBytes)
	scanner.Split(new(listFramer).split)
	return scanner
}

// listFramer is how far the list that is coming has been looked at.
type listFramer struct {
	scanned  int // bytes of the list seen so far
	depth    int // open braces and brackets; 0: between lists
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// split is a bufio.SplitFunc.
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
			if i > 0 { // what comes before the list is dropped first
				return i, nil, nil
			}
			return f.splitList(data, atEOF)
		default:
			return 0, nil, fmt.Errorf("%w: %.99q", errNotAList, data[i:])
		}
	}
	return len(data), nil, nil
}

// splitList looks for the end of the list that data begins with.
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

// endsList takes in the next byte of a list and reports whether it is the last.
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
