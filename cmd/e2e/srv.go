package main

// This file owns the rehearsal of the sources: discovery and a name server that disagree through a roll-out, a restart and
// outages, and what the appliances saw of it.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"onyxgate/internal/fake/dnsserver"
	"onyxgate/internal/fake/fleet"
)

type srv struct {
	Seed   uint64  `default:"1" help:"Draws traffic and faults."`
	Rate   float64 `default:"180" help:"Txns a second, over three agents."`
	Defect string  `enum:",undrain,forget-drains" default:"" help:"A protection to switch off: the run must then fail."`
	Short  bool    `help:"Half as long, and only what must hold on any machine."`
	JSON   bool    `help:"Accepted for symmetry: the figures are always JSON."`
}

type srvFigures struct {
	Seed          uint64         `json:"seed"`
	Defect        string         `json:"defect,omitempty"`
	Drains        int            `json:"drains"`
	LateMax       float64        `json:"late_after_drain_ms_max"`
	FleetMin      int            `json:"fleet_min"`
	FleetTrueMin  int            `json:"fleet_true_min"`
	SettledDead   float64        `json:"settled_share"` // with the resolver dead throughout
	SettledAlone  float64        `json:"settled_share_discovery_only"`
	SettledFaults float64        `json:"settled_share_resolver_faults"`
	SettledCalm   float64        `json:"settled_share_calm"`
	SettledDNS    float64        `json:"settled_share_dns_only"`
	SettledNone   float64        `json:"settled_share_both_dead"`
	Met           int            `json:"met_by_srv_alone"` // appliances of which only SRV told, reached by work
	Lost          int            `json:"lost"`
	Exposure      int            `json:"exposure_breaks"`
	Cold          int            `json:"cold_breaks"`
	Twice         int            `json:"twice"`
	Queries       int64          `json:"dns_queries"`
	Faults        map[string]int `json:"dns_faults"`
	Outage        float64        `json:"outage_ms"`
	Took          float64        `json:"took_s"`
}

// The agents: discovery alone; a resolver that is dead throughout; a resolver with faults.
const alone, dead, faulty = 0, 1, 2

func (s srv) Run() error {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := buildProgram(dir, "defect")
	if err != nil {
		return err
	}
	began, chance := time.Now(), rand.New(rand.NewPCG(s.Seed, 4))
	w, err := fleet.New(3, 8, 3, s.Seed)
	if err != nil {
		return err
	}
	defer w.Close()
	w.Linger = time.Minute // what is listed as gone still stands: only the agents' own word keeps work from it
	c, err := newCluster(w, program, dir)
	if err != nil {
		return err
	}
	stale := true // the name server names whoever ever ran
	var servers []*dnsserver.Server
	settings := []string{""}
	for _, agent := range []int{dead, faulty} {
		n, err := dnsserver.New(func() []string { return w.Addresses(agent, stale) })
		if err != nil {
			return err
		}
		defer n.Close()
		servers = append(servers, n)
		path := filepath.Join(dir, fmt.Sprintf("sources%d.toml", agent))
		text := fmt.Sprintf("[sources]\nstate = %q\n[sources.dns]\nname = %q\nservers = [%q]\nwait = \"200ms\"\nlookups_a_second = 5.0\n",
			filepath.Join(dir, fmt.Sprintf("state%d", agent)), dnsserver.Service, n.Address)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		settings = append(settings, path)
	}
	servers[0].Fail("silent")
	env := []string{"ONYXGATE_DEFECT=" + s.Defect}
	for i := range w.Instances {
		if _, err := c.start(i, s.Seed+uint64(i), settings[i], env...); err != nil {
			return err
		}
	}
	defer c.stop()
	clients := fleet.NewClients(w, c.addresses, s.Seed)
	defer clients.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sent := make(chan bool)
	go func() {
		clients.Run(ctx, func() float64 { return s.Rate }, s.Seed)
		close(sent)
	}()
	f := srvFigures{Seed: s.Seed, Defect: s.Defect, Faults: map[string]int{}, FleetTrueMin: 1 << 20}
	look := func() { f.FleetTrueMin = min(f.FleetTrueMin, len(w.Addresses(0, false))) }
	faults := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until); look() {
			mode := dnsserver.Modes[chance.IntN(len(dnsserver.Modes))]
			servers[1].Fail(mode)
			f.Faults[mode]++
			time.Sleep(time.Duration(300+chance.IntN(600)) * time.Millisecond)
		}
		servers[1].Fail("")
	}
	part := time.Second
	if s.Short {
		part = time.Second / 2
	}
	time.Sleep(part)
	from := time.Now()
	w.StartRollout(2, 0) // a wave: drains at every stage, while the resolver fails and names who drained
	faults(9 * part)
	// The agent is killed in the wave and starts with what it wrote down.
	p := c.processes[faulty]
	p.cmd.Process.Kill()
	<-p.done
	killedAt := time.Now()
	if _, err := c.start(faulty, s.Seed+9, settings[faulty], env...); err != nil {
		return err
	}
	faults(7 * part)
	waveEnd := time.Now()
	time.Sleep(2 * part) // names come back
	calmFrom := time.Now()
	time.Sleep(4 * part)
	// Discovery falls silent for one agent while machines change, and SRV tells the truth.
	stale = false
	w.MuteDiscovery(faulty, true)
	mutedAt := time.Now()
	fresh, err := w.ReplaceBackends(2)
	if err != nil {
		return err
	}
	look()
	time.Sleep(6 * part)
	noneFrom := time.Now()
	servers[1].Fail("silent")
	time.Sleep(4 * part)
	end := time.Now()
	stop()
	<-sent
	broken := c.stop()
	c.processes = make([]*process, w.Instances)

	log := clients.Log()
	of := func(agent int, from, to time.Time) float64 {
		var own []fleet.Response
		for _, g := range log {
			if g.Instance == agent && g.Outcome != "nobody" {
				own = append(own, g)
			}
		}
		settled, _, _ := share(own, from, to)
		return settled
	}
	f.SettledAlone, f.SettledDead, f.SettledFaults = of(alone, from, end), of(dead, from, end), of(faulty, from, killedAt)
	f.SettledCalm, f.SettledDNS, f.SettledNone = of(faulty, calmFrom, mutedAt), of(faulty, mutedAt, noneFrom), of(faulty, noneFrom, end)
	f.Met = w.CountReached(faulty, fresh, mutedAt, end)
	f.FleetMin = w.MinReached(faulty, from, killedAt)
	for _, span := range [][2]time.Time{{killedAt.Add(time.Second), waveEnd}, {waveEnd, end}} {
		f.FleetMin = min(f.FleetMin, w.MinReached(faulty, span[0], span[1]))
	}
	f.FleetMin = min(f.FleetMin, w.MinReached(dead, from, end))
	last := map[int]time.Time{}
	for _, g := range log {
		if g.Outcome == "broken" && (g.Instance != faulty || g.Sent.After(killedAt) || g.Done.Before(killedAt.Add(-time.Second))) || g.Outcome == "silent" {
			f.Lost++
		}
		if g.Outcome == "settled" {
			if at, ok := last[g.Instance]; ok && g.Done.After(at) {
				f.Outage = max(f.Outage, g.Done.Sub(at).Seconds()*1000)
			}
			if g.Done.After(last[g.Instance]) {
				last[g.Instance] = g.Done
			}
		}
	}
	rules := w.Audit()
	f.Drains, f.LateMax, f.Exposure, f.Cold, f.Twice = w.DrainsNotified, w.LatestAfterDrain.Seconds()*1000, rules.Exposure, rules.Fallen, rules.Twice
	f.Queries = servers[0].Queries.Load() + servers[1].Queries.Load()
	f.Took = time.Since(began).Seconds()
	claim := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	claim(f.Drains >= 8 && f.Queries > 10 && len(f.Faults) > 3, "not put to the test: %d drains, %d queries, faults %v", f.Drains,
		f.Queries, f.Faults)
	claim(f.LateMax <= 2000, "work reached a draining appliance %.0f ms after its agent was told", f.LateMax)
	claim(f.Lost == 0, "lost: %d", f.Lost)
	claim(f.Twice == 0, "effects twice: %d", f.Twice)
	if !s.Short {
		claim(f.Met > 0, "not put to the test: no work reached an appliance of which only SRV told")
		claim(f.FleetMin > 0, "for a second no appliance was reached, with %d running", f.FleetTrueMin)
		claim(f.SettledDead >= f.SettledAlone-0.01, "settled with the resolver dead %.4f, with discovery alone %.4f", f.SettledDead,
			f.SettledAlone)
		claim(f.SettledDNS >= 0.95*f.SettledCalm, "settled with SRV alone %.4f, calm %.4f", f.SettledDNS, f.SettledCalm)
		claim(f.Exposure == 0, "windows with too much exposure: %d", f.Exposure)
		claim(f.Cold == 0, "cold appliances pushed over: %d", f.Cold)
		claim(f.Took <= 50, "took %.0f s", f.Took)
	}
	return report(f, broken)
}
