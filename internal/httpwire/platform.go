package httpwire

// This file holds what the two connections to the platform share. notices.go follows the notices of releases' states,
// votes.go sends the votes, releasestate.go parses a release's state. They must never vote, repeat a vote or read more into a
// response than the protocol's table says; notices never wait on votes, nor either on traffic.

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// PlatformConfig says where the platform is.
type PlatformConfig struct {
	Core        *core.Core
	Dial        Dial
	Address     string        // until SetAddress names another
	VoteTimeout time.Duration // for a vote, from connecting to its response
	Seed        uint64        // of the jitter of reconnects
}

// Platform receives releases' states and sends votes. Its methods may be called by any goroutine.
type Platform struct {
	core        *core.Core
	dial        Dial
	voteTimeout time.Duration
	rng         *rand.Rand // used by the notices' keeper only
	moved       chan bool  // the address has changed
	votes       chan vote

	mu      sync.Mutex // guards what follows
	address string

	// SendVotes owns these.
	voteConn        *conn // nil: none is open
	voteConnAddress string
}

// NewPlatform returns a Platform; Listen and SendVotes do its work.
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

// SetAddress names another address: for the notices at once, for votes from the next one on.
func (p *Platform) SetAddress(address string) {
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
	select {
	case p.moved <- true:
	default: // a move is under way, and takes the address when it gets to it
	}
}

func (p *Platform) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Apply hands a release's state to the decisions, as the configuration or a notice holds it. An error says that it could not be
// read, and then nothing is handed on.
func (p *Platform) Apply(fields ReleaseFields) error {
	state, err := parseReleaseState(fields)
	if err != nil {
		return err
	}
	p.update(state, policy.NotAVote)
	return nil
}

// update hands a release's state to the decisions.
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
