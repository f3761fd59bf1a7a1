package main

import (
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

// writtenState finds a release's state in what the platform writes, as a notice or as a vote's response.
var writtenState = regexp.MustCompile(`release=(\d+)&tranche=\d+&mode=\w+&exposure=([0-9.]+)`)

// rollout is a schedule drawn from a seed: releases in succession, each listed before or after its release update, withdrawn
// or released; messages of the platform to an instance held back; instances killed and told to end.
type rollout struct {
	*testbed
	t       *testing.T
	random  *rand.Rand
	proxies []*faultproxy.Proxy // by instance, before the platform
	base    int                 // the release that carries the fleet
	newest  int
	state   fleet.Stage
	counts  map[string]int // of events, by kind
	history []string
}

const (
	faultInstances = 2
	faultSteps     = 22
)

// modeListed is the state of a release that is listed and not announced yet.
const modeListed = "listed"

// note counts an event and writes it into the schedule's history.
func (x *rollout) note(kind, format string, args ...any) {
	x.counts[kind]++
	x.history = append(x.history, kind+" "+fmt.Sprintf(format, args...))
}

// list starts backends of a release.
func (x *rollout) list(release, n int) {
	x.t.Helper()
	if err := x.fleet.StartBackends(release, n, 4); err != nil {
		x.t.Fatal(err)
	}
	x.note("list", "%d of release %d", n, release)
}

// announce puts the newest release into a stage.
func (x *rollout) announce(mode string, stage int, limit float64) {
	x.state = fleet.Stage{Release: x.newest, Stage: stage, Mode: mode, Cap: limit}
	x.fleet.Announce(x.state)
	x.note("announce", "release %d %s, stage %d, cap %g", x.newest, mode, stage, limit)
}

// step draws the next event among those that a platform may bring about now.
func (x *rollout) step() {
	x.t.Helper()
	instance := x.random.IntN(faultInstances)
	switch x.random.IntN(8) {
	case 0:
		x.holdOrRelease(instance)
	case 1:
		x.restart(instance)
	default:
		x.advance()
	}
}

// holdOrRelease holds back the platform's messages to an instance, or releases all that are held.
func (x *rollout) holdOrRelease(instance int) {
	if x.counts["hold"]%2 != 0 {
		x.release()
		return
	}
	x.proxies[instance].Hold(func(firstLine string) bool { return notices(firstLine) || votes(firstLine) })
	x.note("hold", "of n%d", instance)
}

// restart ends an instance, by force or not, and starts it again.
func (x *rollout) restart(instance int) {
	x.t.Helper()
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[x.random.IntN(2)]
	p := x.cluster.process(instance)
	p.signal(signal)
	<-p.ended
	time.Sleep(100 * time.Millisecond) // what it had sent arrives
	x.fleet.ForgetInstance(instance)
	if err := x.cluster.start(startOptions{instance: instance, seed: x.random.Uint64()}); err != nil {
		x.t.Fatal(err)
	}
	x.fleet.StageNotified(instance, x.state.Release, x.state.Cap) // by its configuration
	x.note(signal.String(), "n%d", instance)
}

// release passes on all that is held.
func (x *rollout) release() {
	for _, p := range x.proxies {
		p.Release()
	}
	x.note("hold", "ends")
}

// advance moves the newest release on, rolls it back, or brings the next one.
func (x *rollout) advance() {
	x.t.Helper()
	switch mode := x.state.Mode; {
	case mode == fleet.ModeCanary:
		x.advanceCanary()
	case mode == fleet.ModeRollingBack:
		x.announce(fleet.ModeRolledBack, x.state.Stage, 0)
		if x.random.IntN(2) == 0 { // else it stays listed: the list lags
			x.fleet.DrainBackends(x.newest, 20)
		}
	case x.random.IntN(2) == 0: // the next release, its list or its update first
		x.newest++
		x.list(x.newest, 1)
		x.state.Mode = modeListed
	default:
		if mode != modeListed {
			x.newest++
		}
		x.announce(fleet.ModeCanary, 0, 0.25)
	}
}

// advanceCanary lists the release on trial, rolls it back, or moves it to its next stage.
func (x *rollout) advanceCanary() {
	x.t.Helper()
	switch {
	case x.fleet.ReadyBackends(x.newest) == 0:
		x.list(x.newest, 1)
	case x.random.IntN(3) == 0:
		x.announce(fleet.ModeRollingBack, x.state.Stage, 0)
	case x.state.Stage < 2:
		x.list(x.newest, 1)
		x.announce(fleet.ModeCanary, x.state.Stage+1, []float64{0.25, 0.6, 1}[x.state.Stage+1])
	default:
		x.list(x.newest, 4)
		x.fleet.DrainBackends(x.base, 20)
		x.announce(fleet.ModeStable, 2, 1)
		x.base = x.newest
	}
}

// The rule on exposure holds, as backends see it, whatever order the schedule brings.
func TestExposureUnderFaults(t *testing.T) {
	program, err := buildProgram(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range *schedules {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			x := newRollout(t, program, seed)
			x.play(seed)
			x.judge()
		})
	}
}

// newRollout starts instances on six backends of release 1, each behind a proxy of its own.
func newRollout(t *testing.T, program string, seed uint64) *rollout {
	t.Helper()
	bed, err := newTestbed(testbedOptions{
		fleet: fleet.Options{Instances: faultInstances, Backends: 6, Cores: 4}, program: program,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.close)
	x := &rollout{
		testbed: bed, t: t, random: rand.New(rand.NewPCG(seed, 27)), base: 1, newest: 1, counts: map[string]int{},
		state: fleet.Stage{Release: 1, Mode: fleet.ModeStable, Cap: 1},
	}
	x.fleet.KeyAffinity, x.fleet.Linger = true, time.Minute
	x.fleet.Manual()
	for instance := range faultInstances {
		x.addProxy(instance)
	}
	for instance := range faultInstances {
		if err := x.cluster.start(startOptions{instance: instance, seed: seed}); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// addProxy puts a proxy between an instance and the platform, which reads the states that the platform writes.
func (x *rollout) addProxy(instance int) {
	x.t.Helper()
	p, err := faultproxy.New(x.fleet.PlatformAddress())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(p.Close)
	p.OnPass(func(_ string, bytes []byte) {
		for _, m := range writtenState.FindAllSubmatch(bytes, -1) {
			// The expression lets only numbers through.
			release, _ := strconv.Atoi(string(m[1]))
			limit, _ := strconv.ParseFloat(string(m[2]), 64)
			x.fleet.StageNotified(instance, release, limit)
		}
	})
	x.fleet.PlatformOverride[instance] = p.Address()
	x.proxies = append(x.proxies, p)
}

// play carries the schedule out under traffic.
func (x *rollout) play(seed uint64) {
	x.t.Helper()
	x.startLoad(fleet.ClientOptions{Rate: func() float64 { return 400 }, Seed: seed, Keys: 1500})
	x.awaitResponses(100)
	for range faultSteps {
		x.step()
		x.awaitResponses(50 + x.random.IntN(200))
	}
	x.release()
	x.awaitResponses(200)
	x.endLoad()
	for _, violation := range x.cluster.stop() {
		x.t.Error(violation)
	}
}

// awaitResponses waits until clients have had so many more responses, or for 20 seconds.
func (x *rollout) awaitResponses(n int) {
	from, began := len(x.clients.Log()), time.Now()
	for len(x.clients.Log()) < from+n && time.Since(began) < 20*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
}

// judge holds what the backends saw against the rule.
func (x *rollout) judge() {
	x.t.Helper()
	affinity, closed := x.fleet.Affinity(), x.fleet.ClosedReleases()
	x.t.Logf("keys of a later release asked for %d times, closings told %d, schedule %v", affinity.Asked, closed.Notified, x.counts)
	if affinity.Asked < 20 || closed.Notified == 0 || x.counts["hold"] == 0 {
		x.t.Errorf("not put to the test: %d keys asked for, %d closings, %v", affinity.Asked, closed.Notified, x.counts)
	}
	if violations := append(affinity.Violations, closed.Violations...); len(violations) > 0 {
		x.t.Errorf("%d attempts broke the rule on exposure:\n%s\nschedule:\n%s", len(violations),
			strings.Join(violations[:min(len(violations), 5)], "\n"), strings.Join(x.history, "\n"))
	}
}
