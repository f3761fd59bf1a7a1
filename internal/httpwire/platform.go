package httpwire

// This file holds Platform's configuration and state. notices.go follows the notices about release states, votes.go
// sends votes, and releasestate.go parses release states. Platform must never vote on its own, repeat a vote or infer
// more from a response than the protocol's table defines. Notices and votes must not wait for each other, nor for
// traffic.

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// PlatformConfig configures the connections to the platform.
type PlatformConfig struct {
	Core        *core.Core
	Dial        Dial
	Address     string        // SetAddress replaces it
	VoteTimeout time.Duration // from connecting to the response of a vote
	Seed        uint64        // for the jitter of reconnects
}

// Platform receives release states and sends votes. Its methods are safe for concurrent use.
type Platform struct {
	core        *core.Core
	dial        Dial
	voteTimeout time.Duration
	rng         *rand.Rand // used only by WatchReleases
	moved       chan bool  // signals that the address has changed
	votes       chan vote

	mu      sync.Mutex // guards the fields below
	address string

	// Used only by SendVotes.
	voteConn        *conn // nil: not connected
	voteConnAddress string
}

// NewPlatform returns a Platform. WatchReleases and SendVotes must be run for it to work.
func NewPlatform(config PlatformConfig) *Platform {
	return &Platform{
		core:        config.Core,
		dial:        config.Dial,
		voteTimeout: config.VoteTimeout,
		rng:         policy.NewRand(config.Seed),
		moved:       make(chan bool, 1),
		votes:       make(chan vote, voteQueueSize),
		address:     config.Address,
	}
}

// SetAddress sets a new address. Notices move at once, votes use it from the next one on.
func (p *Platform) SetAddress(address string) {
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
	select {
	case p.moved <- true:
	default: // a move is already pending and will use the new address
	}
}

func (p *Platform) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Apply passes on the state of a release from the configuration or a notice. If the fields are invalid, it returns an
// error and passes nothing on.
func (p *Platform) Apply(fields ReleaseFields) error {
	state, err := parseReleaseState(fields)
	if err != nil {
		return err
	}
	p.update(state, policy.NotAVote)
	return nil
}

// update passes the state of a release to the core.
func (p *Platform) update(state releaseState, response policy.VoteResponse) {
	p.core.UpdateRelease(policy.ReleaseUpdate{
		Release:  state.release,
		Stage:    state.stage,
		Phase:    state.phase,
		Response: response,
		Cap:      state.cap,
		Age:      state.ageMs,
		HasState: true,
	})
	logrus.WithFields(logrus.Fields{
		"release": state.release,
		"stage":   state.stage,
		"phase":   state.mode,
		"cap":     state.cap,
		"age_ms":  state.ageMs,
		"vote":    response != policy.NotAVote,
	}).Info("release update")
}
