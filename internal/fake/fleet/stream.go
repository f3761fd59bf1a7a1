package fleet

// Streams by which the fake discovery and platform notify the instances.

import (
	"context"
	"io"
	"net/http"
	"time"
)

// streamBuffer is the number of updates that may be queued for a reader.
const streamBuffer = 64

// subscriber is an open stream.
type subscriber struct {
	instance int
	updates  chan string
}

func newSubscriber(instance int) *subscriber {
	return &subscriber{instance: instance, updates: make(chan string, streamBuffer)}
}

func (s *subscriber) send(update string) {
	select {
	case s.updates <- update:
	default: // dropped; a reader this far behind receives the current state if it reconnects
	}
}

// streamOptions describe a stream apart from its updates.
type streamOptions struct {
	contentType       string
	initial           string // state at the time of connecting
	keepAlive         string
	keepAliveInterval time.Duration
	muted             func() bool // no keep-alive is sent while it returns true
}

// stream writes the initial state and then the subscriber's updates and keep-alives, until the client disconnects.
func (s *subscriber) stream(ctx context.Context, w http.ResponseWriter, options streamOptions) {
	w.Header().Set("Content-Type", options.contentType)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(options.keepAliveInterval)
	defer ticker.Stop()
	text := options.initial
	for {
		if _, err := io.WriteString(w, text); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case text = <-s.updates:
		case <-ticker.C:
			if text = options.keepAlive; options.muted() {
				text = ""
			}
		}
	}
}
