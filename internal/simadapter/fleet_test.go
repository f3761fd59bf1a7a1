package simadapter

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// This file holds the fleet of the replay test: backends, clients, discovery and a release platform under one seed, which speak
// the simulator's wire. It decides nothing of its own by wall time or map order, so one seed gives one stream of events for as
// long as the decisions stay the same.

const (
	fleetTick      = 5_000 // us between two batches at least
	millisecond    = 1_000
	second         = 1_000_000
	serversEach    = 4 // requests that a backend works on at once
	connectTimeout = 250 * millisecond
)

// scenario is one stream: a deployment's settings and what befalls it.
type scenario struct {
	name      string
	seed      uint64
	instances int // played here, of as many as the settings say
	seconds   int64
	backends  int
	zones     int
	rate      float64 // requests a second at each instance
	trouble   float64 // seconds between two faults, on the average
	settings  map[string]any
}

type fleetBackend struct {
	id                      string
	release                 int
	condition               string
	rating                  float64
	boot                    int64
	zone, kind, cell        int
	slow                    float64 // times the usual latency
	failing                 float64 // share of errors
	unreachable, hanging    bool
	servers                 [serversEach]int64 // busy until
	defectSlow, defectError float64            // of its release
}

type fleetAttempt struct {
	backend string
	sent    int64
	out     bool
}

type fleetRequest struct {
	id       string
	instance int
	life     uint64 // of the instance that took it
	class    int
	key      string
	deadline int64
	closed   bool
	attempts []*fleetAttempt
	tries    int
}

type fleetInstance struct {
	name       string
	live       bool
	seed       uint64
	pending    []string // events of the next batch
	requests   map[string]*fleetRequest
	subscribed bool
	vote       int // verdict that stands
	voteStage  int
}

type fleetEvent struct {
	at  int64
	seq int
	do  func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet is a scenario as it is played.
type fleet struct {
	scenario
	rng       *rand.Rand
	now       int64
	seq       int
	queue     fleetQueue
	instances []*fleetInstance
	backends  []*fleetBackend
	byID      map[string]*fleetBackend
	serial    int
	slot      int
	ids       int
	surge     float64
	shared    float64 // latency of all, times the usual

	release, stage, phase int
	stageSince            int64
	everyBack             bool
	caps                  []float64
	rings                 []float64
	places                int
	defectSlow            float64
	defectError           float64
	classes               int
	tenants               int
	streamed              []bool
	defects               int
	down                  bool // discovery
}

func newFleet(s scenario) *fleet {
	f := &fleet{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), now: 1000 * second, byID: map[string]*fleetBackend{}, surge: 1,
		shared: 1, release: 1, phase: 2, places: s.backends,
	}
	family := s.settings["family-info"].(map[string]any)
	f.caps, f.rings = family["most-shares"].([]float64), family["rings"].([]float64)
	f.stage = len(f.rings) - 1
	for _, class := range s.settings["grades"].([]map[string]any) {
		f.classes++
		f.streamed = append(f.streamed, class["streamed"].(bool))
	}
	if tenants, ok := s.settings["customers"].([]map[string]any); ok {
		f.tenants = len(tenants)
	}
	for k := range s.backends {
		f.addBackend(1, k%max(s.zones, 1), 0)
	}
	for k := range s.instances {
		f.instances = append(f.instances, &fleetInstance{name: fmt.Sprint("agent_", k), seed: f.rng.Uint64()})
	}
	return f
}

func (f *fleet) after(us int64, do func()) {
	f.seq++
	heap.Push(&f.queue, fleetEvent{at: f.now + max(us, 1), seq: f.seq, do: do})
}

func (f *fleet) exponential(mean float64) int64 { return int64(mean * f.rng.ExpFloat64()) }

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func (f *fleet) tell(to int, name string, fields any) {
	if in := f.instances[to]; in.live {
		in.pending = append(in.pending, fmt.Sprintf(`{%q:%s}`, name, text(fields)))
	}
}

// ---- backends and discovery

func (f *fleet) addBackend(release, zone int, boot int64) *fleetBackend {
	f.ids++
	b := &fleetBackend{
		id: fmt.Sprintf("10.0.%d.%d:80", f.ids/250, f.ids%250), release: release, condition: "on",
		rating: []float64{1, 1, 1.5}[f.rng.IntN(3)], boot: boot, zone: zone, kind: f.rng.IntN(2), cell: f.ids % 3, slow: 1,
	}
	if release == f.release {
		b.defectSlow, b.defectError = f.defectSlow, f.defectError
	}
	f.backends = append(f.backends, b)
	f.byID[b.id] = b
	return b
}

func entry(b *fleetBackend) map[string]any {
	var boot any
	if b.boot > 0 {
		boot = b.boot
	}
	return map[string]any{
		"ver": b.release, "condition": b.condition, "rating": b.rating, "boot-time-us": boot, "site": b.zone,
		"appliance": b.id, "machine": b.kind, "stripe": b.cell,
	}
}

func (f *fleet) changed(form string, to int, backends ...*fleetBackend) {
	items := []map[string]any{}
	for _, b := range backends {
		items = append(items, entry(b))
	}
	f.serial++
	f.slot = (f.slot + 1) % 16
	f.tell(to, "pool", map[string]any{"slot": f.slot, "items": items})
	f.tell(to, "backends-changed", map[string]any{"serial": f.serial, "form": form, "slot": f.slot})
}

func (f *fleet) listed() (backends []*fleetBackend) {
	for _, b := range f.backends {
		if b.condition != "off" {
			backends = append(backends, b)
		}
	}
	return backends
}

// announce tells every instance of a change of one backend, each after a delay of its own.
func (f *fleet) announce(b *fleetBackend) {
	for k := range f.instances {
		f.after(f.exponential(200*millisecond), func() {
			in := f.instances[k]
			if f.down || f.settings["discovery"] == "subscribe" && !in.subscribed {
				return
			}
			f.changed("D", k, b)
		})
	}
}

func (f *fleet) takeDown(b *fleetBackend) {
	b.condition = "fading"
	f.announce(b)
	f.after(2*second, func() {
		b.condition, b.unreachable = "off", true
		f.announce(b)
		f.backends = slices.DeleteFunc(f.backends, func(x *fleetBackend) bool { return x == b })
	})
}

// ---- the release platform

func (f *fleet) running(release int) (n int) {
	for _, b := range f.backends {
		if b.release == release && b.condition == "on" {
			n++
		}
	}
	return n
}

func (f *fleet) news(to, how, status int) {
	ceiling := 1.0
	switch f.phase {
	case 0:
		ceiling = f.caps[f.stage]
	case 1, 3:
		ceiling = 0
	}
	f.tell(to, "promotion", map[string]any{
		"ver": f.release, "wave": f.stage, "standing": f.phase, "how": how, "status": status,
		"ceiling": ceiling, "old-us": f.now - f.stageSince,
	})
}

func (f *fleet) newsToAll() {
	for k := range f.instances {
		f.after(f.exponential(300*millisecond), func() { f.news(k, 0, 1) })
	}
}

func (f *fleet) move(stage, phase int) {
	f.stage, f.phase, f.stageSince = stage, phase, f.now
	for _, in := range f.instances {
		if in.vote == 1 {
			in.vote = 0
		}
	}
	f.newsToAll()
}

func (f *fleet) offer() {
	if f.phase == 0 {
		f.move(f.stage, 3)
		f.retire(f.release)
	}
	f.release += 1 + f.rng.IntN(2)
	f.defects++
	f.defectSlow, f.defectError, f.shared = 1, 0, 1
	switch f.defects % 7 {
	case 1:
		f.defectSlow = 2.2
	case 3:
		f.defectError = 0.25
	case 5:
		f.defectSlow = 1.25
	case 6:
		f.shared = 1.9
	}
	for _, in := range f.instances {
		in.vote = 0
	}
	f.move(0, 0)
	f.place()
	f.after(90*second+f.exponential(60*second), f.offer)
}

func (f *fleet) place() {
	if f.phase != 0 && f.phase != 2 {
		return
	}
	want := int(math.Ceil(f.rings[f.stage] * float64(f.places)))
	if f.phase == 2 {
		want = f.places
	}
	for n := f.running(f.release); n < want; n++ {
		f.after(f.exponential(700*millisecond), func() {
			if f.phase == 1 || f.phase == 3 {
				return
			}
			old := slices.IndexFunc(f.backends, func(b *fleetBackend) bool { return b.condition == "on" && b.release < f.release })
			zone := f.rng.IntN(max(f.zones, 1))
			if old >= 0 {
				zone = f.backends[old].zone
				f.takeDown(f.backends[old])
			}
			f.announce(f.addBackend(f.release, zone, f.now))
		})
	}
}

// retire replaces what runs a release that goes back.
func (f *fleet) retire(release int) {
	for _, b := range slices.Clone(f.backends) {
		if b.release == release && b.condition == "on" {
			f.takeDown(b)
			fresh := f.addBackend(max(release-1, 1), b.zone, f.now)
			fresh.defectSlow, fresh.defectError = 1, 0
			f.announce(fresh)
		}
	}
}

func (f *fleet) platform() {
	f.after(500*millisecond, f.platform)
	if f.phase != 0 {
		return
	}
	yes, back := 0, 0
	for _, in := range f.instances {
		if in.vote == 1 && in.voteStage == f.stage {
			yes++
		}
		if in.vote == 3 {
			back++
		}
	}
	clocked := f.settings["family-info"].(map[string]any)["decided-by"] == "clocked"
	soaked := f.now > f.stageSince+4*second
	switch {
	case back > 0 && (!f.everyBack || back == len(f.instances)):
		f.move(f.stage, 1)
		release := f.release
		f.after(2*second, func() {
			f.retire(release)
			if f.release == release {
				f.move(f.stage, 3)
			}
		})
	case soaked && (2*yes > len(f.instances) || clocked && f.now > f.stageSince+9*second):
		if f.stage+1 < len(f.rings) {
			f.move(f.stage+1, 0)
		} else {
			f.move(f.stage, 2)
		}
		f.place()
	}
}

// ---- requests

func (f *fleet) arrive(k int) {
	f.after(f.exponential(second/(f.rate*f.surge)), func() { f.arrive(k) })
	key := ""
	if f.rng.IntN(4) > 0 {
		key = fmt.Sprint("key/", min(f.rng.IntN(400), f.rng.IntN(400), f.rng.IntN(400)))
	}
	f.knock(k, f.rng.IntN(f.classes), key, 1)
}

func (f *fleet) knock(k, class int, key string, try int) {
	in := f.instances[k]
	if !in.live {
		return
	}
	f.ids++
	budget := []int64{4000, 2500, 1200}[min(try, 3)-1] * millisecond
	r := &fleetRequest{id: fmt.Sprint("t/", f.ids), instance: k, life: in.seed, class: class, key: key, deadline: f.now + budget, tries: try}
	in.requests[r.id] = r
	fields := map[string]any{
		"request-id": r.id, "affinity": nil, "kind": class, "time-budget-us": budget, "is-retry": try > 1,
		"owner": nil, "hint-us": nil,
	}
	if key != "" {
		fields["affinity"] = key
	}
	if f.tenants > 0 {
		fields["owner"] = min(f.rng.IntN(f.tenants), f.rng.IntN(f.tenants))
	}
	if f.settings["hints"] == true {
		fields["hint-us"] = 2000 + f.exponential(9000)
	}
	f.tell(k, "knock", fields)
	f.after(budget, func() { f.deadline(r) })
	if f.rng.IntN(40) == 0 {
		f.after(f.exponential(300*millisecond), func() { f.leaves(r) })
	}
}

// lost tells that the instance that took a request has been killed.
func (f *fleet) lost(r *fleetRequest) bool { return f.instances[r.instance].seed != r.life }

func (f *fleet) leaves(r *fleetRequest) {
	if !r.closed && !f.lost(r) {
		r.closed = true
		f.tell(r.instance, "hangup", map[string]any{"request-id": r.id})
	}
}

func (f *fleet) deadline(r *fleetRequest) {
	for n, a := range r.attempts {
		if a.out {
			f.done(r, n, 4)
		}
	}
	f.after(20*millisecond, func() { f.leaves(r) })
}

func (f *fleet) report(b *fleetBackend) map[string]any {
	fields := map[string]any{}
	if f.rng.IntN(3) > 0 {
		busy := 0
		for _, until := range b.servers {
			if until > f.now {
				busy++
			}
		}
		fields["q"] = f.rng.IntN(busy + 1)
		fields["busy"] = float64(busy) / serversEach
	}
	return fields
}

func (f *fleet) done(r *fleetRequest, n, how int) {
	a := r.attempts[n]
	if !a.out || f.lost(r) {
		return
	}
	a.out = false
	served := how == 1 && !r.closed
	r.closed = r.closed || served
	f.tell(r.instance, "done", map[string]any{
		"request-id": r.id, "appliance": a.backend, "how": how, "copy": n, "final": r.closed,
		"took-us": f.now - a.sent, "feedback": f.report(f.byID[a.backend]),
	})
	if served && f.rng.IntN(150) == 0 {
		f.after(second, func() {
			f.tell(r.instance, "reported-wrong", map[string]any{"appliance": a.backend, "kind": r.class, "old-us": f.now - a.sent})
		})
	}
}

// serve says how an attempt ends and when.
func (f *fleet) serve(b *fleetBackend, class int) (how int, us int64) {
	switch {
	case b.unreachable && f.rng.IntN(2) == 0:
		return 5, connectTimeout
	case b.unreachable:
		return 5, 400
	case b.hanging:
		return 4, 60 * second
	case f.rng.Float64() < b.failing+b.defectError:
		return []int{2, 2, 6, 3}[f.rng.IntN(4)], 2 * millisecond
	}
	free := 0
	for k, until := range b.servers {
		if until < b.servers[free] {
			free = k
		}
	}
	start := max(f.now, b.servers[free])
	if start > f.now+800*millisecond {
		return 3, millisecond
	}
	mean := float64([]int64{30, 60, 120}[class%3]*millisecond) * b.slow * max(b.defectSlow, 1) / b.rating
	if f.phase == 0 {
		mean *= f.shared
	}
	took := int64(mean * math.Exp(0.5*f.rng.NormFloat64()))
	if b.boot > 0 && f.now < b.boot+5*second {
		took *= 2
	}
	b.servers[free] = start + took
	return 1, start + took - f.now
}

// ---- trouble

func (f *fleet) strike() {
	f.after(f.exponential(f.trouble*second), f.strike)
	b := f.backends[f.rng.IntN(len(f.backends))]
	length := second + f.exponential(4*second)
	heal := func(change, back func()) {
		change()
		f.after(length, back)
	}
	switch f.rng.IntN(9) {
	case 0:
		heal(func() { b.slow = 6 }, func() { b.slow = 1 })
	case 1:
		heal(func() { b.failing = 0.5 }, func() { b.failing = 0 })
	case 2:
		heal(func() { b.hanging = true }, func() { b.hanging = false })
	case 3: // dies and comes back cold
		heal(func() { b.unreachable = true }, func() { b.unreachable, b.boot = b.condition == "off", f.now; f.announce(b) })
	case 4:
		heal(func() { f.surge = 3 }, func() { f.surge = 1 })
	case 5:
		heal(func() { f.down = true }, func() {
			f.down = false
			for k := range f.instances {
				f.changed("F", k, f.listed()...)
			}
		})
		for k, in := range f.instances {
			if in.subscribed {
				in.subscribed = f.settings["discovery"] != "subscribe"
				f.tell(k, "backends-changed", map[string]any{"serial": f.serial, "form": "X", "slot": 0})
			}
		}
	case 6: // a zone is cut off
		zone := f.rng.IntN(max(f.zones, 1))
		for _, b := range f.backends {
			if b.zone == zone && f.zones > 1 {
				b.unreachable = true
				f.after(length/2, func() { b.unreachable = b.condition == "off" })
			}
		}
	case 7: // an instance is killed and starts anew
		k := f.rng.IntN(len(f.instances))
		f.instances[k].pending = nil
		f.tell(k, "killed", map[string]any{})
		f.instances[k].live = false
		f.start(k)
	case 8: // all stand still: timers come late
		f.now += 300 * millisecond
	}
}

func (f *fleet) start(k int) {
	in := f.instances[k]
	in.live, in.requests, in.subscribed, in.vote = true, map[string]*fleetRequest{}, f.settings["discovery"] != "subscribe", 0
	settings := map[string]any{"me": k, "zone": k % max(f.zones, 1)}
	for name, value := range f.settings {
		settings[name] = value
	}
	f.tell(k, "init", map[string]any{"prng": in.seed, "profile-data": settings})
	in.seed++
	f.changed("C", k, f.listed()...)
	f.after(50*millisecond, func() { f.news(k, 0, 1) })
}

func (f *fleet) notices() {
	f.after(4*second, f.notices)
	f.newsToAll()
	for k := range f.instances {
		f.tell(k, "counts-by-build", map[string]any{"ver": f.release, "kind": 0, "many": 100, "bad": 3, "took-us": 21500, "old-us": 1250000})
	}
}

// ---- actions

type fleetAction struct {
	name   string
	fields map[string]any
}

func number(v any) int64 {
	n, _ := v.(json.Number)
	whole, _ := n.Int64()
	return whole
}

func (f *fleet) act(k int, a fleetAction) {
	in := f.instances[k]
	id, _ := a.fields["request-id"].(string)
	r := in.requests[id]
	switch a.name {
	case "place":
		f.attempt(r, a.fields["appliance"].(string))
	case "deny", "surrender":
		if r != nil && !r.closed {
			r.closed = true
			f.again(r, a.name == "deny")
		}
	case "revoke":
		n := int(number(a.fields["copy"]))
		f.after(200, func() { f.done(r, n, 7) })
	case "probe":
		f.probe(k, a.fields["appliance"].(string))
	case "signal":
		raw := a.fields["raw"]
		to := int(number(a.fields["recipient"]))
		f.after(f.exponential(2*millisecond), func() {
			if to < len(f.instances) {
				f.tell(to, "mail", map[string]any{"sender": k, "raw": raw})
			}
		})
	case "notify-me":
		label := number(a.fields["label"])
		name := in.seed
		f.after(number(a.fields["after-us"]), func() {
			if in.seed == name {
				f.tell(k, "wakeup", map[string]any{"label": label})
			}
		})
	case "stream-changes", "read-list":
		f.after(f.exponential(10*millisecond), func() {
			if f.down || f.rng.IntN(6) == 0 {
				f.tell(k, "backends-changed", map[string]any{"serial": f.serial, "form": "X", "slot": 0})
				return
			}
			in.subscribed = true
			f.changed("F", k, f.listed()...)
		})
	case "say-so":
		f.ballot(k, int(number(a.fields["ver"])), int(number(a.fields["how"])), int(number(a.fields["wave"])))
	}
}

func (f *fleet) ballot(k, release, how, stage int) {
	f.after(f.exponential(30*millisecond), func() {
		in := f.instances[k]
		status := []int{1, 1, 1, 1, 1, 3, 2, 4}[f.rng.IntN(8)]
		if release != f.release || f.phase == 3 || how == 1 && (stage != f.stage || f.phase != 0) {
			status = 8
		}
		if status == 1 {
			in.vote, in.voteStage = how, stage
		}
		f.news(k, 1, status)
		if how == 3 && f.phase == 2 && status == 1 && release == f.release {
			f.move(f.stage, 1)
			f.after(2*second, func() { f.retire(release); f.move(f.stage, 3) })
		}
	})
}

func (f *fleet) attempt(r *fleetRequest, backend string) {
	n, a := len(r.attempts), &fleetAttempt{backend: backend, sent: f.now, out: true}
	r.attempts = append(r.attempts, a)
	if r.closed {
		f.after(1, func() { f.done(r, n, 8) })
		return
	}
	how, us := f.serve(f.byID[backend], r.class)
	if how == 1 && f.streamed[r.class] {
		f.after(us/2, func() {
			if a.out && !r.closed && !f.lost(r) {
				f.tell(r.instance, "head-received", map[string]any{"request-id": r.id, "copy": n, "appliance": backend, "took-us": f.now - a.sent})
			}
		})
	}
	f.after(us, func() { f.done(r, n, how) })
}

// again is the client's next try.
func (f *fleet) again(r *fleetRequest, harmless bool) {
	if r.tries < 3 && (harmless || r.class == 0) && f.rng.IntN(2) == 0 {
		f.after(50*millisecond+f.exponential(200*millisecond), func() { f.knock(r.instance, r.class, r.key, r.tries+1) })
	}
}

func (f *fleet) probe(k int, backend string) {
	b, sent := f.byID[backend], f.now
	how, us := 1, 2*millisecond+f.exponential(3*millisecond*b.slow)
	switch {
	case b.unreachable:
		how, us = 5, connectTimeout
	case b.hanging || f.rng.IntN(50) == 0:
		how, us = 4, 600*millisecond
	}
	f.after(us, func() {
		f.tell(k, "checked", map[string]any{"appliance": backend, "how": how, "took-us": f.now - sent, "feedback": f.report(b)})
	})
}

// ---- batches

// play hands batch after batch to answer and carries out the actions of its replies.
func (f *fleet) play(answer func(batch string) string, effect func(events, action string) (more bool)) {
	for k := range f.instances {
		f.instances[k].live = true
		f.start(k)
		f.arrive(k)
	}
	f.after(4*second, f.notices)
	f.after(12*second, f.offer)
	f.after(second, f.platform)
	f.after(8*second, f.strike)
	end := f.now + f.seconds*second
	for f.now < end {
		f.now = max(f.now, f.queue[0].at) + fleetTick - 1
		f.now -= f.now % fleetTick
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(fleetEvent).do()
		}
		if !f.batch(answer, effect) {
			return
		}
	}
}

func (f *fleet) batch(answer func(batch string) string, effect func(events, action string) (more bool)) (more bool) {
	var groups []string
	events := map[string]string{}
	for _, in := range f.instances {
		if len(in.pending) == 0 {
			continue
		}
		events[in.name] = strings.Join(in.pending, ",")
		groups = append(groups, fmt.Sprintf(`{"who":%q,"happened":[%s]}`, in.name, events[in.name]))
		in.pending = nil
	}
	if len(groups) == 0 {
		return true
	}
	reply := answer(fmt.Sprintf(`{"now-us":%d,"agents":[%s]}`, f.now, strings.Join(groups, ",")) + "\n")
	var all struct {
		Agents []struct {
			Who string
			Out []json.RawMessage
		}
	}
	if err := json.Unmarshal([]byte(reply), &all); err != nil {
		panic(err)
	}
	for _, group := range all.Agents {
		k := slices.IndexFunc(f.instances, func(in *fleetInstance) bool { return in.name == group.Who })
		for _, raw := range group.Out {
			var action map[string]map[string]any
			decoder := json.NewDecoder(strings.NewReader(string(raw)))
			decoder.UseNumber()
			if err := decoder.Decode(&action); err != nil {
				panic(err)
			}
			for name, fields := range action {
				// What a line of the log says is no decision.
				if name != "log" && !effect(fmt.Sprintf("%d %s: %s", f.now, group.Who, events[group.Who]), string(raw)) {
					return false
				}
				f.act(k, fleetAction{name: name, fields: fields})
			}
		}
	}
	return true
}
