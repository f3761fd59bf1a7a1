package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"onyxgate/internal/fake/faultproxy"
	"onyxgate/internal/fake/fleet"
)

// go test ./cmd/e2e -run UnderFaults -args -schedules 24
var schedules = flag.Uint64("schedules", 3, "how many schedules TestExposureUnderFaults draws, from seed 0 on")

// writtenState finds a release's state in what the platform writes, as a notice or as a vote's answer.
var writtenState = regexp.MustCompile(`release=(\d+)&tranche=\d+&mode=\w+&exposure=([0-9.]+)`)

// rollout is a schedule drawn from a seed: releases in succession, each listed before or after its news, withdrawn or
// released; words of the platform held back for an agent; agents killed and told to end.
type rollout struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *fleet.Fleet
	proxies []*faultproxy.Proxy
	cluster *cluster
	base    int // the release that carries the fleet
	newest  int
	state   fleet.Stage
	counts  map[string]int
	history []string
}

const (
	faultInstances = 2
	faultSteps     = 22
)

func (x *rollout) do(what string, format string, args ...any) {
	x.counts[what]++
	x.history = append(x.history, what+" "+fmt.Sprintf(format, args...))
}

// list starts backends of a release.
func (x *rollout) list(release, n int) {
	if err := x.fleet.StartBackends(release, n, 4); err != nil {
		x.t.Fatal(err)
	}
	x.do("list", "%d of release %d", n, release)
}

func (x *rollout) tell(mode string, stage int, limit float64) {
	x.state = fleet.Stage{Release: x.newest, Stage: stage, Mode: mode, Cap: limit}
	x.fleet.Announce(x.state)
	x.do("tell", "release %d %s, stage %d, cap %g", x.newest, mode, stage, limit)
}

// step draws the next event among those that a platform may bring about now.
func (x *rollout) step() {
	agent := x.random.IntN(faultInstances)
	switch x.random.IntN(8) {
	case 0: // the platform's words to an agent stop, or come again
		if x.counts["hold"]%2 == 0 {
			x.proxies[agent].Hold(func(line string) bool { return notices(line) || votes(line) })
			x.do("hold", "of n%d", agent)
		} else {
			x.release()
		}
	case 1: // an agent ends
		signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[x.random.IntN(2)]
		p := x.cluster.processes[agent]
		p.cmd.Process.Signal(signal)
		<-p.done
		time.Sleep(100 * time.Millisecond) // what it had sent arrives
		x.fleet.ForgetInstance(agent)
		if _, err := x.cluster.start(agent, x.random.Uint64(), ""); err != nil {
			x.t.Fatal(err)
		}
		x.fleet.StageNotified(agent, x.state.Release, x.state.Cap) // by its configuration
		x.do(signal.String(), "n%d", agent)
	default:
		x.turn()
	}
}

func (x *rollout) release() {
	for _, p := range x.proxies {
		p.Release()
	}
	x.do("hold", "ends")
}

// turn moves the newest release on, takes it off, or brings the next one.
func (x *rollout) turn() {
	switch mode := x.state.Mode; {
	case mode == "canary" && x.fleet.ReadyBackends(x.newest) == 0:
		x.list(x.newest, 1)
	case mode == "canary" && x.random.IntN(3) == 0:
		x.tell("reverting", x.state.Stage, 0)
	case mode == "canary" && x.state.Stage < 2:
		x.list(x.newest, 1)
		x.tell("canary", x.state.Stage+1, []float64{0.25, 0.6, 1}[x.state.Stage+1])
	case mode == "canary":
		x.list(x.newest, 4)
		x.fleet.DrainBackends(x.base, 20)
		x.tell("stable", 2, 1)
		x.base = x.newest
	case mode == "reverting":
		x.tell("reverted", x.state.Stage, 0)
		if x.random.IntN(2) == 0 { // else it stays listed: the list lags
			x.fleet.DrainBackends(x.newest, 20)
		}
	case x.random.IntN(2) == 0: // the next release, its list or its news first
		x.newest++
		x.list(x.newest, 1)
		x.state.Mode = "listed"
	default:
		if mode != "listed" {
			x.newest++
		}
		x.tell("canary", 0, 0.25)
	}
}

// The rule on exposure holds, as backends see it, whatever order the schedule brings.
func TestExposureUnderFaults(t *testing.T) {
	dir := t.TempDir()
	program, err := buildProgram(dir, "")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range *schedules {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			underFaults(t, program, seed)
		})
	}
}

func underFaults(t *testing.T, program string, seed uint64) {
	x := &rollout{
		t: t, random: rand.New(rand.NewPCG(seed, 27)), base: 1, newest: 1, counts: map[string]int{},
		state: fleet.Stage{Release: 1, Mode: "stable", Cap: 1},
	}
	var err error
	if x.fleet, err = fleet.New(faultInstances, 6, 4, seed); err != nil {
		t.Fatal(err)
	}
	defer x.fleet.Close()
	x.fleet.KeyAffinity, x.fleet.Linger = true, time.Minute
	x.fleet.Manual()
	for agent := range faultInstances {
		p, err := faultproxy.New(x.fleet.PlatformAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		p.OnPass(func(line string, bytes []byte) {
			for _, m := range writtenState.FindAllSubmatch(bytes, -1) {
				release, _ := strconv.Atoi(string(m[1]))
				limit, _ := strconv.ParseFloat(string(m[2]), 64)
				x.fleet.StageNotified(agent, release, limit)
			}
		})
		x.fleet.PlatformOverride[agent] = p.Address()
		x.proxies = append(x.proxies, p)
	}
	if x.cluster, err = newCluster(x.fleet, program, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	for agent := range faultInstances {
		if _, err := x.cluster.start(agent, seed, ""); err != nil {
			t.Fatal(err)
		}
	}
	clients := fleet.NewClients(x.fleet, x.cluster.addresses, seed)
	clients.Keys = 1500
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		clients.Run(ctx, func() float64 { return 400 }, seed)
		close(ended)
	}()
	answers := func(n int) {
		for from, at := len(clients.Log()), time.Now(); len(clients.Log()) < from+n && time.Since(at) < 20*time.Second; {
			time.Sleep(5 * time.Millisecond)
		}
	}
	answers(100)
	for range faultSteps {
		x.step()
		answers(50 + x.random.IntN(200))
	}
	x.release()
	answers(200)
	cancel()
	<-ended
	clients.Close()
	for _, line := range x.cluster.stop() {
		t.Error(line)
	}
	affinity, closed := x.fleet.Affinity(), x.fleet.ClosedReleases()
	t.Logf("keys of a later release asked for %d times, closings told %d, schedule %v", affinity.Asked, closed.Notified, x.counts)
	if affinity.Asked < 20 || closed.Notified == 0 || x.counts["hold"] == 0 {
		t.Errorf("not put to the test: %d keys asked for, %d closings, %v", affinity.Asked, closed.Notified, x.counts)
	}
	if broken := append(affinity.Violations, closed.Violations...); len(broken) > 0 {
		t.Errorf("%d attempts broke the rule on exposure:\n%s\nschedule:\n%s", len(broken),
			strings.Join(broken[:min(len(broken), 5)], "\n"), strings.Join(x.history, "\n"))
	}
}
