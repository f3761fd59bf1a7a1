package fleet

// This file owns the streams on which instances are notified.

import (
	"context"
	"io"
	"net/http"
	"time"
)

// streamBuffer is how many updates may wait for a reader.
const streamBuffer = 64

// subscriber is one open stream.
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
	default: // a reader that is so far behind gets the state in force when it connects again
	}
}

// streamOptions say what a stream carries beside its updates.
type streamOptions struct {
	contentType   string
	initial         string // the state at the time of connecting
	keepAlive     string
	keepAliveInterval time.Duration
	muted         func() bool // no keep-alive is sent while it returns true
}

// stream writes what comes to a subscriber until the client goes away.
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
