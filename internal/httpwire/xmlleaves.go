package httpwire

// Only the text of leaf elements is used in the platform's XML documents.

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
)

var errEmptyDocument = errors.New("XML document without text")

// xmlLeaves maps the names of a document's leaf elements to their text. If a name is repeated, the last element counts.
type xmlLeaves map[string]string

// text returns the text of an element without surrounding space, or "" if there is no such element.
func (l xmlLeaves) text(name string) string { return l[name] }

// parseXMLLeaves parses a whole document.
func parseXMLLeaves(document []byte) (xmlLeaves, error) {
	leaves := xmlLeaves{}
	decoder, element := xml.NewDecoder(bytes.NewReader(document)), ""
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		switch t := token.(type) {
		case xml.StartElement:
			element = t.Name.Local
		case xml.CharData:
			if element != "" {
				leaves[element] = strings.TrimSpace(string(t))
			}
		case xml.EndElement:
			element = ""
		}
	}
	if len(leaves) == 0 {
		return nil, errEmptyDocument
	}
	return leaves, nil
}
