package httpwire

// This file follows the platform's notices, a stream of events that hold the states of releases.

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
	noticeIdleTimeout = 3500 * time.Millisecond // a sign of life comes every second
	maxNoticeBytes    = 64 << 10                // of one line
	stageEvent        = "stage"                 // the event that holds a release's state
)

// errMalformedNotice ends a stream: what can't be read is noise, and the connection of no further use.
var errMalformedNotice = errors.New("a notice that can't be read")

// WatchReleases follows the notices until ctx ends.
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

// readNotices reads one stream until it breaks, falls silent or sends what can't be read.
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

// notice is one event as far as its lines have come.
type notice struct {
	event string
	data  string
}

// addLine takes in one line. An empty line makes the notice whole; a line without a name is a sign of life.
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

// applyNotice hands on the release's state that a notice holds. Events of other kinds are passed over.
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
