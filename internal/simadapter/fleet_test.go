package simadapter

// This file and the fleet_*_test.go beside it hold the fleet of the replay test: backends, clients, discovery and a release
// platform under one seed, which speak the simulator's wire. The fleet decides nothing by wall time or map order, so one seed
// gives one stream of events for as long as the decisions stay the same. The order in which it draws random numbers and schedules
// is part of that stream: a change of it differs from the recordings.

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// Times of the fleet are microseconds, as on the wire.
const (
	millisecond = 1_000
	second      = 1_000_000
	fleetTick   = 5 * millisecond // between two batches at least
	fleetStart  = 1000 * second   // what the clock shows at the start
)

// scenario is one stream: a deployment's settings and what befalls it.
type scenario struct {
	name       string
	seed       uint64
	instances  int // played here, of as many as the settings say
	seconds    int64
	backends   int
	zones      int
	rate       float64 // requests a second at each instance
	faultEvery float64 // seconds between two faults, on the average
	quorum     int     // votes that move a stage on; 0: more than half of the instances
	settings   map[string]any
}

func (s scenario) onSubscription() bool { return s.settings["discovery"] == "subscribe" }

func (s scenario) familyInfo() map[string]any { return s.settings["family-info"].(map[string]any) }

// randomZone draws one of the scenario's zones.
func (f *fleet) randomZone() int { return f.rng.IntN(max(f.zones, 1)) }

// fleetInstance is an instance as the fleet sees it from outside.
type fleetInstance struct {
	name       string
	running    bool
	seed       uint64   // of its present life; it changes with each start
	pending    []string // events of the next batch
	requests   map[string]*fleetRequest
	subscribed bool
	vote       int // the accepted verdict
	voteStage  int
}

// fleetEvent is something that will happen. Of two at one time, the one that was scheduled first comes first.
type fleetEvent struct {
	at       int64
	sequence int
	do       func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
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
	rng           *rand.Rand
	now           int64
	sequence      int
	queue         fleetQueue
	instances     []*fleetInstance
	backends      []*fleetBackend
	byID          map[string]*fleetBackend // also those that are gone
	lastID        int                      // of backends and requests alike
	discovery     fleetDiscovery
	rollout       fleetRollout
	streamed      []bool // of each class: its responses come in pieces
	tenants       int
	arrivalFactor float64 // times the usual rate
}

func newFleet(s scenario) *fleet {
	f := &fleet{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), now: fleetStart, byID: map[string]*fleetBackend{}, arrivalFactor: 1,
		rollout: newFleetRollout(s),
	}
	for _, class := range s.settings["grades"].([]map[string]any) {
		f.streamed = append(f.streamed, class["streamed"].(bool))
	}
	if tenants, ok := s.settings["customers"].([]map[string]any); ok {
		f.tenants = len(tenants)
	}
	for k := range s.backends {
		f.addBackend(firstRelease, k%max(s.zones, 1), 0)
	}
	for k := range s.instances {
		f.instances = append(f.instances, &fleetInstance{name: fmt.Sprint("agent_", k), seed: f.rng.Uint64()})
	}
	return f
}

// after has something happen in so many microseconds, one at least.
func (f *fleet) schedule(delay int64, do func()) {
	f.sequence++
	heap.Push(&f.queue, fleetEvent{at: f.now + max(delay, 1), sequence: f.sequence, do: do})
}

// randomTime draws a time (us) from an exponential distribution with this mean.
func (f *fleet) randomTime(mean float64) int64 { return int64(mean * f.rng.ExpFloat64()) }

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// send puts an event into an instance's next batch; one that is not live gets none.
func (f *fleet) send(to int, name string, fields any) {
	if in := f.instances[to]; in.running {
		in.pending = append(in.pending, fmt.Sprintf(`{%q:%s}`, name, mustJSON(fields)))
	}
}

// player is what the fleet plays against.
type driver struct {
	answer func(batch string) (reply string)
	effect func(events, action string) (more bool) // is shown every action of a reply but its log lines; false ends the play
}

// play hands over batch after batch and carries out the actions of the replies.
func (f *fleet) run(d driver) {
	for k := range f.instances {
		f.instances[k].running = true
		f.startInstance(k)
		f.nextArrival(k)
	}
	f.schedule(4*second, f.periodicUpdates)
	f.schedule(12*second, f.announceRelease)
	f.schedule(second, f.countVotes)
	f.schedule(8*second, f.injectFault)
	end := f.now + f.seconds*second
	for f.now < end {
		f.now = max(f.now, f.queue[0].at) + fleetTick - 1
		f.now -= f.now % fleetTick
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(fleetEvent).do()
		}
		if !f.exchange(d) {
			return
		}
	}
}

// exchange hands over what is pending as one batch, if anything is, and carries out the actions of the reply.
func (f *fleet) exchange(d driver) (more bool) {
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
	reply := d.answer(fmt.Sprintf(`{"now-us":%d,"agents":[%s]}`, f.now, strings.Join(groups, ",")) + "\n")
	if !gjson.Valid(reply) {
		panic("not JSON: " + reply)
	}
	for _, group := range gjson.Get(reply, "agents").Array() {
		name := group.Get("who").Str
		k := slices.IndexFunc(f.instances, func(in *fleetInstance) bool { return in.name == name })
		if !f.applyActions(d, k, fmt.Sprintf("%d %s: %s", f.now, name, events[name]), group.Get("out")) {
			return false
		}
	}
	return true
}

// performAll carries out the actions of one instance, which come from these events.
func (f *fleet) applyActions(d driver, k int, events string, actions gjson.Result) (more bool) {
	more = true
	actions.ForEach(func(_, action gjson.Result) bool {
		action.ForEach(func(name, fields gjson.Result) bool {
			// What a line of the log says is no decision.
			more = name.Str == "log" || d.effect(events, action.Raw)
			if more {
				f.applyAction(k, name.Str, fields)
			}
			return more
		})
		return more
	})
	return more
}
