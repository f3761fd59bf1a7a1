package main

// The scenario for misbehaving clients: they stop in the middle of a request, write slowly, do not read, flood one
// connection or leave with requests unread, beside the usual load. Each kind has a phase of its own, in an order drawn
// from the seed.

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"onyxgate/internal/fake/fleet"
)

type clientsCommand struct {
	Seed    uint64        `default:"1" help:"Seed of the traffic and of the order and numbers of misbehaving clients."`
	Memory  int           `default:"48" help:"Memory limit of the instance in MB."`
	Sockets int           `default:"1024" help:"Descriptor limit of the instance."`
	Peers   int           `default:"400" help:"Largest number of misbehaving clients at a time."`
	Rate    float64       `default:"60" help:"Usual requests per second."`
	Kind    string        `default:"" help:"Play only this kind of misbehavior."`
	Defect  string        `enum:",uncounted-memory,hidden-close" default:"" help:"Protection to disable; the run must then fail."`
	Program string        `type:"path" help:"A program to run instead of building one, such as an earlier version to compare with."`
	Phase   int           `default:"4" help:"Seconds of each kind of misbehavior."`
	Slack   time.Duration `help:"How long after a client has left attempts may still begin; 0: 150 ms, or 1 s with --short."`
	Short   bool          `help:"Play each kind for 2 s, and check only what must hold on any host."`
	JSON    bool          `help:"Accepted for symmetry: the figures are always JSON."`
	Keep    bool          `help:"Keep the directory with the instance's log."`
}

const (
	shortPhase = 2 * time.Second
	// phasePause lets the connections of one phase end before the next one begins.
	phasePause = 500 * time.Millisecond

	// misbehavingTimeout is how soon a misbehaving client is owed an error or a close, and misbehavingSlack what a busy
	// host may add.
	misbehavingTimeout = 3 * time.Second
	misbehavingSlack   = 500 * time.Millisecond

	// attemptsAfterLeave is how long after a client has left attempts of its requests may still begin. On a busy host an
	// attempt may arrive late; one that was sent for a client that had left arrives as long as it waited unread.
	attemptsAfterLeave      = 150 * time.Millisecond
	shortAttemptsAfterLeave = time.Second

	minServedShare      = 0.9 // of the usual requests
	minPhaseServedShare = 0.5 // of those in each phase
)

// Run runs the clients scenario.
func (c clientsCommand) Run() error {
	s := &clientsScenario{
		clientsCommand: c,
		random:         rand.New(rand.NewPCG(c.Seed, 5)),
		phaseLength:    time.Duration(c.Phase) * time.Second,
		departures:     newDepartures(),
		figures:        clientsFigures{Seed: c.Seed, MemoryMB: c.Memory, Sockets: c.Sockets, Defect: c.Defect},
	}
	if c.Short {
		s.phaseLength = shortPhase
	}
	return run(s)
}

// clientsScenario implements scenario.
type clientsScenario struct {
	clientsCommand
	random      *rand.Rand
	phaseLength time.Duration
	departures  *departures
	phases      []*clientsPhase
	figures     clientsFigures
}

// clientsFigures are the figures of a run, all measured outside the instance. The JSON keys are read by scripts.
type clientsFigures struct {
	Seed       uint64           `json:"seed"`
	MemoryMB   int              `json:"memory_mb"`
	Sockets    int              `json:"sockets"`
	Defect     string           `json:"defect,omitempty"`
	Phases     []*clientsPhase  `json:"phases"`
	PeakMB     float64          `json:"peak_mb"` // anonymous resident memory
	Requests   int              `json:"usual_requests"`
	Lost       int              `json:"usual_lost"`
	Late       int              `json:"usual_late"`
	Served     float64          `json:"usual_served_share"`
	AfterLeave int              `json:"attempts_after_client_left"`
	LatestMs   float64          `json:"latest_attempt_after_client_left_ms"`
	Unanswered int              `json:"misbehaving_unanswered"` // for longer than they are owed an answer or a close
	Left       int              `json:"requests_left_unread"`   // requests whose clients left before they had an answer
	Violations fleet.Violations `json:"rules_broken"`
}

// clientsPhase is the play of one kind of misbehavior, and what was seen in it.
type clientsPhase struct {
	Kind    string  `json:"kind"`
	Peers   int     `json:"peers"`
	PeakMB  float64 `json:"peak_mb"`
	Ends    ends    `json:"ends"` // how the connections of the misbehaving clients ended
	Usual   int     `json:"usual_requests"`
	Served  float64 `json:"usual_served_share"`
	P99Ms   float64 `json:"usual_p99_ms"`
	Overdue int     `json:"unanswered"`
	Lost    int     `json:"usual_lost"`

	from, to time.Time
}

func (c *clientsScenario) options() testbedOptions {
	return testbedOptions{
		fleet: fleet.Options{
			Instances: 1, Backends: 8, Cores: 3, MemoryMB: c.Memory, Sockets: c.Sockets, OnAttempt: c.departures.attemptArrived,
		},
		program: c.Program, tags: "defect", keep: c.Keep,
	}
}

func (c *clientsScenario) setUp(bed *testbed) ([]startOptions, error) {
	bed.fleet.KeyAffinity = true // so that keys are counted
	return []startOptions{{instance: 0, seed: c.Seed, env: []string{defectEnv + c.Defect}}}, nil
}

func (c *clientsScenario) load() fleet.ClientOptions {
	return fleet.ClientOptions{Rate: func() float64 { return c.Rate }, Seed: c.Seed}
}

func (c *clientsScenario) inject(bed *testbed) error {
	time.Sleep(warmUpTime)
	kinds := append([]misbehavior(nil), misbehaviors...)
	c.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, kind := range kinds {
		if c.Kind == "" || c.Kind == kind.name {
			c.play(bed, kind)
		}
	}
	time.Sleep(recoveryTime)
	return nil
}

// play plays one kind of misbehavior and samples the memory of the instance meanwhile.
func (c *clientsScenario) play(bed *testbed, kind misbehavior) {
	count := c.Peers/2 + c.random.IntN(c.Peers/2+1)
	if kind.maxPeers > 0 {
		count = min(count, kind.maxPeers)
	}
	phase := &clientsPhase{Kind: kind.name, Peers: count, Ends: ends{}, from: time.Now()}
	until := phase.from.Add(c.phaseLength)
	var peers sync.WaitGroup
	results := &peerResults{ends: phase.Ends}
	for i := range count {
		p := &peer{
			address: bed.cluster.addresses[0], until: until, results: results, departures: c.departures,
			random: rand.New(rand.NewPCG(c.Seed, firstRandomStream+uint64(i))), name: idPrefix(kind.name, i),
		}
		peers.Go(func() { p.run(kind.play) })
	}
	ended := make(chan struct{})
	go func() {
		peers.Wait()
		close(ended)
	}()
	phase.PeakMB = peakAnonymousMB(bed.cluster.process(0), ended)
	phase.to, phase.Overdue = time.Now(), results.overdue
	c.phases = append(c.phases, phase)
	time.Sleep(phasePause)
}

func (c *clientsScenario) check(bed *testbed, result *verdict) error {
	c.count(bed)
	f := c.figures
	result.require(len(f.Phases) > 0, "not put to the test: no kind of misbehavior was played")
	for _, phase := range f.Phases {
		result.require(len(phase.Ends) > 0, "not put to the test: no connection ended in phase %s", phase.Kind)
		result.require(phase.PeakMB <= float64(c.Memory), "phase %s: memory peaked at %.1f MB, the limit is %d", phase.Kind, phase.PeakMB, c.Memory)
	}
	result.require(f.Lost == 0, "usual requests lost: %d", f.Lost)
	result.require(f.AfterLeave == 0, "attempts that began after their client had left: %d", f.AfterLeave)
	result.require(f.Violations.DuplicateEffects == 0, "duplicate effects: %d", f.Violations.DuplicateEffects)
	if c.Short {
		return nil
	}
	for _, phase := range f.Phases {
		result.require(phase.Served >= minPhaseServedShare, "phase %s: share of usual requests served: %.2f", phase.Kind, phase.Served)
	}
	result.require(f.Late == 0, "usual requests answered late: %d", f.Late)
	result.require(f.Served >= minServedShare, "share of usual requests served: %.3f", f.Served)
	result.require(f.Unanswered == 0, "misbehaving clients without an answer or a close in time: %d", f.Unanswered)
	return nil
}

// count computes the figures from the clients' log, the fleet and the phases.
func (c *clientsScenario) count(bed *testbed) {
	f, log := &c.figures, bed.clients.Log()
	f.Phases = c.phases
	for _, phase := range c.phases {
		usual := servedBetween(log, phase.from, phase.to)
		phase.Usual, phase.Served, phase.P99Ms = usual.requests, usual.share, usual.p99Ms
		f.PeakMB = max(f.PeakMB, phase.PeakMB)
		f.Unanswered += phase.Overdue
	}
	served := 0
	for _, response := range log {
		f.Requests++
		switch response.Outcome {
		case fleet.OutcomeServed:
			served++
		case fleet.OutcomeBroken, fleet.OutcomeSilent:
			f.Lost++
			c.countLost(response)
		}
		if response.Done.Sub(response.Sent) > maxResponseTime {
			f.Late++
		}
	}
	f.Served = float64(served) / float64(max(f.Requests, 1))
	slack := attemptsAfterLeave
	if c.Short {
		slack = shortAttemptsAfterLeave
	}
	var latest time.Duration
	f.Left, f.AfterLeave, latest = c.departures.counts(cmp.Or(c.Slack, slack))
	f.LatestMs = float64(latest.Microseconds()) / 1000
	f.Violations = bed.fleet.Audit()
}

// countLost counts a lost request in the phase in which it was sent.
func (c *clientsScenario) countLost(response fleet.Response) {
	for _, phase := range c.phases {
		if response.Sent.After(phase.from) && response.Sent.Before(phase.to) {
			phase.Lost++
		}
	}
}

func (c *clientsScenario) report(result *verdict) error { return result.print(c.figures) }
