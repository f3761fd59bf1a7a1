package simadapter

import "maps"

// This file injects faults, starts instances and sends the platform's periodic updates.

// injectFault starts one random fault, which ends by itself, and schedules the next one.
func (f *fleet) injectFault() {
	f.schedule(f.randomTime(f.faultEvery*second), f.injectFault)
	b := f.backends[f.rng.IntN(len(f.backends))]
	length := second + f.randomTime(4*second)
	switch f.rng.IntN(9) {
	case 0:
		b.slowdown = 6
		f.schedule(length, func() { b.slowdown = 1 })
	case 1:
		b.errors = 0.5
		f.schedule(length, func() { b.errors = 0 })
	case 2:
		b.hanging = true
		f.schedule(length, func() { b.hanging = false })
	case 3:
		f.restartBackend(b, length)
	case 4:
		f.arrivalFactor = 3
		f.schedule(length, func() { f.arrivalFactor = 1 })
	case 5:
		f.stopDiscovery(length)
	case 6:
		f.partitionZone(length)
	case 7:
		f.killInstance()
	case 8: // everything pauses, so timers fire late
		f.now += 300 * millisecond
	}
}

// restartBackend makes a backend unreachable and then restarts it, unless it is removed in the meantime.
func (f *fleet) restartBackend(b *fleetBackend, length int64) {
	b.unreachable = true
	f.schedule(length, func() {
		b.unreachable, b.startedAt = b.condition == conditionRemoved, f.now
		f.announceBackend(b)
	})
}

func (f *fleet) stopDiscovery(length int64) {
	f.discovery.down = true
	f.schedule(length, func() {
		f.discovery.down = false
		for k := range f.instances {
			f.sendEndpoints(listSnapshot, k, f.listedBackends()...)
		}
	})
	for k, in := range f.instances {
		if in.subscribed {
			in.subscribed = !f.onSubscription()
			f.sendEndpointsFailed(k)
		}
	}
}

// partitionZone makes a zone unreachable if there is more than one.
func (f *fleet) partitionZone(length int64) {
	zone := f.randomZone()
	for _, b := range f.backends {
		if b.zone == zone && f.zones > 1 {
			b.unreachable = true
			f.schedule(length/2, func() { b.unreachable = b.condition == conditionRemoved })
		}
	}
}

// killInstance kills an instance, which restarts at once.
func (f *fleet) killInstance() {
	index := f.rng.IntN(len(f.instances))
	f.instances[index].pending = nil
	f.send(index, "killed", map[string]any{})
	f.instances[index].running = false
	f.startInstance(index)
}

func (f *fleet) startInstance(index int) {
	in := f.instances[index]
	in.running, in.requests, in.subscribed, in.vote = true, map[string]*fleetRequest{}, !f.onSubscription(), voteNone
	settings := map[string]any{"me": index, "zone": index % max(f.zones, 1)}
	maps.Copy(settings, f.settings)
	f.send(index, "init", map[string]any{"prng": in.seed, "profile-data": settings})
	in.seed++
	f.sendEndpoints(listCached, index, f.listedBackends()...)
	f.schedule(50*millisecond, func() { f.sendRelease(index, 0, voteCounted) })
}

// periodicUpdates sends the state of the newest release and the platform's counts.
func (f *fleet) periodicUpdates() {
	f.schedule(4*second, f.periodicUpdates)
	f.sendReleaseToAll()
	for k := range f.instances {
		f.send(k, "counts-by-build", map[string]any{
			"ver": f.rollout.release, "kind": 0, "many": 100, "bad": 3, "took-us": 21500, "old-us": 1250000,
		})
	}
}
