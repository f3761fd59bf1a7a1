package httpwire

// This file knows which backend is at which address, and which addresses a list leaves: what is connected there leads to
// something else from then on, or to nothing.

import "onyxgate/policy"

// directory is who is where, as the lists taken so far tell it. It has no lock.
type directory struct {
	addressOf map[string]string   // by backend
	occupants map[string]occupant // by address
}

// occupant is the backend that runs at an address, and the time of its start: one that was started anew is another occupant.
type occupant struct {
	backend   string
	startedAt float64
}

func newDirectory() directory {
	return directory{addressOf: map[string]string{}, occupants: map[string]occupant{}}
}

// apply takes in one list and returns the addresses at which another occupant runs now, or none.
func (d *directory) apply(list endpointList) (vacated []string) {
	isVacated := map[string]bool{}
	before := d.occupants // a change edits these in place: what an earlier entry of it has removed is not there any more
	if list.snapshot {
		for address := range before {
			isVacated[address] = true // unless an entry says that its occupant is still there
		}
		*d = newDirectory()
	}
	for _, entry := range list.entries {
		d.vacate(entry, isVacated)
		if entry.State == policy.EndpointRemoved {
			continue
		}
		current := occupant{entry.ID, entry.StartedAt}
		if previous, occupied := before[entry.address]; occupied {
			isVacated[entry.address] = previous != current || isVacated[entry.address] && !list.snapshot
		}
		d.addressOf[entry.ID], d.occupants[entry.address] = entry.address, current
	}
	for address, vacate := range isVacated {
		if vacate {
			vacated = append(vacated, address)
		}
	}
	return vacated
}

// vacate takes a backend off the address at which it has been, where the entry says that it is elsewhere now or removed. The
// address stays with another backend that an earlier entry has put there.
func (d *directory) vacate(entry listEntry, isVacated map[string]bool) {
	removed := entry.State == policy.EndpointRemoved
	previous, listed := d.addressOf[entry.ID]
	leaves := removed || previous != entry.address
	if listed && leaves && d.occupants[previous].backend == entry.ID {
		isVacated[previous] = true
		delete(d.occupants, previous)
	}
	if removed {
		delete(d.addressOf, entry.ID)
	}
}
