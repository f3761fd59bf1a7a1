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
	read func(ctx context.Context, heard func()) error

	moved     <-chan bool // a stream to another address is wanted
	reconnect bool        // a lost stream is opened again
	rng       *rand.Rand  // for the jitter of pauses

	onMove       func()          // called before the new stream is opened
	onDisconnect func(err error) // called when the newest stream is lost
}

// streamKeeper is the state of keepStream, which owns it. The readers' goroutines only send on its channels.
type streamKeeper struct {
	config streamConfig
	heard  chan int       // the number of a stream on which something has come for the first time
	ended  chan streamEnd // a stream that has ended
	retry  <-chan time.Time

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

// keepStream keeps a stream open until ctx ends, or until it is lost where it is not to be opened again. Every reader that it
// started ends with it.
func keepStream(ctx context.Context, config streamConfig) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := &streamKeeper{
		config:         config,
		heard:          make(chan int),
		ended:          make(chan streamEnd),
		pause:          reconnectPauseMin,
		cancelNewest:   func() {},
		cancelPrevious: func() {},
	}
	k.connect(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-config.moved:
			k.move(ctx)
		case number := <-k.heard:
			k.connected(number)
		case end := <-k.ended:
			if end.number != k.newest || ctx.Err() != nil {
				continue // it was left, or ended beside the newer one
			}
			config.onDisconnect(end.err)
			if !config.reconnect {
				return
			}
			k.backOff()
		case <-k.retry:
			k.connect(ctx)
		}
	}
}

// connect opens a new stream.
func (k *streamKeeper) connect(ctx context.Context) {
	k.newest++
	k.state, k.retry = streamConnecting, nil
	streamCtx, cancel := context.WithCancel(ctx)
	k.cancelNewest = cancel
	number := k.newest
	go func() { // ends with streamCtx, which is canceled at the latest when keepStream returns
		err := k.config.read(streamCtx, k.firstHeard(streamCtx, number))
		cancel()
		select {
		case k.ended <- streamEnd{number, err}:
		case <-ctx.Done():
		}
	}()
}

// firstHeard returns the function that a stream's reader calls whenever something has come; only its first call counts.
func (k *streamKeeper) firstHeard(ctx context.Context, number int) func() {
	reported := false
	return func() {
		if reported {
			return
		}
		reported = true
		select {
		case k.heard <- number:
		case <-ctx.Done():
		}
	}
}

// connected leaves the previous stream, now that something has come on the newest.
func (k *streamKeeper) connected(number int) {
	if number != k.newest {
		return
	}
	k.cancelPrevious()
	k.state, k.pause = streamConnected, reconnectPauseMin
}

// move opens a stream to the new address. One on which something has come is kept until that is so of the new one; else it is left.
func (k *streamKeeper) move(ctx context.Context) {
	if k.state == streamConnected {
		k.cancelPrevious = k.cancelNewest
	} else {
		k.cancelNewest()
	}
	k.config.onMove()
	k.pause = reconnectPauseMin
	k.connect(ctx)
}

// backOff sets the time at which a lost stream is opened again.
func (k *streamKeeper) backOff() {
	k.state = streamBackingOff
	jitter := 0.5 + k.config.rng.Float64()
	k.retry = time.After(time.Duration(k.pause * jitter * float64(time.Millisecond)))
	k.pause = min(2*k.pause, reconnectPauseMax)
}
