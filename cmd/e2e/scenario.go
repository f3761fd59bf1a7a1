package main

// The sequence of a run, which is the same for every scenario: setup, load, faults, checks and report.

import (
	"context"
	"os"
	"time"

	"onyxgate/internal/fake/fleet"
)

// scenario is an end-to-end test. The methods are called in this order, each at most once.
type scenario interface {
	// options returns the options of the testbed.
	options() testbedOptions
	// setUp creates the scenario's own fakes and settings, and returns the options to start each instance.
	setUp(bed *testbed) ([]startOptions, error)
	// load returns the traffic that clients send.
	load() fleet.ClientOptions
	// inject injects the faults while clients send, and returns when the load may end.
	inject(bed *testbed) error
	// check adds the violations of the run to the verdict, after all instances have exited.
	check(bed *testbed, result *verdict) error
	// report prints the figures and the verdict. It returns errViolations if a claim was violated.
	report(result *verdict) error
}

// run runs a scenario. It returns errViolations if a claim was violated, and any other error if there is no verdict.
func run(s scenario) error {
	bed, err := newTestbed(s.options())
	if err != nil {
		return err
	}
	defer bed.close()
	instances, err := s.setUp(bed)
	if err != nil {
		return err
	}
	for _, instance := range instances {
		if err := bed.cluster.start(instance); err != nil {
			return err
		}
	}
	bed.startLoad(s.load())
	if err := s.inject(bed); err != nil {
		return err
	}
	bed.endLoad()
	result := &verdict{violations: bed.cluster.stop()}
	if err := s.check(bed, result); err != nil {
		return err
	}
	return s.report(result)
}

// testbedOptions configures a testbed.
type testbedOptions struct {
	fleet   fleet.Options
	program string // path of an existing program; empty to build it
	tags    string // build tags for the program
	keep    bool   // keep the directory after the run
}

// testbed is the environment of a run: a fake fleet, instances as processes, and clients.
type testbed struct {
	dir           string
	fleet         *fleet.Fleet
	cluster       *cluster
	clients       *fleet.Clients
	startedAt     time.Time // set once the program is built
	loadStartedAt time.Time

	cancelLoad context.CancelFunc
	loadEnded  chan struct{}
	cleanups   []func()
}

// newTestbed builds the program and starts the fleet, in a temporary directory. It starts no instances.
func newTestbed(options testbedOptions) (bed *testbed, err error) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		return nil, err
	}
	bed = &testbed{dir: dir}
	if !options.keep {
		bed.addCleanup(func() { _ = os.RemoveAll(dir) }) // a failure only leaves temporary files behind
	}
	defer func() {
		if err != nil {
			bed.close()
		}
	}()
	program := options.program
	if program == "" {
		if program, err = buildProgram(dir, options.tags); err != nil {
			return nil, err
		}
	}
	bed.startedAt = time.Now()
	if bed.fleet, err = fleet.New(options.fleet); err != nil {
		return nil, err
	}
	bed.addCleanup(bed.fleet.Close)
	bed.cluster, err = newCluster(bed.fleet, program, dir)
	return bed, err
}

// addCleanup adds a function to be called by close after the instances have exited. The functions are called in
// reverse order.
func (b *testbed) addCleanup(f func()) { b.cleanups = append(b.cleanups, f) }

// startLoad starts clients that send until endLoad is called. It sets the options' addresses to those of the cluster.
func (b *testbed) startLoad(options fleet.ClientOptions) {
	options.Addresses = b.cluster.addresses
	b.clients = fleet.NewClients(b.fleet, options)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancelLoad, b.loadEnded, b.loadStartedAt = cancel, make(chan struct{}), time.Now()
	go func() {
		defer close(b.loadEnded)
		b.clients.Run(ctx)
	}()
}

// endLoad stops the clients and waits until their open requests have ended.
func (b *testbed) endLoad() {
	b.cancelLoad()
	<-b.loadEnded
}

// close stops everything that still runs.
func (b *testbed) close() {
	if b.clients != nil {
		b.cancelLoad()
		b.clients.Close()
	}
	if b.cluster != nil {
		b.cluster.stop()
	}
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}
