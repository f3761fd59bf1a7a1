package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxgate/internal/fake/faultproxy"
	"onyxgate/internal/fake/fleet"
)

// trialSeed draws the traffic of the trials.
const trialSeed = 27

// singleInstanceRun is one instance, as a real process, among backends and a platform whose messages a proxy can hold back.
type singleInstanceRun struct {
	*testbed
	t     *testing.T
	proxy *faultproxy.Proxy
	stop  func() // ends the load and the instance, which must leave well
}

// newTrial starts an instance on six backends of release 1, under traffic.
func newTrial(t *testing.T) *singleInstanceRun {
	t.Helper()
	bed, err := newTestbed(testbedOptions{fleet: fleet.Options{Instances: 1, Backends: 6, Cores: 4}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.close)
	x := &singleInstanceRun{testbed: bed, t: t}
	x.fleet.KeyAffinity = true
	x.fleet.Linger = time.Minute // who is gone still answers: only the instance keeps requests from it
	x.fleet.SetManualRollout()
	if x.proxy, err = faultproxy.New(x.fleet.PlatformAddress()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.proxy.Close)
	x.fleet.PlatformOverride[0] = x.proxy.Address()
	if err := x.cluster.start(startOptions{instance: 0, seed: trialSeed}); err != nil {
		t.Fatal(err)
	}
	x.startLoad(fleet.ClientOptions{
		Rate: func() float64 { return 300 },
		Seed: trialSeed,
		Keys: 2000, // few are asked for so often that they are kept out of a trial
	})
	x.stop = func() {
		t.Helper()
		x.endLoad()
		for _, violation := range x.cluster.stop() {
			t.Error(violation)
		}
	}
	return x
}

// waitFor waits for a condition, which has to come true.
func (x *singleInstanceRun) waitFor(what string, holds func() bool) {
	x.t.Helper()
	for from := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(from) > 20*time.Second {
			x.t.Fatalf("it never came to this: %s\n%s", what, x.cluster.logTail(0))
		}
	}
}

// awaitResponses waits until clients have had so many more responses.
func (x *singleInstanceRun) awaitResponses(n int) {
	x.t.Helper()
	from := len(x.clients.Log())
	x.waitFor(fmt.Sprint(n, " more responses"), func() bool { return len(x.clients.Log()) >= from+n })
}

// awaitAttempts waits until so many more awaitAttempts have reached a release.
func (x *singleInstanceRun) awaitAttempts(release, n int) {
	x.t.Helper()
	from := x.fleet.Attempts(release)
	x.waitFor(fmt.Sprint(n, " more attempts at release ", release), func() bool { return x.fleet.Attempts(release) >= from+n })
}

func canaryStage(release int) fleet.Stage {
	return fleet.Stage{Release: release, Mode: fleet.ModeCanary, Cap: 0.25}
}

// rollOutAndWithdraw tries a release on one backend and rolls it back again.
func (x *singleInstanceRun) rollOutAndWithdraw(release int) {
	x.t.Helper()
	x.fleet.Announce(canaryStage(release))
	if err := x.fleet.StartBackends(release, 1, 4); err != nil {
		x.t.Fatal(err)
	}
	x.awaitAttempts(release, 20)
	x.fleet.Announce(fleet.Stage{Release: release, Mode: fleet.ModeRollingBack})
	x.fleet.Announce(fleet.Stage{Release: release, Mode: fleet.ModeRolledBack})
	x.fleet.DrainBackends(release, 1)
	x.awaitResponses(200)
}

func isReleaseStream(firstLine string) bool { return strings.HasPrefix(firstLine, "GET /notices") }

func isVote(firstLine string) bool { return strings.HasPrefix(firstLine, "POST ") }

// Incident 27: a release's backend is listed seconds before its release update, and the release before it was withdrawn. Its
// keys are its keys from the first answer on: before the update, as it comes, and after it.
func TestListedBeforeReleaseUpdate(t *testing.T) {
	x := newTrial(t)
	x.rollOutAndWithdraw(2)
	x.proxy.Hold(isReleaseStream)
	x.fleet.Announce(canaryStage(3))
	if err := x.fleet.StartBackends(3, 1, 4); err != nil {
		t.Fatal(err)
	}
	x.awaitAttempts(3, 60)
	early := len(x.fleet.AffinityAudit().Violations)
	x.proxy.Release()
	x.awaitResponses(1500)
	x.stop()
	seen := x.fleet.AffinityAudit()
	if seen.BoundAttempts < 20 {
		t.Errorf("not put to the test: keys of a later release were asked for %d times", seen.BoundAttempts)
	}
	if n := len(seen.Violations); n > 0 {
		t.Errorf("%d of %d attempts with a key that release 3 had answered reached release 1, %d of them before the release update:\n%s",
			n, seen.BoundAttempts, early, strings.Join(seen.Violations[:min(n, 5)], "\n"))
	}
}

// A release that was withdrawn gets nothing from there on, listed or not, whatever is announced after it.
func TestWithdrawnStaysClosed(t *testing.T) {
	x := newTrial(t)
	x.fleet.Announce(canaryStage(2))
	if err := x.fleet.StartBackends(2, 1, 4); err != nil {
		t.Fatal(err)
	}
	x.awaitAttempts(2, 20)
	x.fleet.Announce(fleet.Stage{Release: 2, Mode: fleet.ModeRollingBack})
	x.fleet.Announce(fleet.Stage{Release: 2, Mode: fleet.ModeRolledBack})
	x.awaitResponses(100) // its backend stays listed as ready: the list lags
	time.Sleep(fleet.DrainGrace)
	closed := x.fleet.Attempts(2)
	x.fleet.Announce(canaryStage(3))
	x.awaitResponses(400)
	x.stop()
	if n := x.fleet.Attempts(2) - closed; n > 0 {
		t.Errorf("%d attempts reached release 2, which was withdrawn, after release 3 had been announced", n)
	}
}

// A vote's response that was on its way while the release was withdrawn tells what was, and opens nothing.
func TestLateVoteAnswer(t *testing.T) {
	x := newTrial(t)
	x.fleet.Announce(canaryStage(2))
	if err := x.fleet.StartBackends(2, 1, 4); err != nil {
		t.Fatal(err)
	}
	x.awaitAttempts(2, 20)
	x.proxy.Hold(isVote)
	x.waitFor("a vote's response is held", func() bool { return x.proxy.Holding() > 0 })
	x.fleet.Announce(fleet.Stage{Release: 2, Mode: fleet.ModeRollingBack})
	x.awaitResponses(20) // the update is there
	x.proxy.Release()
	x.awaitResponses(100)
	time.Sleep(fleet.DrainGrace)
	closed := x.fleet.Attempts(2)
	x.awaitResponses(400)
	x.stop()
	if n := x.fleet.Attempts(2) - closed; n > 0 {
		t.Errorf("%d attempts reached release 2, which is rolled back, after a vote's response from before that", n)
	}
}
