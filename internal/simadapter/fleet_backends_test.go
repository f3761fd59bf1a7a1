package simadapter

import (
	"fmt"
	"math"
	"slices"
)

// This file implements the fleet's backends and the discovery service that lists them.

const (
	workersPerBackend = 4 // requests that a backend processes in parallel
	listSlots         = 16
	drainTime         = 2 * second
	connectTimeout    = 250 * millisecond
	maxQueueing       = 800 * millisecond
	warmUpTime        = 5 * second // for this long after its start a backend is twice as slow
)

// Conditions of a backend in the protocol.
const (
	conditionRunning  = "on"
	conditionDraining = "fading"
	conditionRemoved  = "off"
)

// Forms of an endpoint list in the protocol.
const (
	listChange   = "D"
	listSnapshot = "F"
	listCached   = "C"
	listFailed   = "X"
)

// defect is the effect of a release on the backends that run it.
type defect struct {
	slowdown float64 // multiple of the usual latency; below 1: none
	errors   float64 // share of the attempts that fail
}

type fleetBackend struct {
	id                        string
	release                   int
	condition                 string
	weight                    float64
	startedAt                 int64 // 0: started long ago
	zone, hardwareClass, cell int
	slowdown                  float64 // multiple of the usual latency
	errors                    float64 // share of the attempts that fail
	unreachable, hanging      bool
	busyUntil                 [workersPerBackend]int64
	defect                    defect // of the release
}

func (b *fleetBackend) isRunning(release int) bool {
	return b.release == release && b.condition == conditionRunning
}

// fleetDiscovery is the service that sends the endpoint list to the instances.
type fleetDiscovery struct {
	down         bool
	serial, slot int // of the latest list
}

func (f *fleet) addBackend(release, zone int, startedAt int64) *fleetBackend {
	f.lastID++
	b := &fleetBackend{
		id: fmt.Sprintf("10.0.%d.%d:80", f.lastID/250, f.lastID%250), release: release, condition: conditionRunning,
		weight: []float64{1, 1, 1.5}[f.rng.IntN(3)], startedAt: startedAt, zone: zone, hardwareClass: f.rng.IntN(2),
		cell: f.lastID % 3, slowdown: 1,
	}
	if release == f.rollout.release {
		b.defect = f.rollout.defect
	}
	f.backends = append(f.backends, b)
	f.byID[b.id] = b
	return b
}

// endpoint encodes a backend for an endpoint list.
func endpoint(b *fleetBackend) map[string]any {
	var startedAt any
	if b.startedAt > 0 {
		startedAt = b.startedAt
	}
	return map[string]any{
		"ver": b.release, "condition": b.condition, "rating": b.weight, "boot-time-us": startedAt, "site": b.zone,
		"appliance": b.id, "machine": b.hardwareClass, "stripe": b.cell,
	}
}

func (f *fleet) sendEndpoints(form string, to int, backends ...*fleetBackend) {
	items := []map[string]any{}
	for _, b := range backends {
		items = append(items, endpoint(b))
	}
	d := &f.discovery
	d.serial++
	d.slot = (d.slot + 1) % listSlots
	f.send(to, "pool", map[string]any{"slot": d.slot, "items": items})
	f.send(to, "backends-changed", map[string]any{"serial": d.serial, "form": form, "slot": d.slot})
}

func (f *fleet) sendEndpointsFailed(to int) {
	f.send(to, "backends-changed", map[string]any{"serial": f.discovery.serial, "form": listFailed, "slot": 0})
}

func (f *fleet) listedBackends() (backends []*fleetBackend) {
	for _, b := range f.backends {
		if b.condition != conditionRemoved {
			backends = append(backends, b)
		}
	}
	return backends
}

// announceBackend sends a change of one backend to every instance that receives changes at that time, each after its
// own random delay.
func (f *fleet) announceBackend(b *fleetBackend) {
	for k, in := range f.instances {
		f.schedule(f.randomTime(200*millisecond), func() {
			watches := in.subscribed || !f.onSubscription()
			if !f.discovery.down && watches {
				f.sendEndpoints(listChange, k, b)
			}
		})
	}
}

func (f *fleet) drain(b *fleetBackend) {
	b.condition = conditionDraining
	f.announceBackend(b)
	f.schedule(drainTime, func() {
		b.condition, b.unreachable = conditionRemoved, true
		f.announceBackend(b)
		f.backends = slices.DeleteFunc(f.backends, func(x *fleetBackend) bool { return x == b })
	})
}

// loadReport returns a backend's load report. One in three reports is empty.
func (f *fleet) loadReport(b *fleetBackend) map[string]any {
	fields := map[string]any{}
	if f.rng.IntN(3) > 0 {
		busy := 0
		for _, until := range b.busyUntil {
			if until > f.now {
				busy++
			}
		}
		fields["q"] = f.rng.IntN(busy + 1)
		fields["busy"] = float64(busy) / workersPerBackend
	}
	return fields
}

// runAttempt returns the outcome of an attempt at a backend and how long it takes (us).
func (f *fleet) runAttempt(b *fleetBackend, class int) (outcome int, took int64) {
	switch {
	case b.unreachable && f.rng.IntN(2) == 0:
		return outcomeConnectFailed, connectTimeout
	case b.unreachable:
		return outcomeConnectFailed, 400
	case b.hanging:
		return outcomeTimedOut, 60 * second
	case f.rng.Float64() < b.errors+b.defect.errors:
		failures := []int{outcomeErrored, outcomeErrored, outcomeReset, outcomeRejected}
		return failures[f.rng.IntN(len(failures))], 2 * millisecond
	}
	worker := 0 // index of the worker that becomes free first
	for k, until := range b.busyUntil {
		if until < b.busyUntil[worker] {
			worker = k
		}
	}
	start := max(f.now, b.busyUntil[worker])
	if start > f.now+maxQueueing {
		return outcomeRejected, millisecond
	}
	end := start + f.workTime(b, class)
	b.busyUntil[worker] = end
	return outcomeServed, end - f.now
}

// workTime returns a random processing time (us) of a request of the given class.
func (f *fleet) workTime(b *fleetBackend, class int) int64 {
	mean := float64([]int64{30, 60, 120}[class%3]*millisecond) * b.slowdown * max(b.defect.slowdown, 1) / b.weight
	if f.rollout.phase == phaseRollingOut {
		mean *= f.rollout.sharedSlowdown
	}
	took := int64(mean * math.Exp(0.5*f.rng.NormFloat64()))
	if b.startedAt > 0 && f.now < b.startedAt+warmUpTime {
		took *= 2
	}
	return took
}
