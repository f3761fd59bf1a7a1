package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"onyxgate/internal/fake/replay"
)

// replayPort passes every action except log lines to the recorder. It keeps the messages to other instances for use as
// input.
type replayPort struct {
	recordingPort
	recorder *replay.Recorder
	sent     [][]byte
	timer    uint64
}

func (p *replayPort) flush() {
	for _, action := range p.takeActions() {
		p.recorder.Effect(action)
	}
}

func (p *replayPort) Reject(id string, wait float64) { p.add("decline %s %v", id, wait) }
func (p *replayPort) SendMessage(instance int, message []byte) {
	p.sent = append(p.sent, message)
	p.recordingPort.SendMessage(instance, message)
}

func (p *replayPort) SetTimer(after float64, token uint64) {
	p.timer = token
	p.add("timer %v %d", after, token)
}
func (p *replayPort) FetchEndpoints() { p.add("fetch list") }

// schedule generates a random sequence of events for one instance, whether or not they are consistent.
type schedule struct {
	rng  *rand.Rand
	inst *Instance
	port *replayPort
	now  float64
	ids  int      // number of requests
	open []string // requests, including some that have ended
}

func (s *schedule) backend() string { return string(rune('a' + s.rng.IntN(8))) }

func (s *schedule) release() ReleaseID {
	if s.rng.IntN(12) == 0 {
		return UnknownRelease
	}
	return ReleaseID(1 + s.rng.IntN(5))
}

func (s *schedule) request() string {
	if len(s.open) == 0 || s.rng.IntN(20) == 0 {
		return "nobody's"
	}
	return s.open[max(0, len(s.open)-1-s.rng.IntN(12))]
}

// event feeds one event to the instance and returns its description in the recording.
func (s *schedule) event() string { //nolint:funlen // one case for each event, in the order in which the recording drew them
	now := s.now
	switch s.rng.IntN(22) {
	case 0:
		id, release, state, startedAt := s.backend(), s.release(), EndpointState(s.rng.IntN(6)%4%3), 0.0
		if s.rng.IntN(2) == 0 {
			startedAt = now - s.rng.Float64()*40000
		}
		snapshot := s.rng.IntN(30) == 0
		s.inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, State: state, Weight: 1 + s.rng.Float64(), StartedAt: startedAt, Zone: s.rng.IntN(2), Cell: s.rng.IntN(2)}}, Snapshot: snapshot, Cached: s.rng.IntN(50) == 0})
		return fmt.Sprint("list ", id, release, int(state), startedAt, snapshot)
	case 1:
		release, stage, phase, response := ReleaseID(1+s.rng.IntN(5)), s.rng.IntN(3), Phase(s.rng.IntN(4)), VoteResponse(s.rng.IntN(5))
		limit := []float64{0.5, 0, 1, 0}[phase]
		hasState := s.rng.IntN(3) > 0
		s.inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Stage: stage, Phase: phase, Response: response, Cap: limit, Age: s.rng.Float64() * 100, HasState: hasState})
		return fmt.Sprint("news ", release, stage, int(phase), int(response), hasState)
	case 2, 3, 4, 5, 6, 7:
		s.ids++
		id, key := fmt.Sprint("r", s.ids), ""
		if s.rng.IntN(4) > 0 {
			key = fmt.Sprint("k", s.rng.IntN(30))
		}
		s.open = append(s.open, id)
		class, timeLeft, work := s.rng.IntN(4), 100+s.rng.Float64()*4000, s.rng.Float64()*20-5
		s.inst.OnRequest(now, Request{ID: id, Key: key, Class: class, Tenant: s.rng.IntN(3), Retry: s.rng.IntN(6) == 0, TimeLeft: timeLeft, Work: work})
		return fmt.Sprint("request ", id, key, class, timeLeft, work)
	case 8, 9, 10, 11, 12, 13, 14:
		id, attempt := s.request(), s.rng.IntN(3)
		status := []AttemptStatus{StatusServed, StatusServed, StatusServed, StatusServed, StatusErrored, StatusRejected, StatusTimedOut, StatusConnectFailed, StatusReset, StatusCanceled, StatusNotSent}[s.rng.IntN(11)]
		elapsed, waiting := s.rng.Float64()*300, float64(s.rng.IntN(4)-1)
		s.inst.OnAttemptResult(now, AttemptResult{RequestID: id, Attempt: attempt, Status: status, Final: status == StatusServed, Elapsed: elapsed, Load: loadReportOf(waiting, waiting/2)})
		return fmt.Sprint("outcome ", id, attempt, int(status), elapsed, waiting)
	case 15:
		id := s.request()
		s.inst.OnClientGone(now, id)
		return "hangup " + id
	case 16:
		id := s.backend()
		s.inst.OnProbeResult(now, ProbeResult{Backend: id, OK: s.rng.IntN(3) > 0, Elapsed: s.rng.Float64() * 50, Load: loadReportOf(float64(s.rng.IntN(4)-1), -1)})
		return "probed " + id
	case 17:
		if len(s.port.sent) > 0 {
			message := s.port.sent[s.rng.IntN(len(s.port.sent))]
			s.inst.OnMessage(now, message[:s.rng.IntN(len(message)+1)])
		}
		return "told"
	case 18:
		s.inst.OnWrongAnswer(now, s.backend(), s.rng.IntN(4), s.rng.Float64()*1000)
		return "reported wrong"
	case 19:
		switch s.rng.IntN(12) {
		case 0:
			s.inst.OnClockStep(now)
			return "clock stepped"
		case 1:
			s.inst.OnDiscoveryFailed(now)
			return "list failed"
		case 2:
			s.inst.OnPlatformCounts(now)
			return "counted"
		}
		s.inst.OnStreamStarted(now, s.request(), 0)
		return "began"
	case 20:
		id, attempt := s.request(), s.rng.IntN(3)
		s.port.add("sendable %v", s.inst.MaySend(id, attempt))
		return fmt.Sprint("sendable ", id, attempt)
	}
	s.inst.OnTimer(now, s.port.timer)
	return "wake"
}

func (s *schedule) status() {
	r := s.inst.ReleaseStatus()
	newest := r.Newest
	s.port.add("releases %d %d %d %v %v %v", newest.Release, newest.Stage, newest.Phase, newest.Cap, newest.Announced, newest.Superseded)
	s.port.add("releases %d %d %d %d %d", r.RollingOut, r.AffinityKeys, r.Skipped.Closed, r.Skipped.CapReached, r.Skipped.Affinity)
}

// newRandomInstance returns an instance with a random configuration.
func newRandomInstance(s *schedule) *Instance {
	instances := []int{1, 2, 8, 40, 300}[s.rng.IntN(5)]
	inst := New(s.port, Config{Seed: s.rng.Uint64(), Index: s.rng.IntN(min(instances, 4)), Instances: instances})
	classes := []RequestClass{
		{LatencyObjective: 1000, Timeout: 4000, Value: 1},
		{LatencyObjective: 800, Timeout: 3000, Value: 3, Semantics: Idempotent, DedupWindow: 2000},
		{LatencyObjective: 1000, Timeout: 4000, Value: 5, Semantics: NonIdempotent, LateValue: 0.2},
		{LatencyObjective: 500, ObjectivePerWork: 2, Timeout: 4000, Value: 2, Semantics: Idempotent, DedupScope: DedupScope(1 + s.rng.IntN(2)), DedupWindow: 1500},
	}
	inst.configureClasses(Config{Classes: classes, MaxAttempts: 2 + s.rng.IntN(4), ConcurrentAttempts: s.rng.IntN(2) == 0, CancelAllowed: s.rng.IntN(2) == 0})
	inst.maxOpenRequests = float64(20 + s.rng.IntN(200))
	inst.peerMessages = s.rng.IntN(2) == 0
	inst.probing.allowed, inst.probing.price = s.rng.IntN(2) == 0, 0.01
	inst.maxRetryAfter = 2000
	inst.zone, inst.crossZoneCharged = s.rng.IntN(2), s.rng.IntN(2) == 0
	inst.discovery.subscriptionRequired, inst.discovery.refreshInterval = s.rng.IntN(2) == 0, 10000
	inst.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}, GuardedStages: s.rng.IntN(2), PerClass: s.rng.IntN(2) == 0, KeyAffinity: s.rng.IntN(3) > 0})
	inst.exposureConfig.Window = float64(s.rng.IntN(2) * 3000)
	inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 0.5, 1}, Control: RolloutControl(s.rng.IntN(3)), RollbackVotes: 1 + s.rng.IntN(5), VoteLifetime: 4000})
	inst.configureTenants(TenantConfig{Quotas: []float64{0.02, 0.005}, OverQuotaValue: 0.1})
	return inst
}

// The actions in random schedules match the recording byte for byte. The schedules contain events that no simulated day
// has: steps of the clock, unknown releases, calls of MaySend and shutdown.
func TestReplaySchedules(t *testing.T) {
	t.Run("early", func(t *testing.T) { playSchedules(t, "testdata/schedules.txt", 80, 1000) })
	t.Run("late", func(t *testing.T) { playSchedules(t, "testdata/schedules-late.txt", 40, 1_000_000) })
}

// playSchedules plays schedules that start at the time from (ms). At a late start, backends may have started long ago.
func playSchedules(t *testing.T, recording string, schedules uint64, from float64) {
	t.Helper()
	recorder := replay.Open(t, recording)
	for seed := range schedules {
		if recorder.Differs() {
			return
		}
		s := &schedule{rng: rand.New(rand.NewPCG(seed, 2)), port: &replayPort{recorder: recorder}, now: from}
		s.inst = newRandomInstance(s)
		recorder.Event(fmt.Sprint("schedule ", seed))
		for range 1200 {
			s.now += s.rng.ExpFloat64() * 15
			recorder.Event(s.event())
			s.port.flush()
		}
		s.status()
		s.inst.OnShutdown(s.now, s.now+500)
		for range 50 {
			s.now += 20
			s.inst.OnTimer(s.now, s.port.timer)
		}
		s.status()
		s.port.flush()
	}
	recorder.Close()
}
