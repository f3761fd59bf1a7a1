package httpwire

// This file says which endpoint lists are taken, and hands them on in the order in which they were.
//
// What identifies a list: the address of discovery that it came from, counted by generation (SetAddress starts the next one),
// and its version within that generation. Versions of two generations don't compare.
//
// What orders lists: the generation, then the version. In one generation the watch sends in order, so a snapshot on the watch is
// newer than all before it, whatever its version: a discovery that has lost its count begins with one.
//
// What is accepted, against what is held:
//
//	generation  version          list                     taken
//	older       any              any                      no: that address is left once the next one has sent something
//	same        same or newer    any                      yes
//	same        older            snapshot on the watch    yes: versions count anew from it
//	same        older            from the configuration   yes
//	same        older            any other                no: stale
//	newer       same or newer    any                      yes
//	newer       older            snapshot                 yes
//	newer       older            change                   yes, but what was left out between the two counts can't be known:
//	                                                      the version held becomes 0, so that the next watch asks for all
//
// Until discovery has sent a list, what the configuration holds is assumed.

import (
	"errors"

	"github.com/sirupsen/logrus"
)

// Source is how a list came.
type Source uint8

// The sources of lists.
const (
	FromConfiguration Source = iota // held since before this process started
	FromFetch                       // asked for by itself: it may have crossed with the watch
	FromWatch
)

// errVersionRestarted ends a watch after a change that was taken although its version is older than the one held.
var errVersionRestarted = errors.New("its versions count otherwise than those before")

// listPosition orders lists.
type listPosition struct {
	generation int
	version    int64
}

// listDecision says what is done with a list.
type listDecision uint8

const (
	listStale           listDecision = iota // ignored
	listAccepted                            // taken
	listAcceptedRestart                     // taken; the next watch has to ask for all
)

// decide says what is done with a list that came from a generation's address.
func (held listPosition) decide(list endpointList, source Source, generation int) listDecision {
	older := list.version < held.version
	switch {
	case generation < held.generation:
		return listStale
	case generation > held.generation && older && !list.snapshot:
		return listAcceptedRestart
	case generation > held.generation || !older:
		return listAccepted
	}
	restartsVersions := list.snapshot && source == FromWatch
	if restartsVersions || source == FromConfiguration {
		return listAccepted
	}
	return listStale
}

// Apply takes one list and hands it on, whole or not at all; a stale one is ignored. It calls readable once the list is seen to be
// one. An error says why it could not be read, or is errVersionRestarted. Any goroutine may call it.
func (d *Discovery) Apply(text []byte, source Source, onParsed func()) error {
	_, generation, _ := d.position()
	return d.apply(text, source, generation, onParsed)
}

// apply is Apply for a list from the address of a generation.
func (d *Discovery) apply(text []byte, source Source, generation int, onParsed func()) error {
	list, err := d.parser.parse(text)
	if err != nil {
		return err
	}
	d.applyOrder <- true
	defer func() { <-d.applyOrder }()
	onParsed()
	decision, vacated := d.store(list, source, generation)
	if decision == listStale {
		held, _ := d.Version()
		logrus.WithFields(logrus.Fields{"version": list.version, "held": held, "snapshot": list.snapshot}).
			Info("stale endpoint list ignored")
		return nil
	}
	for _, address := range vacated {
		d.onAddressVacated(address)
	}
	d.onUpdate(list.update(source))
	if source != FromConfiguration {
		d.closeFirstUpdate()
	}
	if decision == listAcceptedRestart {
		return errVersionRestarted
	}
	return nil
}

// store takes a list in, unless it is stale, and returns the addresses that it leaves.
func (d *Discovery) store(list endpointList, source Source, generation int) (decision listDecision, vacated []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision = d.held.decide(list, source, generation)
	if decision == listStale {
		return decision, nil
	}
	d.held = listPosition{generation, list.version}
	if decision == listAcceptedRestart {
		d.held.version = 0
	}
	return decision, d.directory.apply(list)
}

// closeFirstUpdate wakes those who wait until discovery has sent a list. applyOrder is held.
func (d *Discovery) closeFirstUpdate() {
	select {
	case <-d.firstUpdate: // closed before
	default:
		close(d.firstUpdate)
	}
}
