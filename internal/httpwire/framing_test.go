package httpwire

import (
	"io"
	"strings"
	"testing"
)

// Lists may be on one line or indented, and reads may split the stream anywhere. Empty lines between lists are
// keep-alives, and an incomplete list is not returned.
func TestListScanner(t *testing.T) {
	line := `{"a":"}\"{","b":[1,{"c":2}]}`
	indented := "{\n  \"a\": [\n\n    1\n  ]\n}"
	for _, c := range []struct{ name, text, want string }{
		{"two lists", line + "\n\n" + line + "\n", line + "|||" + line + "||"},
		{"indented", "\n\r\n" + indented + "\n\n", "||" + indented + "|||"},
		{"two lists on one line", "  " + line + line, line + "|" + line + "|"},
		{"second list incomplete", line + "\n{\"a\":\n", line + "||unexpected EOF"},
		{"text", "no list\n", `not an endpoint list object: "no list\n"`},
		{"array", "[1]\n", `not an endpoint list object: "[1]\n"`},
		{"incomplete list", "\n" + line[:len(line)-1], "|unexpected EOF"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, step := range []int{1, 3, 1000} {
				got := scanLists(&sizedReader{c.text, step})
				// With small reads, the error quotes less of the text.
				prefix, isError := cutError(c.want)
				matches := got == c.want || step < 1000 && isError && strings.HasPrefix(got, prefix)
				if !matches {
					t.Errorf("text %q in reads of %d bytes: got %q, want %q", c.text, step, got, c.want)
				}
			}
		})
	}
}

// scanLists returns all tokens of a stream, each followed by a bar, and the error at its end.
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

// cutError returns the part of an expected errNotAList that does not depend on the size of the reads.
func cutError(want string) (prefix string, isError bool) {
	if !strings.HasPrefix(want, errNotAList.Error()) {
		return "", false
	}
	return want[:27], true
}

// sizedReader returns at most step bytes from each Read.
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
