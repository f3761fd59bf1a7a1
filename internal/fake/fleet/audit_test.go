package fleet

import (
	"testing"
	"time"
)

// newTestFleet starts a small fleet, which is closed at the end of the test.
func newTestFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := New(Options{Instances: 1, Backends: 2, Cores: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// Attempts at a canary release are compared with the cap's share of the requests in the same window.
func TestCountOverexposed(t *testing.T) {
	began := time.Now()
	every := func(step time.Duration, n int) (times []time.Time) {
		for i := range n {
			times = append(times, began.Add(time.Duration(i+1)*step))
		}
		return times
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		name               string
		attempts, requests []time.Time
		stages             []Stage
		want               int
	}{
		{"all free attempts", every(ms, 4), nil, []Stage{{At: began, Cap: 0.25}}, 0},
		{"one attempt too many", every(ms, 5), nil, []Stage{{At: began, Cap: 0.25}}, 1},
		{"within the cap", every(10*ms, 25), every(ms, 250), []Stage{{At: began, Cap: 0.25}}, 0},
		{"over the cap", every(ms, 100), every(ms, 100), []Stage{{At: began, Cap: 0.25}}, 95},
		{"a cap of one", every(ms, 100), every(ms, 100), []Stage{{At: began, Cap: 1}}, 0},
		{"spread over windows", every(ExposureWindow, 50), nil, []Stage{{At: began, Cap: 0.25}}, 0},
		{
			"a lower cap applies once the window has passed", every(ms, 100), every(ms, 100),
			[]Stage{{At: began, Cap: 1}, {At: began.Add(50 * ms), Cap: 0}},
			0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Fleet{Stages: c.stages}
			if got := f.countOverexposed(c.attempts, c.requests); got != c.want {
				t.Errorf("overexposed windows = %d, want %d", got, c.want)
			}
		})
	}
}

// A non-idempotent request must not run twice, and neither may an idempotency key be executed again after its dedup
// window. A repetition within the window has no effect.
func TestBeginExecution(t *testing.T) {
	safe, idempotent, nonIdempotent := Classes[0], Classes[1], Classes[2]
	short := idempotent
	short.DedupWindow = 0
	for _, c := range []struct {
		name       string
		class      Class
		repeated   bool
		duplicates int
	}{
		{"safe", safe, false, 0},
		{"idempotent, in its window", idempotent, true, 0},
		{"idempotent, after its window", short, false, 1},
		{"non-idempotent", nonIdempotent, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			a := attempt{class: c.class, requestID: "r", idempotencyKey: "k"}
			if f.beginExecution(a) {
				t.Error("first execution: repeated = true, want false")
			}
			if got := f.beginExecution(a); got != c.repeated {
				t.Errorf("second execution: repeated = %v, want %v", got, c.repeated)
			}
			if got := f.Audit().DuplicateEffects; got != c.duplicates {
				t.Errorf("duplicate effects = %d, want %d", got, c.duplicates)
			}
		})
	}
}

// A key that a release has answered must not reach an earlier release through the same instance, until the release that
// answered is rolled back or the process ends.
func TestCheckAttemptFindsEarlierReleases(t *testing.T) {
	a := attempt{requestID: "r", key: "7"}
	answered := func(f *Fleet) {
		f.affinity.answers[instanceKey{0, "7"}] = []firstAnswer{{release: 2, at: time.Now().Add(-2 * answerTransitTime)}}
	}
	for _, c := range []struct {
		name       string
		prepare    func(f *Fleet)
		release    int
		violations int
	}{
		{"unanswered key", func(*Fleet) {}, 1, 0},
		{"to the release that answered", answered, 2, 0},
		{"to a later release", answered, 3, 0},
		{"to an earlier release", answered, 1, 1},
		{"rolled back", func(f *Fleet) { answered(f); f.Announce(Stage{Release: 2, Mode: ModeRollingBack}) }, 1, 0},
		{"a new process", func(f *Fleet) { answered(f); f.ForgetInstance(0) }, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			c.prepare(f)
			f.affinity.checkAttempt(a, c.release)
			if got := f.AffinityAudit().Violations; len(got) != c.violations {
				t.Errorf("violations = %q, want %d of them", got, c.violations)
			}
		})
	}
}

// A vote changes the stage only if it names the stage in force.
func TestHandleVote(t *testing.T) {
	for _, c := range []struct {
		name           string
		release, stage int
		verdict        string
		manual         bool
		status         int
		want           Stage // mode, stage and cap after the vote
	}{
		{"promotes", 2, 0, voteForPromotion, false, 200, Stage{Stage: 1, Mode: ModeCanary, Cap: 0.6}},
		{"rolls back", 2, 0, voteForRollback, false, 200, Stage{Stage: 0, Mode: ModeRollingBack, Cap: 0}},
		{"holds", 2, 0, "hold", false, 200, Stage{Stage: 0, Mode: ModeCanary, Cap: 0.25}},
		{"vote on another stage", 2, 1, voteForPromotion, false, 400, Stage{Stage: 0, Mode: ModeCanary, Cap: 0.25}},
		{"vote on another release", 1, 0, voteForPromotion, false, 400, Stage{Stage: 0, Mode: ModeCanary, Cap: 0.25}},
		{"manual rollout", 2, 0, voteForPromotion, true, 200, Stage{Stage: 0, Mode: ModeCanary, Cap: 0.25}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			f.StartRollout(2, 0)
			f.stageEnteredAt = time.Now().Add(-2 * minStageTime)
			f.manualRollout = c.manual
			if status, code := f.handleVote(c.release, c.stage, c.verdict); status != c.status {
				t.Errorf("status = %d %s, want %d", status, code, c.status)
			}
			got := f.CurrentStage()
			if got.Stage != c.want.Stage || got.Mode != c.want.Mode || got.Cap != c.want.Cap {
				t.Errorf("stage = %+v, want mode, stage and cap of %+v", got, c.want)
			}
		})
	}
}
