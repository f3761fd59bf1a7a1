package httpwire

// This file keeps one long-lived stream open, to discovery or to the platform. One that is lost is opened again after a pause,
// which doubles for each that sent nothing. After a change of address the new stream is opened beside the old one, which is
// left as soon as the new one sends something: until then the old one may be the only one that does.

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	reconnectPauseMin = 100.0  // ms, before jitter
	reconnectPauseMax = 1000.0 // ms, before jitter: discovery's changes count as known 4 to 6 s after they were made
)

// streamState is the state of the newest stream.
type streamState uint8

const (
	streamConnecting streamState = iota // opened; nothing has come on it yet
	streamConnected                     // something has come on it
	streamBackingOff                    // lost; it is opened again after the pause
)

// streamConfig says which stream is kept and who hears of it.
type streamConfig struct {
	// read opens one stream and reads it until it ends, at the latest with ctx, and returns why. It calls heard whenever
	// something has come, from the goroutine that it was called on.
	read func(ctx context.Context, onData func()) error

	moved     <-chan bool // a stream to another address is wanted
	reconnect bool        // a lost stream is opened again
	rng       *rand.Rand  // for the jitter of pauses

	onMove       func()          // called before the new stream is opened
	onDisconnect func(err error) // called when the newest stream is lost
}

// streamManager is the state of maintainStream, which owns it. The readers' goroutines only send on its channels.
type streamManager struct {
	config    streamConfig
	firstData chan int       // the number of a stream on which something has come for the first time
	ended     chan streamEnd // a stream that has ended
	retry     <-chan time.Time

	state          streamState
	newest         int     // number of the newest stream
	pause          float64 // ms, before the next reconnect
	cancelNewest   func()  // ends the newest stream
	cancelPrevious func()  // ends the stream that is kept until something comes on the newest
}

// streamEnd is the end of one stream.
type streamEnd struct {
	number int
	err    error
}

// maintainStream keeps a stream open until ctx ends, or until it is lost where it is not to be opened again. Every reader that it
// started ends with it.
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
				continue // it was left, or ended beside the newer one
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

// notifyFirstData returns the function that a stream's reader calls whenever something has come; only its first call counts.
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

// connected leaves the previous stream, now that something has come on the newest.
func (m *streamManager) connected(number int) {
	if number != m.newest {
		return
	}
	m.cancelPrevious()
	m.state, m.pause = streamConnected, reconnectPauseMin
}

// move opens a stream to the new address. One on which something has come is kept until that is so of the new one; else it is left.
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

// backOff sets the time at which a lost stream is opened again.
func (m *streamManager) backOff() {
	m.state = streamBackingOff
	jitter := 0.5 + m.config.rng.Float64()
	m.retry = time.After(time.Duration(m.pause * jitter * float64(time.Millisecond)))
	m.pause = min(2*m.pause, reconnectPauseMax)
}
