package main

// The scenario for the sources of the backend list: discovery and a name server disagree during a rollout, a restart and
// outages.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"onyxgate/internal/fake/dnsserver"
	"onyxgate/internal/fake/fleet"
)

type srvCommand struct {
	Seed   uint64  `default:"1" help:"Seed of the traffic and the faults."`
	Rate   float64 `default:"180" help:"Requests per second, over three instances."`
	Defect string  `enum:",undrain,forget-drains" default:"" help:"Protection to disable; the run must then fail."`
	Short  bool    `help:"Run half as long, and check only what must hold on any host."`
	JSON   bool    `help:"Accepted for symmetry: the figures are always JSON."`
}

// Indexes of the instances, which differ in their sources.
const (
	discoveryOnly  = 0
	silentResolver = 1 // its resolver never answers
	faultyResolver = 2 // its resolver fails in random modes, and its discovery becomes silent
)

// Run runs the srv scenario.
func (s srvCommand) Run() error {
	scenario := &srvScenario{
		srvCommand: s,
		random:     rand.New(rand.NewPCG(s.Seed, 4)),
		unit:       time.Second,
		figures:    srvFigures{Seed: s.Seed, Defect: s.Defect, Faults: map[string]int{}},
	}
	if s.Short {
		scenario.unit /= 2
	}
	return run(scenario)
}

// srvScenario implements scenario.
type srvScenario struct {
	srvCommand
	random         *rand.Rand    // draws the resolver's faults
	unit           time.Duration // unit of the lengths of the phases
	servers        map[int]*dnsserver.Server
	settings       [3]string // paths of the settings files, by instance
	env            []string
	staleRecords   atomic.Bool // the name servers also list backends that are draining or gone
	phases         srvPhaseStarts
	replacementIDs []string // backends started while discovery was silent
	figures        srvFigures
}

// srvPhaseStarts holds the start time of each phase.
type srvPhaseStarts struct {
	rollout        time.Time // backends drain at every stage, while the resolver fails and still lists drained backends
	killed         time.Time // an instance is killed during the rollout and restarts from its state file
	rolloutEnded   time.Time // the resolver works again
	calm           time.Time
	discoveryMuted time.Time // discovery is silent and backends are replaced, so only SRV records are correct
	bothSilent     time.Time // both sources are silent
	end            time.Time
}

func (s *srvScenario) options() testbedOptions {
	return testbedOptions{fleet: fleet.Options{Instances: 3, Backends: 8, Cores: 3}, tags: "defect"}
}

func (s *srvScenario) setUp(bed *testbed) (instances []startOptions, err error) {
	bed.fleet.Linger = time.Minute // backends listed as gone still answer, so only the instances keep requests away from them
	s.staleRecords.Store(true)
	s.servers = map[int]*dnsserver.Server{}
	for _, instance := range []int{silentResolver, faultyResolver} {
		if err := s.startResolver(bed, instance); err != nil {
			return nil, err
		}
	}
	s.servers[silentResolver].Fail("silent")
	s.env = []string{defectEnv + s.Defect}
	for i := range bed.fleet.Instances {
		instances = append(instances, s.startOptions(i, s.Seed+uint64(i)))
	}
	return instances, nil
}

// startResolver starts an instance's name server and writes settings that use it.
func (s *srvScenario) startResolver(bed *testbed, instance int) error {
	server, err := dnsserver.New(func() []string { return bed.fleet.Addresses(instance, s.staleRecords.Load()) })
	if err != nil {
		return err
	}
	bed.addCleanup(server.Close)
	s.servers[instance] = server
	const text = `[sources]
state = %q
[sources.dns]
name = %q
servers = [%q]
wait = "200ms"
lookups_a_second = 5.0
`
	state := filepath.Join(bed.dir, fmt.Sprintf("state%d", instance))
	s.settings[instance] = filepath.Join(bed.dir, fmt.Sprintf("sources%d.toml", instance))
	return os.WriteFile(s.settings[instance], fmt.Appendf(nil, text, state, dnsserver.Service, server.Address), 0o600)
}

func (s *srvScenario) startOptions(instance int, seed uint64) startOptions {
	return startOptions{instance: instance, seed: seed, settings: s.settings[instance], env: s.env}
}

func (s *srvScenario) load() fleet.ClientOptions {
	return fleet.ClientOptions{Rate: func() float64 { return s.Rate }, Seed: s.Seed}
}

func (s *srvScenario) inject(bed *testbed) error {
	s.figures.FleetTrueMin = len(bed.fleet.Addresses(discoveryOnly, false))
	time.Sleep(s.unit)
	if err := s.rollOut(bed); err != nil {
		return err
	}
	s.phases.rolloutEnded = time.Now()
	time.Sleep(2 * s.unit) // time for the resolver's records to be used again
	s.phases.calm = time.Now()
	time.Sleep(4 * s.unit)
	if err := s.muteDiscovery(bed); err != nil {
		return err
	}
	time.Sleep(6 * s.unit)
	s.phases.bothSilent = time.Now()
	s.servers[faultyResolver].Fail("silent")
	time.Sleep(4 * s.unit)
	s.phases.end = time.Now()
	return nil
}

// rollOut rolls out a release while the resolver fails. An instance is killed halfway and started again.
func (s *srvScenario) rollOut(bed *testbed) error {
	s.phases.rollout = time.Now()
	bed.fleet.StartRollout(newRelease, 0)
	s.failResolver(bed, 9*s.unit)
	bed.cluster.process(faultyResolver).kill()
	s.phases.killed = time.Now()
	if err := bed.cluster.start(s.startOptions(faultyResolver, s.Seed+9)); err != nil {
		return err
	}
	s.failResolver(bed, 7*s.unit)
	return nil
}

// failResolver makes the resolver fail in random modes for the given time.
func (s *srvScenario) failResolver(bed *testbed, length time.Duration) {
	server := s.servers[faultyResolver]
	for until := time.Now().Add(length); time.Now().Before(until); s.observeFleet(bed) {
		mode := dnsserver.FailureModes[s.random.IntN(len(dnsserver.FailureModes))]
		server.Fail(mode)
		s.figures.Faults[mode]++
		time.Sleep(time.Duration(300+s.random.IntN(600)) * time.Millisecond)
	}
	server.Fail("")
}

// muteDiscovery silences an instance's discovery and replaces backends, which the instance can only learn from SRV
// records.
func (s *srvScenario) muteDiscovery(bed *testbed) (err error) {
	s.staleRecords.Store(false)
	bed.fleet.MuteDiscovery(faultyResolver, true)
	s.phases.discoveryMuted = time.Now()
	s.replacementIDs, err = bed.fleet.ReplaceBackends(2)
	s.observeFleet(bed)
	return err
}

// observeFleet records the smallest number of running backends.
func (s *srvScenario) observeFleet(bed *testbed) {
	running := len(bed.fleet.Addresses(discoveryOnly, false))
	s.figures.FleetTrueMin = min(s.figures.FleetTrueMin, running)
}

func (s *srvScenario) check(bed *testbed, result *verdict) error {
	s.count(bed)
	s.checkClaims(result)
	return nil
}

func (s *srvScenario) report(result *verdict) error { return result.print(s.figures) }
