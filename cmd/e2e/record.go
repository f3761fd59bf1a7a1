package main

// The scenario for the store of record: instances and the store are killed and stalled at random points under load,
// and the exported record is compared with the clients' log.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"onyxgate/internal/fake/fleet"
)

type recordCommand struct {
	Seed   uint64  `default:"1" help:"Seed of the traffic, kill points and stalls."`
	Kills  int     `default:"40" help:"Minimum number of kills of instances."`
	Store  string  `enum:"sqlite,postgres" default:"sqlite" help:"sqlite or postgres."`
	Rate   float64 `default:"300" help:"Requests per second."`
	Defect string  `enum:",answer-before-sync,no-dedupe" default:"" help:"Protection to disable; the run must then fail."`
	Short  bool    `help:"Make fewer kills, and check only what must hold on any host."`
	JSON   bool    `help:"Accepted for symmetry: the figures are always JSON."`
	Keep   bool    `help:"Keep the directory with logs, spools and store."`
}

const (
	warmUpTime    = time.Second            // for the connections to be established
	recoveryTime  = 500 * time.Millisecond // of traffic after the last fault
	shortMaxKills = 8
	maxRunTime    = 50 * time.Second // of a full run
	maxServedLoss = 0.01             // tolerated drop in the share of served requests during a fault that clients should not notice
	surgeFactor   = 2                // of the request rate during the surge
)

// phaseLengths are the lengths of the phases of a run.
type phaseLengths struct {
	calm, stall time.Duration
	killing     time.Duration // maximum
}

// Run runs the record scenario.
func (r recordCommand) Run() error {
	s := &recordScenario{
		recordCommand: r,
		lengths:       phaseLengths{calm: 6 * time.Second, stall: 6 * time.Second, killing: 26 * time.Second},
		random:        rand.New(rand.NewPCG(r.Seed, 3)),
		figures:       recordFigures{Seed: r.Seed, Store: r.Store, Defect: r.Defect},
	}
	if r.Short {
		s.lengths = phaseLengths{calm: 2 * time.Second, stall: 2 * time.Second, killing: 12 * time.Second}
		s.Kills = min(r.Kills, shortMaxKills)
	}
	return run(s)
}

// recordScenario implements scenario.
type recordScenario struct {
	recordCommand
	lengths  phaseLengths
	random   *rand.Rand // draws the store's faults
	store    faultyStore
	settings string // path of the settings file
	env      []string
	surge    atomic.Bool // doubles the request rate during part of the stall
	killer   *killer
	figures  recordFigures

	calmFrom, stallFrom, stallTo time.Time
}

func (r *recordScenario) options() testbedOptions {
	return testbedOptions{fleet: fleet.Options{Instances: 3, Backends: 8, Cores: 3}, tags: "defect", keep: r.Keep}
}

func (r *recordScenario) setUp(bed *testbed) (instances []startOptions, err error) {
	if r.Keep {
		fmt.Fprintln(os.Stderr, "kept:", bed.dir)
	}
	if r.store, err = newFaultyStore(r.Store, bed.dir); err != nil {
		return nil, err
	}
	bed.addCleanup(r.store.close)
	if r.settings, err = writeRecordSettings(bed.dir, r.store); err != nil {
		return nil, err
	}
	r.env = []string{defectEnv + r.Defect}
	for i := range bed.fleet.Instances {
		instances = append(instances, r.startOptions(i, r.Seed+uint64(i)))
	}
	return instances, nil
}

// startOptions returns the options to start an instance without a kill point.
func (r *recordScenario) startOptions(instance int, seed uint64) startOptions {
	return startOptions{instance: instance, seed: seed, settings: r.settings, env: r.env}
}

// writeRecordSettings writes settings with small segments and a short export period, so that segments are rotated
// and entries are exported often. Answers wait for their sync for up to 5 s (stall), longer than any client waits. By
// default an answer is sent unsynced once the disk has hung for 200 ms, as the policy keep-serving promises, and a kill
// can then lose its entry. The claim that no entry is missing covers only synced answers, so a slow host disk must
// not lead to unsynced ones.
func writeRecordSettings(dir string, store faultyStore) (path string, err error) {
	const text = `[record]
mode = "spool"
directory = %q
segment = "16KiB"
group_bytes = "8KiB"
budget = "64MiB"
patience = "2s"
stall = "5s"

[record.store]
every = "50ms"
timeout = "1s"
batch = 200
%s`
	path = filepath.Join(dir, "onyxgate.toml")
	return path, os.WriteFile(path, fmt.Appendf(nil, text, filepath.Join(dir, "spool"), store.settings()), 0o600)
}

func (r *recordScenario) load() fleet.ClientOptions {
	rate := func() float64 {
		if r.surge.Load() {
			return surgeFactor * r.Rate
		}
		return r.Rate
	}
	return fleet.ClientOptions{Rate: rate, Seed: r.Seed}
}

func (r *recordScenario) inject(bed *testbed) error {
	time.Sleep(warmUpTime)
	r.calmFrom = time.Now()
	time.Sleep(r.lengths.calm)
	if err := r.stall(); err != nil {
		return err
	}
	r.killer = newKiller(r, bed.cluster)
	if err := r.killer.run(r.lengths.killing); err != nil {
		return err
	}
	if err := r.store.recover(); err != nil {
		return err
	}
	time.Sleep(recoveryTime)
	return nil
}

// stall stalls the store, with a traffic surge in the middle.
func (r *recordScenario) stall() error {
	r.stallFrom = time.Now()
	if err := r.store.stall(true); err != nil {
		return err
	}
	for _, surge := range []bool{false, true, false} {
		r.surge.Store(surge)
		time.Sleep(r.lengths.stall / 3)
	}
	r.stallTo = time.Now()
	return r.store.stall(false)
}

func (r *recordScenario) check(bed *testbed, result *verdict) error {
	for i := range bed.fleet.Instances {
		_, err := bed.cluster.runCommand("record", "ship", "--settings", r.settings, "--agent", instanceName(i))
		result.requireNoError(err)
	}
	_, err := bed.cluster.runCommand("record", "verify", "--settings", r.settings)
	result.requireNoError(err)
	text, err := bed.cluster.runCommand("record", "export", "--settings", r.settings)
	if err != nil {
		return err
	}
	if err := r.count(bed, text); err != nil {
		return err
	}
	r.checkClaims(result)
	return nil
}

// count computes the figures from the clients' log, the exported record, the fleet and the killer.
func (r *recordScenario) count(bed *testbed, export []byte) error {
	f, log := &r.figures, bed.clients.Log()
	exported, err := f.readExport(export)
	if err != nil {
		return err
	}
	f.compare(log, exported)
	calm, stalled := servedBetween(log, r.calmFrom, r.stallFrom), servedBetween(log, r.stallFrom, r.stallTo)
	f.ServedCalm, f.P99Calm = calm.share, calm.p99Ms
	f.ServedStalled, f.P99Stalled, f.ResponsesStalled = stalled.share, stalled.p99Ms, stalled.requests
	f.OpenAtKills = countOpenAt(r.killer.kills, log)
	f.InstanceKills, f.KillsAt = r.killer.instanceKills, r.killer.killsAt
	f.StoreKills, f.StoreFaults = r.killer.storeKills, r.killer.storeFaults
	f.Stalls = r.killer.storeStalls + 1 // plus the long stall before the kills
	f.Violations = bed.fleet.Audit()
	f.DurationSeconds = time.Since(bed.startedAt).Seconds()
	return nil
}

// checkClaims checks the figures against the claims. A short run checks only those that a slow host cannot violate.
func (r *recordScenario) checkClaims(result *verdict) {
	f := r.figures
	result.require(f.Missing == 0, "responses missing from the record: %d", f.Missing)
	result.require(f.Duplicates == 0, "duplicate entries: %d", f.Duplicates)
	result.require(f.Invented == 0, "entries that match no response: %d", f.Invented)
	result.require(f.Violations.DuplicateEffects == 0, "duplicate effects: %d", f.Violations.DuplicateEffects)
	result.require(f.InstanceKills > 0 && f.StoreKills > 0 && f.Stalls > 0,
		"not put to the test: %d kills of instances, %d kills of the store, %d stalls", f.InstanceKills, f.StoreKills, f.Stalls)
	if r.Short {
		return
	}
	result.require(f.InDoubt <= f.OpenAtKills, "entries in doubt: %d, with only %d requests open at kills", f.InDoubt, f.OpenAtKills)
	result.require(f.InstanceKills >= r.Kills, "not put to the test: %d kills of instances, want at least %d", f.InstanceKills, r.Kills)
	result.require(f.ServedStalled >= f.ServedCalm-maxServedLoss,
		"share served while the store stalled: %.4f, in the calm phase: %.4f", f.ServedStalled, f.ServedCalm)
	result.require(f.DurationSeconds <= maxRunTime.Seconds(), "the run took %.0f s, longer than allowed", f.DurationSeconds)
}

func (r *recordScenario) report(result *verdict) error { return result.print(r.figures) }
