package httpwire

import (
	"net/http"
	"strconv"
	"strings"

	"onyxgate/policy"
)

// maxTokenBytes bounds an id and an idempotency key.
const maxTokenBytes = 256

// maxTimeLeftMs is the longest time that a client may give a request.
const maxTimeLeftMs = 24 * 3600 * 1000

// parsedRequest is what the head of a valid request says.
type parsedRequest struct {
	id             string
	idempotencyKey string
	class          class
	className      string
	key            string  // requests with one key belong together; empty: it has none
	retry          bool    // the client marks it as a repeat
	timeLeft       float64 // ms, from the request's first byte on
	bodyBytes      int64
}

// validationError says what is wrong with a request, in the words of the answer. Neither the core nor a backend has seen such a request.
type validationError struct {
	status int
	text   string // the answer's body
	allow  string // the answer's header Allow; empty: none
}

func (e *validationError) Error() string { return e.text }

var (
	errTransferCoding     = &validationError{status: http.StatusLengthRequired, text: "no coding is taken"}
	errHTTPVersion        = &validationError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 only"}
	errUnknownClass       = &validationError{status: http.StatusNotFound, text: "unknown product"}
	errID                 = &validationError{status: http.StatusBadRequest, text: "no id, or a malformed one"}
	errDeadline           = &validationError{status: http.StatusBadRequest, text: "no deadline, or a malformed one"}
	errNoIdempotencyKey   = &validationError{status: http.StatusBadRequest, text: "no mark against repeats"}
	errUnexpectedBody     = &validationError{status: http.StatusBadRequest, text: "a body where none belongs"}
	errNoLength           = &validationError{status: http.StatusLengthRequired, text: "no length"}
	errRequestBodyTooLong = &validationError{status: http.StatusRequestEntityTooLarge, text: "body too long"}
	errBodyCutOff         = &validationError{status: http.StatusBadRequest, text: "body cut off"}
	errDuplicateID        = &validationError{status: http.StatusBadRequest, text: "this id is held already"}
)

// requestParser applies the rules of a request's form.
type requestParser struct {
	request *http.Request
	classes map[string]class
	path    []string // the elements of its path, the first one empty
	parsed  parsedRequest
}

// requestRules are applied in this order, and the first one that a request breaks is its answer. A rule that needs the class or
// what follows from it stands behind readClass.
var requestRules = [...]func(*requestParser) error{
	(*requestParser).checkTransferCoding,
	(*requestParser).checkVersion,
	(*requestParser).readClass,
	(*requestParser).checkMethod,
	(*requestParser).readID,
	(*requestParser).readTimeLeft,
	(*requestParser).readIdempotencyKey,
	(*requestParser).checkNoBody,
	(*requestParser).checkLength,
	(*requestParser).readBodyBytes,
}

// parseRequest reads a request's head. The error is a *validationError, and then nothing of the request may go further.
func (f *Front) parseRequest(r *http.Request, path string) (parsedRequest, error) {
	p := requestParser{request: r, classes: f.classes, path: strings.Split(path, "/")}
	for _, rule := range requestRules {
		if err := rule(&p); err != nil {
			return parsedRequest{}, err
		}
	}
	if len(p.path) > 2 {
		p.parsed.key = p.path[len(p.path)-1]
	}
	p.parsed.retry = r.Header.Get("Req-Retry") == "1"
	return p.parsed, nil
}

// checkTransferCoding: clients of the protocol state lengths. Beside a length a coding may hide another request, and the server
// drops the length.
func (p *requestParser) checkTransferCoding() error {
	if len(p.request.TransferEncoding) > 0 {
		return errTransferCoding
	}
	return nil
}

// checkVersion: of HTTP/1.0 the server drops a coding unseen, so that checkTransferCoding would not find it.
func (p *requestParser) checkVersion() error {
	if p.request.ProtoMajor != 1 || p.request.ProtoMinor != 1 {
		return errHTTPVersion
	}
	return nil
}

// readClass: the class is the first element of the path. OPTIONS * and the like have no path.
func (p *requestParser) readClass() error {
	isPath := p.path[0] == "" && len(p.path) > 1
	if !isPath {
		return errUnknownClass
	}
	name := p.path[1]
	found, known := p.classes[name]
	if !known {
		return errUnknownClass
	}
	p.parsed.class, p.parsed.className = found, name
	return nil
}

// method is the one method of the request's class.
func (p *requestParser) method() string {
	if p.parsed.class.semantics == policy.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

func (p *requestParser) checkMethod() error {
	if method := p.method(); p.request.Method != method {
		return &validationError{status: http.StatusMethodNotAllowed, text: "wrong method", allow: method}
	}
	return nil
}

func (p *requestParser) readID() error {
	id, single := singleValue(p.request.Header, "Req-Id")
	if !single || !isToken(id) {
		return errID
	}
	p.parsed.id = id
	return nil
}

func (p *requestParser) readTimeLeft() error {
	text, single := singleValue(p.request.Header, "Req-Deadline")
	timeLeft, ok := parseTimeLeft(text)
	if !single || !ok {
		return errDeadline
	}
	p.parsed.timeLeft = timeLeft
	return nil
}

// readIdempotencyKey: only idempotent requests must have one. On others it is passed on as it came.
func (p *requestParser) readIdempotencyKey() error {
	key, single := singleValue(p.request.Header, "Idempotency-Key")
	if p.parsed.class.semantics == policy.Idempotent && (!single || !isToken(key)) {
		return errNoIdempotencyKey
	}
	p.parsed.idempotencyKey = key
	return nil
}

func (p *requestParser) checkNoBody() error {
	if p.method() == http.MethodGet && p.request.ContentLength != 0 {
		return errUnexpectedBody
	}
	return nil
}

func (p *requestParser) checkLength() error {
	if p.method() == http.MethodPost && p.request.Header.Get("Content-Length") == "" {
		return errNoLength
	}
	return nil
}

func (p *requestParser) readBodyBytes() error {
	if p.request.ContentLength > maxBodyBytes {
		return errRequestBodyTooLong
	}
	p.parsed.bodyBytes = p.request.ContentLength
	return nil
}

// singleValue returns the value of a header that stands exactly once: of two, a backend might read the other one.
func singleValue(header http.Header, name string) (value string, single bool) {
	values := header[name]
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// isToken tells that a header's value is one printable word of at most maxTokenBytes.
func isToken(value string) bool {
	isPrintable := !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
	return value != "" && len(value) <= maxTokenBytes && isPrintable
}

// parseTimeLeft reads a number with its unit, 250m (milliseconds) or 250000u (microseconds), and returns milliseconds. The number
// has digits and at most one point, and nothing else that ParseFloat would take: no sign, exponent, hexadecimal, NaN or infinity.
func parseTimeLeft(text string) (ms float64, ok bool) {
	number, unitsPerMs := strings.TrimRight(text, "mu"), 1.0
	switch strings.TrimPrefix(text, number) {
	case "m":
	case "u":
		unitsPerMs = 1000
	default:
		return 0, false
	}
	isPlain := !strings.ContainsFunc(number, func(c rune) bool { return c != '.' && (c < '0' || c > '9') })
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || !isPlain {
		return 0, false
	}
	ms = value / unitsPerMs
	return ms, value > 0 && ms <= maxTimeLeftMs
}
