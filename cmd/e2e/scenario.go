package main

// This file owns the course of a run, which is the same for every scenario: set-up, load, faults, checks, report.

import (
	"context"
	"os"
	"time"

	"onyxgate/internal/fake/fleet"
)

// scenario is what differs between the end-to-end tests. The methods are called once each, in this order.
type scenario interface {
	// options say what the run starts with.
	options() testbedOptions
	// setUp makes the scenario's own fakes and settings, and says how each instance is started.
	setUp(bed *testbed) ([]startOptions, error)
	// load says what clients send.
	load() fleet.ClientOptions
	// inject applies the faults while clients send, and returns when the load may end.
	inject(bed *testbed) error
	// check judges the run after all instances have ended.
	check(bed *testbed, found *verdict) error
	// report prints figures and verdict; it returns errViolations where a claim was violated.
	report(found *verdict) error
}

// run carries out a scenario. It returns errViolations where a claim was violated, and any other error where there is no
// verdict.
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
	found := &verdict{violations: bed.cluster.stop()}
	if err := s.check(bed, found); err != nil {
		return err
	}
	return s.report(found)
}

// testbedOptions say what a run starts with.
type testbedOptions struct {
	fleet   fleet.Options
	program string // a program that is built already; empty: it is built
	tags    string // build tags of the program
	keep    bool   // the directory stays
}

// testbed is what every run has: a fake fleet, the instances as processes, and clients.
type testbed struct {
	dir       string
	fleet     *fleet.Fleet
	cluster   *cluster
	clients   *fleet.Clients
	startedAt     time.Time // after the program was built
	loadStartedAt time.Time

	cancelLoad context.CancelFunc
	loadEnded  chan struct{}
	cleanups   []func()
}

// newTestbed builds the program and starts the fleet, in a directory of its own. No instance runs yet.
func newTestbed(options testbedOptions) (bed *testbed, err error) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		return nil, err
	}
	bed = &testbed{dir: dir}
	if !options.keep {
		bed.addCleanup(func() { _ = os.RemoveAll(dir) }) // what stays behind is a directory of temporary files
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

// addCleanup names what is to be done at the end, after the instances have ended. The last one named is done first.
func (b *testbed) addCleanup(f func()) { b.cleanups = append(b.cleanups, f) }

// startLoad has clients send until endLoad. The options' addresses are those of the cluster.
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

// endLoad stops the clients and waits until the last request has its response.
func (b *testbed) endLoad() {
	b.cancelLoad()
	<-b.loadEnded
}

// close ends what still runs.
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
