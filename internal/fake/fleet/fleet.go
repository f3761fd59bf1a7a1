// Package fleet fakes the platform's side on loopback: backends, discovery, the rollout with its votes, and clients.
// It implements the users' protocol and counts, from outside the instances, the figures that the end-to-end tests
// check. It is deliberately small: it does not model a real fleet, and what it counts must not depend on the code under
// test. From that it uses only the digest of response bodies.
package fleet

import (
	"cmp"
	"fmt"
	"net"
	"sync"
	"time"

	"onyxgate/internal/fake/loopback"
)

// Limits of an instance unless Options sets others.
const (
	defaultMemoryMB = 128
	defaultSockets  = 1024
)

// drainingTime is how long a backend is listed as draining before it is listed as gone.
const drainingTime = 3 * time.Second

// Options configures a new fleet.
type Options struct {
	Instances int
	Backends  int // running release 1, all warm
	Cores     int // per backend

	MemoryMB, Sockets int // limits of each instance; 0 means the default

	// OnAttempt, if set, is called with the id of each request that reaches a backend whole, and the time at which its last
	// bytes did.
	OnAttempt func(requestID string, arrivedAt time.Time)
}

// Fleet is the platform's side for a number of instances. Linger, KeyAffinity and PlatformOverride must be set before
// the first instance starts; Stages, DrainsNotified and LatestAfterDrain may be read once all instances and clients
// have stopped.
type Fleet struct {
	Instances        int
	Linger           time.Duration  // how long a backend still serves requests after it is listed as gone
	KeyAffinity      bool           // a key that a release has answered must not reach an earlier release
	PlatformOverride map[int]string // by instance: the platform's address in its configuration, if not PlatformAddress
	Stages           []Stage        // all stages so far; the last one is in force
	DrainsNotified   int            // number of notifications to an instance that a backend is draining
	LatestAfterDrain time.Duration  // longest time from notifying an instance of a drain to the arrival of an attempt from it

	memoryMB, sockets int                     // limits of each instance
	onAttempt         func(string, time.Time) // may be nil

	mu             sync.Mutex // guards everything below
	backends       []*Backend // all ever started, in that order
	listVersion    int
	stage          Stage
	stageEnteredAt time.Time
	manualRollout  bool         // votes do not change the stage
	muted          map[int]bool // instances to which discovery sends nothing

	endpointStreams    map[*subscriber]bool
	releaseStreams     map[*subscriber]bool
	discoveryListeners []net.Listener // one per instance
	platformListener   net.Listener

	violations         Violations
	keyExecutedAt      map[string]time.Time        // latest execution, by idempotency key
	executions         map[string]int              // executions of non-idempotent requests, by request id
	requestTimes       [][]time.Time               // by instance: when requests were sent to it
	canaryAttemptTimes [][]time.Time               // by instance: when its attempts reached the canary release
	reachedInSecond    []map[int64]map[string]bool // by instance and Unix second: the backends that attempts reached
	attempts           map[int]int                 // attempts that reached backends, by release

	incarnations []int // by instance: incarnation of its process, counted from 0
	affinity     affinityChecker
	closedAt     map[instanceRelease]time.Time // when an instance was notified that a release's cap is 0
	closedAudit  ClosedReleaseAudit
}

// New starts a fleet of warm backends of release 1, with its discovery and platform.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		Instances:          options.Instances,
		memoryMB:           cmp.Or(options.MemoryMB, defaultMemoryMB),
		sockets:            cmp.Or(options.Sockets, defaultSockets),
		onAttempt:          options.OnAttempt,
		PlatformOverride:   map[int]string{},
		muted:              map[int]bool{},
		endpointStreams:    map[*subscriber]bool{},
		releaseStreams:     map[*subscriber]bool{},
		keyExecutedAt:      map[string]time.Time{},
		executions:         map[string]int{},
		requestTimes:       make([][]time.Time, options.Instances),
		canaryAttemptTimes: make([][]time.Time, options.Instances),
		attempts:           map[int]int{},
		incarnations:       make([]int, options.Instances),
		affinity:           affinityChecker{answers: map[instanceKey][]firstAnswer{}, rolledBack: map[int]bool{}},
		closedAt:           map[instanceRelease]time.Time{},
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

// listen starts discovery, with a separate address for each instance, and the platform.
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

// PlatformAddress returns the address of the platform itself, without a proxy.
func (f *Fleet) PlatformAddress() string { return f.platformListener.Addr().String() }

// Close stops discovery, the platform and all backends.
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

// startBackend adds a backend. Once the fleet is serving, the caller holds f.mu and publishes the endpoint list.
func (f *Fleet) startBackend(options backendOptions) error {
	backend, err := newBackend(f, fmt.Sprintf("a%d", len(f.backends)+1), options)
	if err != nil {
		return err
	}
	f.backends = append(f.backends, backend)
	f.listVersion++
	return nil
}

// drain lists a backend as draining, lists it as gone after drainingTime, and stops it after a further Linger. The
// caller holds f.mu and publishes the endpoint list.
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

// ReplaceBackends drains n ready backends, starts a cold backend of the same release in place of each, and returns
// the ids of the new backends.
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

// Addresses returns the addresses at which an instance reaches the ready backends or, if all is set, every backend
// that was ever started.
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
