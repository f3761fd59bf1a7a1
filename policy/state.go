package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// mwc is a lag-1 multiply-with-carry generator.
type mwc struct{ x, c uint64 }

func (g *mwc) next() uint64 {
	t := 4294957665*g.x + g.c
	g.x, g.c = t&0xffffffff, t>>32
	return g.x
}

func (g *mwc) Uint64() uint64 { return g.next()<<32 | g.next() }

// submission is one try of a txn at an appliance.
type submission struct {
	app, build int
	at         float64
	out        bool // no outcome yet
	unrun      bool // proven not to have run
	late       bool // already held against the appliance
}

type txn struct {
	id, key   string
	product   int
	came, sla float64
	expiry    float64
	work      float64 // told cost, 1 where none is told
	subs      []submission
	out       int
	ended     bool
	held      bool
	took      bool // a stream has begun: no expiry holds any more
}

type alarm struct {
	at float64
	t  *txn
}

type alarms []alarm

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].at < h[j].at }
func (h alarms) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *alarms) Push(x any)        { *h = append(*h, x.(alarm)) }
func (h *alarms) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// outcome is one submission's end as evidence on a build.
type outcome struct {
	at, lat float64
	rel     float64 // latency over the product's usual one
	bad     bool
	app     int
	steady  bool // its latency counts
}

// fleet holds what is known of each appliance, in parallel arrays under a small index.
type fleet struct {
	index                       map[string]int
	id                          []string
	builds, zones, kinds, cells []int
	state                       []State
	rating, start               []float64
	open                        []int
	limit                       []float64 // own open submissions that it may have
	good, poor, seenAt          []float64 // fading record of answers within the SLA time and others
	rel                         []float64 // latency against the product's usual
	level, levelAt              []float64 // cold budget
	recent                      [][]float64
	asked, subscribed, failed   bool
	grace, within, askAt        float64
}

// trial is what is known of the newest build.
type trial struct {
	newest, stage int
	phase         Phase
	known         bool
	places        int     // running appliances when the newest build was first heard of
	placed        float64 // and their rating
	begun         float64 // when this stage's window began; 0: not yet
	lastStart     float64
	evidence      [2][][]outcome // earlier and newest build, by product
	judgeAt       float64
	want          Verdict
	stands        Verdict
	standsStage   int
	renew, voteAt float64
	reason        string  // why the last 'back' was wanted
	phaseAt       float64 // when its stage or phase last changed
	hotSince      float64
	excused       bool
	before        struct {
		usual           []float64 // latency by product
		demand, typical float64
	}
	pending     bool
	asking      Verdict
	askingStage int
}

// Agent is one instance of the decisions.
type Agent struct {
	port           Port
	now            float64
	rnd            *rand.Rand
	salt           uint64
	agents         int
	products       []Product
	maxSubs        int
	copies, revoke bool
	maxWait        float64
	zone           int
	zonePriced     bool

	coldFrom, warmTime, multiple, fall float64
	free                               float64
	caps                               []float64
	guarded                            int
	perProduct, keysStay               bool
	allow                              map[int][]float64 // by build: what may still go, by product
	cap                                float64
	ties                               map[string]int
	sightings                          map[string]float64
	taken                              float64

	stages  []float64
	control Control
	life    float64

	fleet
	trial
	txns             map[string]*txn
	todo             []*txn
	held             []*txn // waiting for a place, oldest first
	recallAt         float64
	alarms           alarms
	armed            float64
	token            uint64
	usual            []float64 // mean latency by product
	pace, paceAt     float64
	paceAge          float64
	demand, demandAt float64 // first tries of late
	meanMs           float64
	worth            float64   // mean revenue
	longest          []float64 // by product: the longest time of a try
	workMean         float64
}

// New makes an agent; seed starts its generator.
func New(port Port, seed uint64, me, agents int) *Agent {
	g := &mwc{x: seed&0xffffffff | 1, c: seed >> 32 % 4294957664}
	a := &Agent{port: port, rnd: rand.New(g), agents: max(agents, 1), txns: map[string]*txn{}, armed: math.Inf(1), recallAt: math.Inf(1)}
	a.salt = g.Uint64()
	a.allow, a.ties, a.sightings = map[int][]float64{}, map[string]int{}, map[string]float64{}
	a.index = map[string]int{}
	a.judgeAt = math.Inf(1)
	return a
}

func (a *Agent) Serve(products []Product, maxSubs int, copies, revoke bool) {
	a.products, a.maxSubs, a.copies, a.revoke = products, maxSubs, copies, revoke
	a.usual, a.longest = make([]float64, len(products)), make([]float64, len(products))
	a.before.usual, a.hotSince = make([]float64, len(products)), math.Inf(1)
	for i := range a.evidence {
		a.evidence[i] = make([][]outcome, len(products))
	}
}

func (a *Agent) Advise(maxWait float64) { a.maxWait = maxWait }

func (a *Agent) Zone(zone int, priced bool) { a.zone, a.zonePriced = zone, priced }

func (a *Agent) Watch(asked bool, grace, within float64) {
	a.asked, a.grace, a.within = asked, grace, within
}

func (a *Agent) Warm(from, time, multiple, fall float64) {
	a.coldFrom, a.warmTime, a.multiple, a.fall = from, time, multiple, fall
}

func (a *Agent) Expose(free float64, caps []float64, guarded int, perProduct, keysStay bool) {
	a.free, a.caps, a.guarded, a.perProduct, a.keysStay = free, caps, guarded, perProduct, keysStay
}

func (a *Agent) Judge(stages []float64, control Control, life, timeout float64) {
	a.stages, a.control, a.life = stages, control, life
}

func (a *Agent) Tenants(quotas []float64, overWorth float64) {}

func (a *Agent) look(at float64, t *txn) { heap.Push(&a.alarms, alarm{at, t}) }

func (a *Agent) arm() {
	a.token++
	a.armed = a.alarms[0].at
	a.port.Timer(max(a.armed-a.now, 0.001), a.token)
}

// List takes entries as the list shows them; whole lists drop what they no longer name.
func (a *Agent) List(now float64, entries []Listed, whole, old bool) {
	a.now = now
	if whole {
		for i := range a.state {
			a.state[i] = Gone
		}
	}
	for _, e := range entries {
		i, ok := a.index[e.ID]
		if !ok {
			i = len(a.id)
			a.index[e.ID] = i
			a.id = append(a.id, e.ID)
			a.builds, a.zones = append(a.builds, 0), append(a.zones, 0)
			a.kinds, a.cells = append(a.kinds, 0), append(a.cells, 0)
			a.state, a.rating, a.start = append(a.state, Gone), append(a.rating, 1), append(a.start, -1)
			a.open, a.good, a.poor = append(a.open, 0), append(a.good, 0), append(a.poor, 0)
			a.seenAt, a.rel, a.recent = append(a.seenAt, 0), append(a.rel, 1), append(a.recent, nil)
			a.level, a.levelAt, a.limit = append(a.level, 0), append(a.levelAt, now), append(a.limit, limitFirst)
		}
		if a.start[i] != e.Start || a.builds[i] != e.Build {
			// A re-used id or a restart: nothing learned of the former process holds, and it is cold.
			a.good[i], a.poor[i], a.rel[i], a.recent[i], a.level[i], a.levelAt[i] = 0, 0, 1, nil, 0, now
		}
		a.builds[i], a.zones[i], a.kinds[i], a.cells[i] = e.Build, e.Zone, e.Kind, e.Cell
		a.state[i], a.rating[i], a.start[i] = e.State, max(e.Rating, 0.01), e.Start
	}
	a.settle()
}

func (a *Agent) lane(product int) int {
	if a.perProduct {
		return product
	}
	return 0
}

func (a *Agent) bucket(build int) []float64 {
	b := a.allow[build]
	if b == nil {
		b = make([]float64, max(len(a.products), 1))
		for k := range b {
			b[k] = a.free
		}
		a.allow[build] = b
	}
	return b
}

// Began: the stream belongs to the client now; no expiry holds.
func (a *Agent) Began(now float64, id string, sub int) {
	a.now = now
	if t := a.txns[id]; t != nil {
		t.took = true
	}
	a.settle()
}

func (a *Agent) Wake(now float64, token uint64) {
	a.now = now
	if token == a.token {
		a.armed = math.Inf(1)
	}
	a.settle()
}

func (a *Agent) Probed(now float64, app string, ok bool, took, waiting, busy float64) {
	a.now = now
	a.settle()
}

// Counted are the platform's own figures; the vote's evidence is the agent's own outcomes, so they decide nothing.
func (a *Agent) Counted(now float64, build, product, many, bad int, took float64) { a.now = now }
