package httpwire

import (
	"net/http"
	"strconv"
	"strings"

	"onyxgate/policy"
)

// maxTokenBytes limits the length of a request id and of an idempotency key.
const maxTokenBytes = 256

// maxTimeLeftMs is the longest timeout that a client may set.
const maxTimeLeftMs = 24 * 3600 * 1000

// parsedRequest holds the parsed head of a valid request.
type parsedRequest struct {
	id             string
	idempotencyKey string
	class          class
	className      string
	key            string  // affinity key; empty: none
	retry          bool    // the client marked the request as a retry
	timeLeft       float64 // ms from the first byte of the request
	bodyBytes      int64
}

// validationError describes why a request is invalid, and the response to it. Only errDuplicateID is detected by the
// core; all other invalid requests reach neither the core nor a backend.
type validationError struct {
	status int
	text   string // body of the response
	allow  string // Allow header of the response; empty: none
}

func (e *validationError) Error() string { return e.text }

var (
	errTransferCoding     = &validationError{status: http.StatusLengthRequired, text: "no coding is taken"}
	errHTTPVersion        = &validationError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 only"}
	errUnknownClass       = &validationError{status: http.StatusNotFound, text: "unknown product"}
	errInvalidID          = &validationError{status: http.StatusBadRequest, text: "no id, or a malformed one"}
	errInvalidDeadline    = &validationError{status: http.StatusBadRequest, text: "no deadline, or a malformed one"}
	errNoIdempotencyKey   = &validationError{status: http.StatusBadRequest, text: "no mark against repeats"}
	errUnexpectedBody     = &validationError{status: http.StatusBadRequest, text: "a body where none belongs"}
	errNoLength           = &validationError{status: http.StatusLengthRequired, text: "no length"}
	errRequestBodyTooLong = &validationError{status: http.StatusRequestEntityTooLarge, text: "body too long"}
	errIncompleteBody     = &validationError{status: http.StatusBadRequest, text: "body cut off"}
	// errNoRoom rejects a valid head whose body did not arrive before its socket was needed.
	errNoRoom = &validationError{status: http.StatusServiceUnavailable, text: rejectedText}
	// errClientLeft is for a client that has closed at least its sending side. It reads the response only if it has not
	// closed the other side.
	errClientLeft  = &validationError{status: http.StatusServiceUnavailable, text: rejectedText}
	errDuplicateID = &validationError{status: http.StatusBadRequest, text: "this id is held already"}
)

// requestParser validates the head of one request.
type requestParser struct {
	request *http.Request
	classes map[string]class
	path    []string // path elements; the first one is empty
	parsed  parsedRequest
}

// requestRules are applied in this order, and the first violated rule determines the response. Rules that depend on the
// request's class must follow readClass.
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

// parseRequest parses a request head. The error is a *validationError, and the request must not be processed further
// then.
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

// checkTransferCoding rejects all transfer codings, because clients of the protocol send Content-Length. If a request
// has both, the coding may hide another request in the body, and net/http drops the length.
func (p *requestParser) checkTransferCoding() error {
	if len(p.request.TransferEncoding) > 0 {
		return errTransferCoding
	}
	return nil
}

// checkVersion rejects all versions but HTTP/1.1. For HTTP/1.0, net/http silently drops the transfer coding that
// checkTransferCoding looks for.
func (p *requestParser) checkVersion() error {
	if p.request.ProtoMajor != 1 || p.request.ProtoMinor != 1 {
		return errHTTPVersion
	}
	return nil
}

// readClass looks up the class named by the first element of the path. OPTIONS * and the like have no path.
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

// method returns the only method allowed for the request's class.
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
		return errInvalidID
	}
	p.parsed.id = id
	return nil
}

func (p *requestParser) readTimeLeft() error {
	text, single := singleValue(p.request.Header, "Req-Deadline")
	timeLeft, ok := parseTimeLeft(text)
	if !single || !ok {
		return errInvalidDeadline
	}
	p.parsed.timeLeft = timeLeft
	return nil
}

// readIdempotencyKey requires a key on idempotent requests only. On other requests the key is forwarded unchecked.
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

// singleValue returns the value of a header that occurs exactly once. If there were two, a backend might use the other
// one.
func singleValue(header http.Header, name string) (value string, single bool) {
	values := header[name]
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// isToken reports whether a header value is a non-empty string of printable ASCII characters other than space, of at
// most maxTokenBytes.
func isToken(value string) bool {
	isPrintable := !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
	return value != "" && len(value) <= maxTokenBytes && isPrintable
}

// parseTimeLeft parses a number with its unit, such as 250m (milliseconds) or 250000u (microseconds), into
// milliseconds. The number consists of digits and at most one decimal point. Other forms that ParseFloat accepts are
// invalid: a sign, an exponent, hexadecimal, NaN or infinity.
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
