// Package fleet fakes the platform's side on loopback: backends, discovery, the rollout and its votes, and clients. It speaks
// the users' protocol and counts from outside what the end-to-end tests judge. It is small on purpose: it is no model of a
// real fleet, and nothing of it may depend on the code that it judges.
package fleet

// This file owns the fleet itself: its parts, its start and its end, and the backends that run.

import (
	"fmt"
	"net"
	"sync"
	"time"

	"onyxgate/internal/fake/loopback"
)

// drainingTime is how long a backend is listed as draining before it is listed as gone.
const drainingTime = 3 * time.Second

// Options say what a fleet starts with.
type Options struct {
	Instances int
	Backends  int // of release 1, all warm
	Cores     int // of each backend
}

// Fleet is the platform's side for a number of instances. Linger, KeyAffinity and PlatformOverride are
// set before the first instance starts; Stages, DrainsNotified and LatestAfterDrain are read once instances and clients have
// ended.
type Fleet struct {
	Instances        int
	Linger           time.Duration  // how long a backend still answers after it is listed as gone
	KeyAffinity      bool           // a key that a release has answered goes to no earlier release
	PlatformOverride map[int]string // by instance: where it finds the platform in place of PlatformAddress
	Stages           []Stage        // all so far, the last one in force
	DrainsNotified   int            // how often an instance was told that a backend drains
	LatestAfterDrain time.Duration  // the longest time between an instance's notification of a drain and an attempt that arrived from it

	mu          sync.Mutex // holds everything below
	backends    []*Backend // all that ever were, in the order of their start
	listVersion int
	stage       Stage
	stageEnteredAt  time.Time
	manualRollout      bool         // votes move nothing
	muted       map[int]bool // instances whose discovery is silent

	endpointStreams    map[*subscriber]bool
	noticeStreams      map[*subscriber]bool
	discoveryListeners []net.Listener // one for each instance
	platformListener   net.Listener

	violations       Violations
	keyExecutedAt         map[string]time.Time        // by idempotency key, the latest run
	executions       map[string]int              // runs of non-idempotent requests, by request id
	requestTimes       [][]time.Time               // when each instance was sent requests
	canaryAttemptTimes [][]time.Time               // when attempts of each instance reached the release on trial
	reachedInSecond  []map[int64]map[string]bool // by instance and second of Unix time, the backends that attempts reached
	attempts         map[int]int                 // that reached backends, by release

	incarnations []int // of each instance's process, counted from 0
	affinity    affinityChecker
	closedAt    map[instanceRelease]time.Time // when an instance was told that a release's cap is 0
	closedAudit  ClosedReleaseAudit
}

// New starts a fleet of warm backends of release 1, with its discovery and platform.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		Instances:        options.Instances,
		PlatformOverride: map[int]string{},
		muted:            map[int]bool{},
		endpointStreams:  map[*subscriber]bool{},
		noticeStreams:    map[*subscriber]bool{},
		keyExecutedAt:         map[string]time.Time{},
		executions:       map[string]int{},
		requestTimes:       make([][]time.Time, options.Instances),
		canaryAttemptTimes: make([][]time.Time, options.Instances),
		attempts:         map[int]int{},
		incarnations:      make([]int, options.Instances),
		affinity:         affinityChecker{answers: map[instanceKey][]firstAnswer{}, rolledBack: map[int]bool{}},
		closedAt:         map[instanceRelease]time.Time{},
	}
	for range options.Instances {
		f.reachedInSecond = append(f.reachedInSecond, map[int64]map[string]bool{})
	}
	f.stage = Stage{At: time.Now(), Release: 1, Stage: len(stageShares) - 1, Mode: ModeStable, Cap: 1}
	f.Stages = []Stage{f.stage}
	for range options.Backends {
		if err := f.startBackend(backendOptions{release: 1, cores: options.Cores}); err != nil {
			return nil, err
		}
	}
	return f, f.listen()
}

// listen starts discovery, at an address of its own for each instance, and the platform.
func (f *Fleet) listen() error {
	for instance := range f.Instances {
		listener, err := loopback.Listen()
		if err != nil {
			return err
		}
		f.discoveryListeners = append(f.discoveryListeners, listener)
		go f.serveDiscovery(instance, listener)
	}
	var err error
	if f.platformListener, err = loopback.Listen(); err != nil {
		return err
	}
	go f.servePlatform(f.platformListener)
	return nil
}

// PlatformAddress is the platform's own address.
func (f *Fleet) PlatformAddress() string { return f.platformListener.Addr().String() }

// Close ends discovery, the platform and all backends.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, listener := range f.discoveryListeners {
		listener.Close()
	}
	f.platformListener.Close()
	for _, backend := range f.backends {
		backend.close()
	}
}

// startBackend adds a backend. Under the lock; the caller publishes.
func (f *Fleet) startBackend(options backendOptions) error {
	backend, err := newBackend(f, fmt.Sprintf("a%d", len(f.backends)+1), options)
	if err != nil {
		return err
	}
	f.backends = append(f.backends, backend)
	f.listVersion++
	return nil
}

// drain lists a backend as draining, later as gone, and ends it after Linger. Under the lock; the caller publishes.
func (f *Fleet) drain(backend *Backend) {
	backend.state = stateDraining
	time.AfterFunc(drainingTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		backend.state = stateGone
		f.publishEndpoints()
		time.AfterFunc(f.Linger, backend.close)
	})
}

// ReplaceBackends drains n ready backends, starts a cold one of the same release for each, and returns the ids of the new
// ones.
func (f *Fleet) ReplaceBackends(n int) (ids []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, backend := range f.backends {
		if backend.state != stateReady || n == 0 {
			continue
		}
		n--
		successor := backendOptions{release: backend.Release, cores: backend.cores, startedAt: time.Now()}
		if err := f.startBackend(successor); err != nil {
			return ids, err
		}
		ids = append(ids, f.backends[len(f.backends)-1].ID)
		f.drain(backend)
	}
	f.publishEndpoints()
	return ids, nil
}

// Addresses are those at which an instance finds the ready backends, or all that ever ran.
func (f *Fleet) Addresses(instance int, all bool) (addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, backend := range f.backends {
		if all || backend.state == stateReady {
			addresses = append(addresses, backend.address(instance))
		}
	}
	return addresses
}
