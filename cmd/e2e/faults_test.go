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

// More schedules: go test ./cmd/e2e -run UnderFaults -args -schedules 24
var schedules = flag.Uint64("schedules", 3, "number of schedules that TestExposureUnderFaults runs, with seeds from 0")

// statePattern matches a release's state in an event of the release stream. It does not match the XML of a vote's
// response.
var statePattern = regexp.MustCompile(`release=(\d+)&tranche=\d+&mode=\w+&exposure=([0-9.]+)`)

// schedule is a sequence of events drawn from a seed. Releases follow one another; each is listed before or after its
// release update and is then withdrawn or released. Messages of the platform to an instance are held, and instances
// are killed or stopped.
type schedule struct {
	*testbed
	t             *testing.T
	random        *rand.Rand
	proxies       []*faultproxy.Proxy // by instance: proxy in front of the platform
	baseRelease   int                 // the latest release that became stable
	newestRelease int
	stage         fleet.Stage
	eventCounts   map[string]int // by kind
	history       []string
}

const (
	faultInstances = 2
	faultSteps     = 22
)

// modeListed marks a release that is listed but not announced yet.
const modeListed = "listed"

// recordEvent counts an event and appends it to the history of the schedule.
func (x *schedule) recordEvent(kind, format string, args ...any) {
	x.eventCounts[kind]++
	x.history = append(x.history, kind+" "+fmt.Sprintf(format, args...))
}

// startBackends starts backends of a release.
func (x *schedule) startBackends(release, n int) {
	x.t.Helper()
	if err := x.fleet.StartBackends(release, n, 4); err != nil {
		x.t.Fatal(err)
	}
	x.recordEvent("list", "%d of release %d", n, release)
}

// announce moves the newest release to a stage.
func (x *schedule) announce(mode string, stage int, limit float64) {
	x.stage = fleet.Stage{Release: x.newestRelease, Stage: stage, Mode: mode, Cap: limit}
	x.fleet.Announce(x.stage)
	x.recordEvent("announce", "release %d %s, stage %d, cap %g", x.newestRelease, mode, stage, limit)
}

// step draws the next event among those possible in the current state.
func (x *schedule) step() {
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

// holdOrRelease holds the platform's messages to an instance, or releases all that are held.
func (x *schedule) holdOrRelease(instance int) {
	if x.eventCounts["hold"]%2 != 0 {
		x.release()
		return
	}
	x.proxies[instance].Hold(func(firstLine string) bool { return isReleaseStream(firstLine) || isVote(firstLine) })
	x.recordEvent("hold", "of n%d", instance)
}

// restart stops an instance with SIGKILL or SIGTERM and starts it again.
func (x *schedule) restart(instance int) {
	x.t.Helper()
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[x.random.IntN(2)]
	p := x.cluster.process(instance)
	p.signal(signal)
	<-p.exited
	time.Sleep(100 * time.Millisecond) // time for attempts that it had sent to arrive
	x.fleet.ForgetInstance(instance)
	if err := x.cluster.start(startOptions{instance: instance, seed: x.random.Uint64()}); err != nil {
		x.t.Fatal(err)
	}
	x.fleet.StageNotified(instance, x.stage.Release, x.stage.Cap) // from its configuration file
	x.recordEvent(signal.String(), "n%d", instance)
}

// release releases all held messages.
func (x *schedule) release() {
	for _, p := range x.proxies {
		p.Release()
	}
	x.recordEvent("hold", "ends")
}

// advance moves the newest release to its next stage, rolls it back, or starts the next release.
func (x *schedule) advance() {
	x.t.Helper()
	switch mode := x.stage.Mode; {
	case mode == fleet.ModeCanary:
		x.advanceCanary()
	case mode == fleet.ModeRollingBack:
		x.announce(fleet.ModeRolledBack, x.stage.Stage, 0)
		if x.random.IntN(2) == 0 { // otherwise it stays listed, because the endpoint list lags behind
			x.fleet.DrainBackends(x.newestRelease, 20)
		}
	case x.random.IntN(2) == 0: // the next release, listed or announced first
		x.newestRelease++
		x.startBackends(x.newestRelease, 1)
		x.stage.Mode = modeListed
	default:
		if mode != modeListed {
			x.newestRelease++
		}
		x.announce(fleet.ModeCanary, 0, 0.25)
	}
}

// advanceCanary lists the canary release, rolls it back, or moves it to its next stage.
func (x *schedule) advanceCanary() {
	x.t.Helper()
	switch {
	case x.fleet.ReadyBackends(x.newestRelease) == 0:
		x.startBackends(x.newestRelease, 1)
	case x.random.IntN(3) == 0:
		x.announce(fleet.ModeRollingBack, x.stage.Stage, 0)
	case x.stage.Stage < 2:
		x.startBackends(x.newestRelease, 1)
		x.announce(fleet.ModeCanary, x.stage.Stage+1, []float64{0.25, 0.6, 1}[x.stage.Stage+1])
	default:
		x.startBackends(x.newestRelease, 4)
		x.fleet.DrainBackends(x.baseRelease, 20)
		x.announce(fleet.ModeStable, 2, 1)
		x.baseRelease = x.newestRelease
	}
}

// The rules on key affinity and closed releases hold, as seen by the backends, for any order of events that a
// schedule draws.
func TestExposureUnderFaults(t *testing.T) {
	program, err := buildProgram(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range *schedules {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			x := newSchedule(t, program, seed)
			x.play(seed)
			x.check()
		})
	}
}

// newSchedule starts instances with six backends of release 1. Each instance reaches the platform through its own
// proxy.
func newSchedule(t *testing.T, program string, seed uint64) *schedule {
	t.Helper()
	bed, err := newTestbed(testbedOptions{
		fleet: fleet.Options{Instances: faultInstances, Backends: 6, Cores: 4}, program: program,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.close)
	x := &schedule{
		testbed: bed, t: t, random: rand.New(rand.NewPCG(seed, 27)), baseRelease: 1, newestRelease: 1, eventCounts: map[string]int{},
		stage: fleet.Stage{Release: 1, Mode: fleet.ModeStable, Cap: 1},
	}
	x.fleet.KeyAffinity, x.fleet.Linger = true, time.Minute
	x.fleet.SetManualRollout()
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

// addProxy puts a proxy between an instance and the platform. The proxy records the states that the platform sends to
// the instance.
func (x *schedule) addProxy(instance int) {
	x.t.Helper()
	p, err := faultproxy.New(x.fleet.PlatformAddress())
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(p.Close)
	p.OnPass(func(_ string, bytes []byte) {
		for _, m := range statePattern.FindAllSubmatch(bytes, -1) {
			// The pattern matches only numbers.
			release, _ := strconv.Atoi(string(m[1]))
			limit, _ := strconv.ParseFloat(string(m[2]), 64)
			x.fleet.StageNotified(instance, release, limit)
		}
	})
	x.fleet.PlatformOverride[instance] = p.Address()
	x.proxies = append(x.proxies, p)
}

// play runs the schedule under traffic.
func (x *schedule) play(seed uint64) {
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

// awaitResponses waits until clients have received n more responses, for 20 seconds at most.
func (x *schedule) awaitResponses(n int) {
	from, began := len(x.clients.Log()), time.Now()
	for len(x.clients.Log()) < from+n && time.Since(began) < 20*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
}

// check checks what the backends observed against the rules.
func (x *schedule) check() {
	x.t.Helper()
	affinity, closed := x.fleet.AffinityAudit(), x.fleet.ClosedReleaseAudit()
	x.t.Logf("attempts with a bound key: %d, closings notified: %d, events: %v", affinity.BoundAttempts, closed.Notified, x.eventCounts)
	if affinity.BoundAttempts < 20 || closed.Notified == 0 || x.eventCounts["hold"] == 0 {
		x.t.Errorf("not put to the test: attempts with a bound key = %d (want at least 20), closings notified = %d (want at least 1), "+
			"events %v (want at least one hold)", affinity.BoundAttempts, closed.Notified, x.eventCounts)
	}
	if violations := append(affinity.Violations, closed.Violations...); len(violations) > 0 {
		x.t.Errorf("attempts that violated key affinity or reached a closed release = %d, want 0:\n%s\nschedule:\n%s", len(violations),
			strings.Join(violations[:min(len(violations), 5)], "\n"), strings.Join(x.history, "\n"))
	}
}
