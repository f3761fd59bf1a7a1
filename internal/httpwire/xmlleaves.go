package httpwire

// This file reads the platform's XML documents, of which only the texts of the innermost elements matter.

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
)

var errEmptyDocument = errors.New("an answer that says nothing")

// xmlLeaves are the texts of a document by the name of their element. Of several with one name the last counts.
type xmlLeaves map[string]string

// text is an element's text without space around it; empty where there is no such element.
func (l xmlLeaves) text(name string) string { return l[name] }

// parseXMLLeaves reads a document to its end.
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
