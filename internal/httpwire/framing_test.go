package httpwire

import (
	"io"
	"strings"
	"testing"
)

// Lists come in one line or indented, on streams that cut them anywhere; empty lines between them are signs of life, and a
// list that stops half way is none.
func TestListScanner(t *testing.T) {
	line := `{"a":"}\"{","b":[1,{"c":2}]}`
	indented := "{\n  \"a\": [\n\n    1\n  ]\n}"
	for _, c := range []struct{ name, text, want string }{
		{"two lists", line + "\n\n" + line + "\n", line + "|||" + line + "||"},
		{"indented", "\n\r\n" + indented + "\n\n", "||" + indented + "|||"},
		{"on one line", "  " + line + line, line + "|" + line + "|"},
		{"the second cut off", line + "\n{\"a\":\n", line + "||unexpected EOF"},
		{"no list", "no list\n", `something other than a list: "no list\n"`},
		{"an array", "[1]\n", `something other than a list: "[1]\n"`},
		{"cut off", "\n" + line[:len(line)-1], "|unexpected EOF"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, step := range []int{1, 3, 1000} {
				got := scanLists(&sizedReader{c.text, step})
				// A stream that is cut shows less of what is not a list.
				prefix, isError := cutError(c.want)
				matches := got == c.want || step < 1000 && isError && strings.HasPrefix(got, prefix)
				if !matches {
					t.Errorf("%q by %d: %q, want %q", c.text, step, got, c.want)
				}
			}
		})
	}
}

// scanLists returns all tokens of a stream, each followed by a bar, and the error that ended it.
func scanLists(from io.Reader) (tokens string) {
	lists := newListScanner(from)
	for lists.Scan() {
		tokens += lists.Text() + "|"
	}
	if err := lists.Err(); err != nil {
		tokens += err.Error()
	}
	return tokens
}

// cutError is the part of a wanted errNotAList that doesn't depend on how the stream is cut.
func cutError(want string) (prefix string, isError bool) {
	if !strings.HasPrefix(want, errNotAList.Error()) {
		return "", false
	}
	return want[:27], true
}

// sizedReader reads a text so many bytes at a time.
type sizedReader struct {
	text string
	step int
}

func (r *sizedReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(b, r.text[:min(r.step, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}
