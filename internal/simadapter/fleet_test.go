package simadapter

// This file and the other fleet_*_test.go files implement the fleet of the replay test: backends, clients, discovery
// and a release platform, driven by one seed, that use the simulator's protocol. The fleet does not depend on wall
// time or map order, so a seed always results in the same events as long as the decisions stay the same. The order in
// which the fleet draws random numbers and schedules events must not change either, or the events differ from the
// recordings.

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// The fleet uses microseconds, like the protocol.
const (
	millisecond = 1_000
	second      = 1_000_000
	fleetTick   = 5 * millisecond // minimum time between two batches
	fleetStart  = 1000 * second   // initial time of the clock
)

// scenario is a deployment's settings with the load and the faults that it is exposed to. It determines one stream of
// events.
type scenario struct {
	name       string
	seed       uint64
	instances  int // simulated here; the settings may specify a larger fleet
	seconds    int64
	backends   int
	zones      int
	rate       float64 // requests per second at each instance
	faultEvery float64 // mean time between two faults, in seconds
	quorum     int     // votes that advance a stage; 0: more than half of the instances
	settings   map[string]any
}

func (s scenario) onSubscription() bool { return s.settings["discovery"] == "subscribe" }

func (s scenario) familyInfo() map[string]any { return s.settings["family-info"].(map[string]any) }

// randomZone returns a random zone of the scenario.
func (f *fleet) randomZone() int { return f.rng.IntN(max(f.zones, 1)) }

// fleetInstance is the fleet's view of an instance.
type fleetInstance struct {
	name       string
	running    bool
	seed       uint64   // changes with each start, and so identifies the incarnation
	pending    []string // events of the next batch
	requests   map[string]*fleetRequest
	subscribed bool
	vote       int // accepted verdict
	voteStage  int
}

// fleetEvent is a scheduled event. Events with equal times are processed in the order in which they were scheduled.
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

// fleet is the state of a running scenario.
type fleet struct {
	scenario
	rng           *rand.Rand
	now           int64
	sequence      int
	queue         fleetQueue
	instances     []*fleetInstance
	backends      []*fleetBackend
	byID          map[string]*fleetBackend // including removed backends
	lastID        int                      // last ID used, for backends and requests
	discovery     fleetDiscovery
	rollout       fleetRollout
	streamed      []bool // by class: responses are streamed
	tenants       int
	arrivalFactor float64 // multiple of the usual arrival rate
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

// schedule runs do after the given delay (us), which counts as at least 1 us.
func (f *fleet) schedule(delay int64, do func()) {
	f.sequence++
	heap.Push(&f.queue, fleetEvent{at: f.now + max(delay, 1), sequence: f.sequence, do: do})
}

// randomTime returns a random time (us) from an exponential distribution with the given mean.
func (f *fleet) randomTime(mean float64) int64 { return int64(mean * f.rng.ExpFloat64()) }

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// send adds an event to the next batch of an instance, unless the instance is not running.
func (f *fleet) send(to int, name string, fields any) {
	if in := f.instances[to]; in.running {
		in.pending = append(in.pending, fmt.Sprintf(`{%q:%s}`, name, mustJSON(fields)))
	}
}

// driver connects the fleet to the adapter under test.
type driver struct {
	answer func(batch string) (reply string)
	effect func(events, action string) (more bool) // called for each action except log lines; false ends the run
}

// run sends batch after batch and carries out the actions in the replies.
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

// exchange sends all pending events as one batch, if there are any, and carries out the actions in the reply.
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
		panic("reply is not valid JSON: " + reply)
	}
	for _, group := range gjson.Get(reply, "agents").Array() {
		name := group.Get("who").Str
		index := slices.IndexFunc(f.instances, func(in *fleetInstance) bool { return in.name == name })
		if !f.applyActions(d, index, fmt.Sprintf("%d %s: %s", f.now, name, events[name]), group.Get("out")) {
			return false
		}
	}
	return true
}

// applyActions carries out the actions of one instance. events are the events that caused them.
func (f *fleet) applyActions(d driver, index int, events string, actions gjson.Result) (more bool) {
	more = true
	actions.ForEach(func(_, action gjson.Result) bool {
		action.ForEach(func(name, fields gjson.Result) bool {
			// Log lines are not decisions.
			more = name.Str == "log" || d.effect(events, action.Raw)
			if more {
				f.applyAction(index, name.Str, fields)
			}
			return more
		})
		return more
	})
	return more
}
