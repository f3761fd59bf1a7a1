package main

// This file owns the newcomer's day: what a tier of agents does while a build is rolled out.

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"onyxgate/internal/fake/fleet"
)

type day struct {
	Seed     uint64        `default:"1" help:"Draws traffic and faults."`
	Length   time.Duration `default:"24s" help:"How long clients send."`
	Rate     float64       `default:"150" help:"Txns a second."`
	Bad      float64       `default:"0" help:"Share of txns that the new build fails."`
	Program  string        `type:"path" help:"An agent that is built already, as an earlier version to compare with."`
	Settings string        `type:"path" help:"Our settings for the agents."`
	Short    bool          `help:"8 s, and only what must hold on any machine."`
	JSON     bool          `help:"Figures as JSON in place of the table."`
}

// figures of a day; the rules are counted by clients and appliances.
type figures struct {
	Seed     uint64                    `json:"seed"`
	Txns     int                       `json:"txns"`
	Outcomes map[string]map[string]int `json:"outcomes"`
	Lost     int                       `json:"lost"`
	Late     int                       `json:"late"`
	Broken   fleet.Violations          `json:"rules_broken"`
	P50      float64                   `json:"p50_ms"`
	P99      float64                   `json:"p99_ms"`
	Stages   []string                  `json:"stages"`
	Resident []float64                 `json:"resident_mb"` // of each agent, just before it leaves
	CPU      float64                   `json:"cpu_us_a_txn"`
}

func (d day) Run() error {
	if d.Short {
		d.Length = 8 * time.Second
	}
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := d.Program
	if program == "" {
		if program, err = buildProgram(dir, ""); err != nil {
			return err
		}
	}
	w, err := fleet.New(3, 10, 3, d.Seed)
	if err != nil {
		return err
	}
	defer w.Close()
	c, err := newCluster(w, program, dir)
	if err != nil {
		return err
	}
	for i := range w.Instances {
		if _, err := c.start(i, d.Seed+uint64(i), d.Settings); err != nil {
			return err
		}
	}
	defer c.stop()
	clients := fleet.NewClients(w, c.addresses, d.Seed)
	defer clients.Close()
	ctx, stop := context.WithTimeout(context.Background(), d.Length)
	defer stop()
	began := time.Now()
	time.AfterFunc(d.Length/8, func() { w.StartRollout(2, d.Bad) })
	go progress(ctx, d.Length, w)
	clients.Run(ctx, func() float64 { return d.Rate }, d.Seed)
	f := figures{Seed: d.Seed, Outcomes: map[string]map[string]int{}, Broken: w.Audit()}
	cpu := time.Duration(0)
	for _, p := range c.processes {
		f.Resident = append(f.Resident, resident(p.cmd.Process.Pid))
	}
	broken := c.stop()
	for _, p := range c.processes {
		cpu += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	}
	c.processes = make([]*process, w.Instances)
	times := hdrhistogram.New(1, 60_000_000, 3)
	for _, g := range clients.Log() {
		f.Txns++
		if f.Outcomes[g.Class] == nil {
			f.Outcomes[g.Class] = map[string]int{}
		}
		f.Outcomes[g.Class][g.Outcome]++
		if took := g.Done.Sub(g.Sent); g.Outcome == "settled" {
			times.RecordValue(max(took.Microseconds(), 1))
		}
		if g.Outcome == "silent" || g.Outcome == "broken" {
			f.Lost++
		} else if g.Done.Sub(g.Sent) > 2*time.Second+50*time.Millisecond {
			f.Late++
		}
	}
	f.CPU = float64(cpu.Microseconds()) / float64(max(f.Txns, 1))
	f.P50, f.P99 = float64(times.ValueAtQuantile(50))/1000, float64(times.ValueAtQuantile(99))/1000
	for _, s := range w.Stages {
		f.Stages = append(f.Stages, fmt.Sprintf("%5.1f s  build %d stage %d %s, cap %.0f%%", max(s.At.Sub(began).Seconds(), 0),
			s.Release, s.Stage, s.Mode, 100*s.Cap))
	}
	for _, c := range []struct {
		what  string
		n     int
		timed bool // judged by this machine's clock, which a slow one can't be held to
	}{
		{"txns lost", f.Lost, false},
		{"effects twice", f.Broken.Twice, false},
		{"sends to a draining appliance", f.Broken.Drains, true},
		{"cold appliances pushed over", f.Broken.Fallen, true},
		{"windows with too much exposure", f.Broken.Exposure, true},
		{"answers late", f.Late, true},
	} {
		if c.n > 0 && !(c.timed && d.Short) {
			broken = append(broken, fmt.Sprintf("%s: %d", c.what, c.n))
		}
	}
	if len(w.Stages) < 2 {
		broken = append(broken, "no build was ever on trial")
	}
	if d.JSON {
		return report(f, broken)
	}
	d.table(f, times)
	if len(broken) > 0 {
		fmt.Println("broken:", broken)
		return errViolations
	}
	return nil
}

// resident is the memory of a process in MB, as the kernel counts it.
func resident(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// progress shows the day go by, on a terminal.
func progress(ctx context.Context, length time.Duration, w *fleet.Fleet) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return
	}
	bar := progressbar.Default(int64(length/time.Second), "the day")
	for tick := time.NewTicker(time.Second); ctx.Err() == nil; <-tick.C {
		s := w.CurrentStage()
		bar.Describe(fmt.Sprintf("build %d stage %d %s", s.Release, s.Stage, s.Mode))
		bar.Add(1)
	}
	bar.Finish()
}

func (d day) table(f figures, times *hdrhistogram.Histogram) {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	kinds := []string{"settled", "declined", "voided", "refused", "nobody", "broken", "silent"}
	head := table.Row{"product"}
	for _, k := range kinds {
		head = append(head, k)
	}
	t.AppendHeader(head)
	for _, p := range fleet.Classes {
		row := table.Row{p.Name}
		for _, k := range kinds {
			row = append(row, f.Outcomes[p.Name][k])
		}
		t.AppendRow(row)
	}
	t.Render()
	t = table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"latency", "ms"})
	for _, q := range []float64{50, 90, 99, 99.9, 100} {
		t.AppendRow(table.Row{fmt.Sprintf("p%g", q), fmt.Sprintf("%.1f", float64(times.ValueAtQuantile(q))/1000)})
	}
	t.Render()
	for _, s := range f.Stages {
		fmt.Println(s)
	}
	fmt.Printf("memory of the agents %.1f MB, CPU a txn %.0f us\n", f.Resident, f.CPU)
	t = table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"rule", "broken, seen from outside"})
	t.AppendRows([]table.Row{
		{"no txn lost", f.Lost},
		{"no effect twice", f.Broken.Twice},
		{"drains kept", f.Broken.Drains},
		{"no cold appliance pushed over", f.Broken.Fallen},
		{"exposure within the cap", f.Broken.Exposure},
	})
	t.Render()
}
