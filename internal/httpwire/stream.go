package httpwire

// The streams from discovery and from the platform are kept open permanently. A lost stream is reopened after a pause
// that doubles each time a stream ends without data. After a change of address, the new stream is opened while the old
// one is still in use. The old one is closed when the new one delivers data: until then it may be the only one that
// does.

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	reconnectPauseMin = 100.0  // ms, before jitter
	reconnectPauseMax = 1000.0 // ms, before jitter; short: changes in discovery count as known after 4 to 6 s
)

// streamState is the state of the newest stream.
type streamState uint8

const (
	streamConnecting streamState = iota // being opened; no data received yet
	streamConnected                     // data received
	streamBackingOff                    // lost; reopened after the pause
)

// streamConfig configures a stream and its callbacks.
type streamConfig struct {
	// read opens one stream, reads it until it ends or ctx is done, and returns the reason. It calls onData, in the
	// goroutine it was called in, whenever data has arrived.
	read func(ctx context.Context, onData func()) error

	moved     <-chan bool // signals that the stream's address has changed
	reconnect bool        // reopen a lost stream
	rng       *rand.Rand  // for the jitter of pauses

	onMove       func()          // called before the stream to a new address is opened
	onDisconnect func(err error) // called when the newest stream is lost
}

// streamManager is the state of maintainStream, which owns it. The goroutines of the readers only send on its channels.
type streamManager struct {
	config    streamConfig
	firstData chan int       // number of a stream that has received data for the first time
	ended     chan streamEnd // streams that have ended
	retry     <-chan time.Time

	state          streamState
	newest         int     // number of the newest stream
	pause          float64 // ms before the next reconnect
	cancelNewest   func()  // closes the newest stream
	cancelPrevious func()  // closes the stream that is kept until the newest one receives data
}

// streamEnd reports the end of one stream.
type streamEnd struct {
	number int
	err    error
}

// maintainStream keeps a stream open until ctx is done, or until the stream is lost if config.reconnect is not set. All
// readers that it started are canceled when it returns.
func maintainStream(ctx context.Context, config streamConfig) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &streamManager{
		config:         config,
		firstData:      make(chan int),
		ended:          make(chan streamEnd),
		pause:          reconnectPauseMin,
		cancelNewest:   func() {},
		cancelPrevious: func() {},
	}
	m.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-config.moved:
			m.move(ctx)
		case number := <-m.firstData:
			m.connected(number)
		case end := <-m.ended:
			if end.number != m.newest || ctx.Err() != nil {
				continue // an older stream, which was replaced or ended before the newest one received data
			}
			config.onDisconnect(end.err)
			if !config.reconnect {
				return
			}
			m.backOff()
		case <-m.retry:
			m.connect(ctx)
		}
	}
}

// connect opens a new stream.
func (m *streamManager) connect(ctx context.Context) {
	m.newest++
	m.state, m.retry = streamConnecting, nil
	streamCtx, cancel := context.WithCancel(ctx)
	m.cancelNewest = cancel
	number := m.newest
	go func() { // ends with streamCtx, which is canceled at the latest when maintainStream returns
		err := m.config.read(streamCtx, m.notifyFirstData(streamCtx, number))
		cancel()
		select {
		case m.ended <- streamEnd{number, err}:
		case <-ctx.Done():
		}
	}()
}

// notifyFirstData returns the onData callback for a stream's reader. Only its first call has an effect.
func (m *streamManager) notifyFirstData(ctx context.Context, number int) func() {
	reported := false
	return func() {
		if reported {
			return
		}
		reported = true
		select {
		case m.firstData <- number:
		case <-ctx.Done():
		}
	}
}

// connected closes the previous stream after the newest one has received data.
func (m *streamManager) connected(number int) {
	if number != m.newest {
		return
	}
	m.cancelPrevious()
	m.state, m.pause = streamConnected, reconnectPauseMin
}

// move opens a stream to the new address. If the current stream has received data, it is kept until the new one does;
// otherwise it is closed.
func (m *streamManager) move(ctx context.Context) {
	if m.state == streamConnected {
		m.cancelPrevious = m.cancelNewest
	} else {
		m.cancelNewest()
	}
	m.config.onMove()
	m.pause = reconnectPauseMin
	m.connect(ctx)
}

// backOff schedules the reconnect of a lost stream.
func (m *streamManager) backOff() {
	m.state = streamBackingOff
	jitter := 0.5 + m.config.rng.Float64()
	m.retry = time.After(time.Duration(m.pause * jitter * float64(time.Millisecond)))
	m.pause = min(2*m.pause, reconnectPauseMax)
}
