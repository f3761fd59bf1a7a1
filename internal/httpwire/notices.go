package httpwire

// The platform's notices are a stream of events that carry the states of releases.

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	noticesPath       = "/notices"
	noticeIdleTimeout = 3500 * time.Millisecond // the platform sends a comment line every second as a keep-alive
	maxNoticeBytes    = 64 << 10                // per line
	stageEvent        = "stage"                 // the event that carries the state of a release
)

// errMalformedNotice ends a stream: malformed data indicates corruption, and the rest of the connection can't be trusted.
var errMalformedNotice = errors.New("malformed release notice")

// WatchReleases follows the notices until ctx is done.
func (p *Platform) WatchReleases(ctx context.Context) {
	maintainStream(ctx, streamConfig{
		read:         p.readNotices,
		moved:        p.moved,
		reconnect:    true,
		rng:          p.rng,
		onMove:       func() { logrus.Info("release stream moving to another address") },
		onDisconnect: func(err error) { logrus.WithError(err).Warn("release stream disconnected") },
	})
}

// readNotices reads one stream until it breaks, becomes silent or sends malformed data.
func (p *Platform) readNotices(ctx context.Context, onData func()) error {
	stream, err := openControlStream(ctx, p.dial, p.currentAddress(), noticesPath, noticeIdleTimeout)
	if err != nil {
		return err
	}
	defer stream.Close()
	logrus.Info("release stream connected")
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxNoticeBytes)
	var event notice
	for lines.Scan() {
		stream.extendReadDeadline(noticeIdleTimeout)
		complete, keepAlive, err := event.addLine(lines.Text())
		if err != nil {
			return err
		}
		if complete {
			if err := p.applyNotice(event); err != nil {
				return err
			}
			event = notice{}
		}
		if complete || keepAlive {
			onData()
		}
	}
	return cmp.Or(lines.Err(), errStreamEnded)
}

// notice is an event, possibly incomplete.
type notice struct {
	event string
	data  string
}

// addLine adds one line. An empty line completes the notice; a line that starts with a colon is a keep-alive.
func (n *notice) addLine(line string) (complete, keepAlive bool, err error) {
	name, value, colon := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch {
	case name == "event" && colon:
		n.event = value
	case name == "data" && colon:
		n.data += value
	case name == "" && colon:
		return false, true, nil
	case name == "":
		return true, false, nil
	default:
		return false, false, fmt.Errorf("%w: %.99q", errMalformedNotice, line)
	}
	return false, false, nil
}

// applyNotice passes on the release state in a notice. Events of other types are ignored.
func (p *Platform) applyNotice(n notice) error {
	if n.event != stageEvent {
		return nil
	}
	form, err := url.ParseQuery(n.data)
	if err == nil {
		err = p.Apply(ReadReleaseFields(form.Get))
	}
	if err != nil {
		return fmt.Errorf("%w: %w: %.99q", errMalformedNotice, err, n.data)
	}
	return nil
}
