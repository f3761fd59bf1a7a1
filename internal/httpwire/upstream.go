package httpwire

// This file holds what the parts towards the backends share: the configuration of the upstream side and its state. The parts
// are pool.go (connections kept for reuse), conn.go (one connection and one round trip on it), upstreamresponse.go (the parser),
// attempt.go (one attempt and its outcome), loadprobe.go and loadreport.go.
//
// The upstream side must never resend anything on its own, pick a backend, or give up before it is canceled: one call is one
// attempt, and one result comes of it.

import (
	"context"
	"net"
	"time"

	"onyxgate/internal/core"
)

// Dial opens one connection to an address. It returns early with an error when ctx ends.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// UpstreamConfig says how backends are reached and where they report their load.
type UpstreamConfig struct {
	Core    *core.Core
	Dial    Dial
	Sockets *Sockets // the budget that connections to backends share with those of clients

	// BackendAddress is where a backend listens; empty: the backend is not in the endpoint list.
	BackendAddress func(backend string) string

	ConnectTimeout time.Duration // for a connection to come up

	// BackendIdleTimeout is how long backends keep an idle connection open. Ours are closed after half of it: one that the
	// backend closed at the very moment of its reuse would look like a failure of the backend.
	BackendIdleTimeout time.Duration

	LoadOnResponses bool // backends report their load with each response
	LoadOnProbes    bool // backends report their load when they are probed
}

// Upstream sends attempts and load probes to backends. Its methods may be called by any goroutine.
type Upstream struct {
	core            *core.Core
	address         func(backend string) string
	conns           *connPools
	loadOnResponses bool
	loadOnProbes    bool
}

// NewUpstream returns an Upstream that holds no connection yet. Sweep has to run for idle connections to be closed in time.
func NewUpstream(config UpstreamConfig) *Upstream {
	conns := &connPools{
		dial:           config.Dial,
		sockets:        config.Sockets,
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    config.BackendIdleTimeout / 2,
		reuseDelay:     minReuseDelay,
		byAddress:      map[string]*pool{},
	}
	config.Sockets.closeIdleBackend = conns.closeLongestIdle
	return &Upstream{
		core:            config.Core,
		address:         config.BackendAddress,
		conns:           conns,
		loadOnResponses: config.LoadOnResponses,
		loadOnProbes:    config.LoadOnProbes,
	}
}

// Sweep closes connections that have been idle for too long, until ctx ends; then it closes all idle ones and returns.
func (u *Upstream) Sweep(ctx context.Context) { u.conns.sweep(ctx) }

// CloseAddress ends what leads to an address at which another backend runs now, or none: idle connections at once, those that
// are in use or coming up as soon as their call has ended.
func (u *Upstream) CloseAddress(address string) { u.conns.closeAddress(address) }

// Connections counts the connections opened so far, those idle now, and the calls for which no socket was left.
func (u *Upstream) Connections() (opened, idle, noSocket int) { return u.conns.counts() }
