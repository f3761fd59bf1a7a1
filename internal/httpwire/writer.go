package httpwire

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"onyxgate/internal/core"
)

const (
	// socketBufferBytes fit into a socket's buffer: they are written at once, even to a client that does not read.
	socketBufferBytes = 4 << 10
	// writeTimeout is for answers longer than that: a client that stops reading must not keep the handler for ever.
	writeTimeout = 10 * time.Second
)

const defaultContentType = "application/octet-stream"

// responseWriter writes a request's one answer. Where an interceptor follows the request, each method writes it to its last byte and
// tells whether that went out: what the server holds back until the handler returns does not count as answered. Without one the
// methods leave the sending to the server.
type responseWriter struct {
	writer  http.ResponseWriter
	request *core.Request
}

// writeServed passes on a backend's answer.
func (r responseWriter) writeServed(response clientResponse) (written bool) {
	if response.contentType == "" {
		response.contentType = defaultContentType
	}
	if len(response.body) > socketBufferBytes {
		// An error means that the connection is closed, and the write then finds the same.
		_ = http.NewResponseController(r.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	r.writer.Header().Set("Content-Type", response.contentType)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	_, err := r.writer.Write(response.body)
	return err == nil && r.flush()
}

// writeRejected tells the client that nothing was done; it may try again after a while (ms), 0: at any time.
func (r responseWriter) writeRejected(retryAfter float64) (written bool) {
	if retryAfter > 0 {
		r.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter/1000, 'f', 3, 64))
	}
	return r.writeStatus(http.StatusServiceUnavailable, "declined: trying again is harmless")
}

// writeFailed tells the client that the outcome is unknown.
func (r responseWriter) writeFailed() (written bool) {
	return r.writeStatus(http.StatusBadGateway, "voided")
}

// writeStatus writes an answer of the front's own.
func (r responseWriter) writeStatus(status int, text string) (written bool) {
	if !r.request.HasInterceptors() {
		http.Error(r.writer, text, status)
		return true
	}
	r.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	r.writer.WriteHeader(status)
	_, err := io.WriteString(r.writer, text)
	return err == nil && r.flush()
}

// flush sends what the server still holds back, where an interceptor wants to know whether it went.
func (r responseWriter) flush() (sent bool) {
	return !r.request.HasInterceptors() || http.NewResponseController(r.writer).Flush() == nil
}

// writeBadInput answers a request that has not the form of one and ends its connection: nothing more is read there, neither a
// body that may never come nor what stands behind it.
func (f *Front) writeBadInput(w http.ResponseWriter, err error) {
	f.invalidRequests.Add(1)
	invalid := &validationError{status: http.StatusBadRequest, text: err.Error()}
	errors.As(err, &invalid)
	if invalid.allow != "" {
		w.Header().Set("Allow", invalid.allow)
	}
	w.Header().Set("Connection", "close")
	// A time long past ends reading. An error means that the connection is closed already.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	http.Error(w, invalid.text, invalid.status)
}
