package main

// The day scenario: traffic on a fleet of instances while one release is rolled out.

import (
	"fmt"
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"onyxgate/internal/fake/fleet"
)

type dayCommand struct {
	Seed     uint64        `default:"1" help:"Seed of the traffic and the faults."`
	Length   time.Duration `default:"24s" help:"How long clients send requests."`
	Rate     float64       `default:"150" help:"Requests per second."`
	Bad      float64       `default:"0" help:"Share of requests that the new release fails."`
	Program  string        `type:"path" help:"A program to run instead of building one, such as an earlier version to compare with."`
	Settings string        `type:"path" help:"File with onyxgate's own settings for the instances."`
	Short    bool          `help:"Run for 8 s, and check only what must hold on any host."`
	JSON     bool          `help:"Figures as JSON instead of the table."`
}

const (
	shortDay   = 8 * time.Second
	newRelease = 2

	// maxResponseTime is the time from sending a request after which its response counts as late: the deadline that
	// clients send, and 50 ms for delays in the client itself.
	maxResponseTime = 2*time.Second + 50*time.Millisecond
)

// Run runs the day scenario.
func (d dayCommand) Run() error {
	if d.Short {
		d.Length = shortDay
	}
	return run(&dayScenario{dayCommand: d, latencies: newLatencies()})
}

// dayScenario implements scenario.
type dayScenario struct {
	dayCommand
	figures   dayFigures
	latencies latencies
}

// dayFigures are the figures of a run, all measured outside the instances. The JSON keys are read by scripts.
type dayFigures struct {
	Seed          uint64                    `json:"seed"`
	Requests      int                       `json:"txns"`
	Outcomes      map[string]map[string]int `json:"outcomes"` // by class and outcome
	Lost          int                       `json:"lost"`
	Late          int                       `json:"late"`
	Violations    fleet.Violations          `json:"rules_broken"`
	P50           float64                   `json:"p50_ms"`
	P99           float64                   `json:"p99_ms"`
	Stages        []string                  `json:"stages"`
	ResidentMB    []float64                 `json:"resident_mb"` // of each instance, just before it receives SIGTERM
	CPUPerRequest float64                   `json:"cpu_us_a_txn"`
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

// inject starts the rollout after an eighth of the day.
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

// showProgress shows the progress of the day if standard error is a terminal.
func showProgress(f *fleet.Fleet, length time.Duration, done <-chan struct{}) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return
	}
	bar := progressbar.Default(int64(length/time.Second), "day")
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		stage := f.CurrentStage()
		bar.Describe(fmt.Sprintf("release %d stage %d %s", stage.Release, stage.Stage, stage.Mode))
		_ = bar.Add(1) // an error concerns only the display
		select {
		case <-done:
			_ = bar.Finish()
			return
		case <-ticker.C:
		}
	}
}

func (d *dayScenario) check(bed *testbed, result *verdict) error {
	d.count(bed)
	for _, claim := range []struct {
		what       string
		violations int
		timed      bool // depends on timing, which a slow host distorts; not checked in a short run
	}{
		{"lost requests", d.figures.Lost, false},
		{"duplicate effects", d.figures.Violations.DuplicateEffects, false},
		{"attempts at a draining backend", d.figures.Violations.AfterDrain, true},
		{"overloaded cold backends", d.figures.Violations.ColdOverloaded, true},
		{"windows above the exposure cap", d.figures.Violations.Exposure, true},
		{"late responses", d.figures.Late, true},
	} {
		checked := !claim.timed || !d.Short
		result.require(claim.violations == 0 || !checked, "%s: %d", claim.what, claim.violations)
	}
	result.require(len(bed.fleet.Stages) >= 2, "not put to the test: the release was never rolled out")
	return nil
}

// count computes the figures from the clients' log, the fleet and the processes.
func (d *dayScenario) count(bed *testbed) {
	f := &d.figures
	f.Seed, f.Outcomes, f.Violations = d.Seed, map[string]map[string]int{}, bed.fleet.Audit()
	for _, response := range bed.clients.Log() {
		d.countResponse(response)
	}
	f.P50, f.P99 = d.latencies.quantileMs(medianQuantile), d.latencies.quantileMs(tailQuantile)
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

func (d *dayScenario) report(result *verdict) error {
	if d.JSON {
		return result.print(d.figures)
	}
	printDay(d.figures, d.latencies)
	if len(result.violations) > 0 {
		fmt.Println("violations:", result.violations)
	}
	return result.err()
}
