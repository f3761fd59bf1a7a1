package main

// This file owns the newcomer's day: what a fleet of instances does while a release is rolled out.

import (
	"fmt"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"onyxgate/internal/fake/fleet"
)

type dayCommand struct {
	Seed     uint64        `default:"1" help:"Draws traffic and faults."`
	Length   time.Duration `default:"24s" help:"How long clients send."`
	Rate     float64       `default:"150" help:"Requests a second."`
	Bad      float64       `default:"0" help:"Share of requests that the new release fails."`
	Program  string        `type:"path" help:"A program that is built already, as an earlier version to compare with."`
	Settings string        `type:"path" help:"Our settings for the instances."`
	Short    bool          `help:"8 s, and only what must hold on any host."`
	JSON     bool          `help:"Figures as JSON in place of the table."`
}

const (
	shortDay   = 8 * time.Second
	newRelease = 2

	// maxResponseTime is how long after it was sent a response is late: the deadline that clients state, and a client's own delay.
	maxResponseTime = 2*time.Second + 50*time.Millisecond
)

// Run carries out the day.
func (d dayCommand) Run() error {
	if d.Short {
		d.Length = shortDay
	}
	return run(&dayScenario{dayCommand: d, latencies: newLatencies()})
}

// dayScenario is the day as a scenario.
type dayScenario struct {
	dayCommand
	figures   dayFigures
	latencies latencies
}

// dayFigures are counted by clients and backends. The JSON keys are read by scripts.
type dayFigures struct {
	Seed       uint64                    `json:"seed"`
	Requests   int                       `json:"txns"`
	Outcomes   map[string]map[string]int `json:"outcomes"` // by class and outcome
	Lost       int                       `json:"lost"`
	Late       int                       `json:"late"`
	Violations fleet.Violations          `json:"rules_broken"`
	P50        float64                   `json:"p50_ms"`
	P99        float64                   `json:"p99_ms"`
	Stages     []string                  `json:"stages"`
	ResidentMB   []float64                 `json:"resident_mb"` // of each instance, just before it leaves
	CPUPerRequest        float64                   `json:"cpu_us_a_txn"`
}

func (d *dayScenario) options() testbedOptions {
	return testbedOptions{fleet: fleet.Options{Instances: 3, Backends: 10, Cores: 3}, program: d.Program}
}

func (d *dayScenario) setUp(bed *testbed) (instances []startOptions, err error) {
	for i := range bed.fleet.Instances {
		instances = append(instances, startOptions{instance: i, seed: d.Seed + uint64(i), settings: d.Settings})
	}
	return instances, nil
}

func (d *dayScenario) load() fleet.ClientOptions {
	return fleet.ClientOptions{Rate: func() float64 { return d.Rate }, Seed: d.Seed}
}

// inject rolls the release out after an eighth of the day.
func (d *dayScenario) inject(bed *testbed) error {
	end := bed.loadStartedAt.Add(d.Length)
	done := make(chan struct{})
	defer close(done)
	go showProgress(bed.fleet, d.Length, done)
	time.Sleep(d.Length / 8)
	bed.fleet.StartRollout(newRelease, d.Bad)
	time.Sleep(time.Until(end))
	return nil
}

// showProgress shows the day go by, on a terminal.
func showProgress(f *fleet.Fleet, length time.Duration, done <-chan struct{}) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return
	}
	bar := progressbar.Default(int64(length/time.Second), "the day")
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		stage := f.CurrentStage()
		bar.Describe(fmt.Sprintf("release %d stage %d %s", stage.Release, stage.Stage, stage.Mode))
		_ = bar.Add(1) // only a display
		select {
		case <-done:
			_ = bar.Finish()
			return
		case <-ticker.C:
		}
	}
}

func (d *dayScenario) check(bed *testbed, found *verdict) error {
	d.count(bed)
	for _, claim := range []struct {
		what       string
		violations int
		timed      bool // judged by this host's clock; a slow host is not judged by it
	}{
		{"requests lost", d.figures.Lost, false},
		{"effects twice", d.figures.Violations.DuplicateEffects, false},
		{"attempts at a draining backend", d.figures.Violations.AfterDrain, true},
		{"cold backends overloaded", d.figures.Violations.ColdOverloaded, true},
		{"windows with too much exposure", d.figures.Violations.Exposure, true},
		{"responses late", d.figures.Late, true},
	} {
		judged := !claim.timed || !d.Short
		found.require(claim.violations == 0 || !judged, "%s: %d", claim.what, claim.violations)
	}
	found.require(len(bed.fleet.Stages) >= 2, "no release was ever on trial")
	return nil
}

// count takes the figures from the clients' log, the fleet and the processes.
func (d *dayScenario) count(bed *testbed) {
	f := &d.figures
	f.Seed, f.Outcomes, f.Violations = d.Seed, map[string]map[string]int{}, bed.fleet.Audit()
	for _, response := range bed.clients.Log() {
		d.countResponse(response)
	}
	f.P50, f.P99 = d.latencies.quantileMs(medianQuantile), d.latencies.quantileMs(highestQuantile)
	for _, stage := range bed.fleet.Stages {
		f.Stages = append(f.Stages, describeStage(stage, bed.loadStartedAt))
	}
	cpu := time.Duration(0)
	for _, used := range bed.cluster.usages {
		f.ResidentMB = append(f.ResidentMB, used.residentMB)
		cpu += used.cpu
	}
	f.CPUPerRequest = float64(cpu.Microseconds()) / float64(max(f.Requests, 1))
}

func (d *dayScenario) countResponse(response fleet.Response) {
	f := &d.figures
	f.Requests++
	if f.Outcomes[response.Class] == nil {
		f.Outcomes[response.Class] = map[string]int{}
	}
	f.Outcomes[response.Class][response.Outcome]++
	if response.Outcome == fleet.OutcomeServed {
		d.latencies.add(response)
	}
	lost := response.Outcome == fleet.OutcomeSilent || response.Outcome == fleet.OutcomeBroken
	switch {
	case lost:
		f.Lost++
	case response.Done.Sub(response.Sent) > maxResponseTime:
		f.Late++
	}
}

func (d *dayScenario) report(found *verdict) error {
	if d.JSON {
		return found.print(d.figures)
	}
	printDay(d.figures, d.latencies)
	if len(found.violations) > 0 {
		fmt.Println("violations:", found.violations)
	}
	return found.err()
}
