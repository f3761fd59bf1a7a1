package httpwire

// This file holds Upstream's configuration and state. The other files of Upstream are pool.go (connection reuse), conn.go
// (one connection and a round trip on it), upstreamresponse.go (the response parser), attempt.go (attempts and their
// outcomes), loadprobe.go and loadreport.go.
//
// Upstream must never retry on its own or choose a backend: one call sends one attempt and reports one result. Nor must
// it abort an attempt that is not canceled, except after ConnectTimeout or responseReadTimeout.

import (
	"context"
	"net"
	"time"

	"onyxgate/internal/core"
)

// Dial opens a connection to an address. It returns early with an error when ctx is done.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// UpstreamConfig configures how backends are reached and how they report their load.
type UpstreamConfig struct {
	Core    *core.Core
	Dial    Dial
	Sockets *Sockets // the budget shared by client and backend connections

	// BackendAddress returns the address of a backend, or "" if the backend is not in the endpoint list.
	BackendAddress func(backend string) string

	ConnectTimeout time.Duration // for establishing a connection

	// BackendIdleTimeout is how long backends keep an idle connection open. Connections are closed here after half of
	// it: if a backend closed one just as it is reused, that would look like a failure of the backend.
	BackendIdleTimeout time.Duration

	LoadOnResponses bool // backends report their load with each response
	LoadOnProbes    bool // backends report their load in responses to probes
}

// Upstream sends attempts and load probes to backends. Its methods are safe for concurrent use.
type Upstream struct {
	core            *core.Core
	address         func(backend string) string
	conns           *connPools
	loadOnResponses bool
	loadOnProbes    bool
}

// NewUpstream returns an Upstream without connections. Sweep must run for idle connections to be closed in time.
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

// Sweep closes connections that have been idle for too long until ctx is done, then closes all idle ones and returns.
func (u *Upstream) Sweep(ctx context.Context) { u.conns.sweep(ctx) }

// CloseAddress closes the connections to an address at which the same backend no longer runs: idle ones at once, those
// in use or being dialed at the end of their call.
func (u *Upstream) CloseAddress(address string) { u.conns.closeAddress(address) }

// Connections returns the number of connections opened so far, of idle ones, and of calls for which the socket budget had
// no room.
func (u *Upstream) Connections() (opened, idle, noSocket int) { return u.conns.counts() }
