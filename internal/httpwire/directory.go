package httpwire

// The directory maps backends to addresses and finds the addresses that a list vacates: connections to them lead to
// another process from then on, or to none.

import "onyxgate/policy"

// directory maps backends to addresses and back, according to the lists applied so far. It is not safe for concurrent
// use.
type directory struct {
	addressOf map[string]string   // by backend
	occupants map[string]occupant // by address
}

// occupant is the backend at an address with its start time: a restarted backend is a different occupant.
type occupant struct {
	backend   string
	startedAt float64
}

func newDirectory() directory {
	return directory{addressOf: map[string]string{}, occupants: map[string]occupant{}}
}

// apply applies one list and returns the addresses at which no backend runs any more, or another occupant than before.
func (d *directory) apply(list endpointList) (vacated []string) {
	isVacated := map[string]bool{}
	before := d.occupants // a change modifies this map: occupants removed by its earlier entries are missing
	if list.snapshot {
		for address := range before {
			isVacated[address] = true // unless an entry confirms its occupant
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
	for address, gone := range isVacated {
		if gone {
			vacated = append(vacated, address)
		}
	}
	return vacated
}

// vacate removes a backend from its previous address if the entry has a new address for it or marks it as removed. The
// address is not vacated if an earlier entry of the list has assigned it to another backend.
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
