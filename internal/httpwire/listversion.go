package httpwire

// This file decides which endpoint lists are accepted and passes them on in the order of acceptance.
//
// A list is identified by the generation of the discovery address that sent it (SetAddress starts the next generation)
// and by its version within that generation. Versions of different generations are not comparable.
//
// Lists are ordered by generation, then by version. Within one generation the watch delivers lists in order, so a
// snapshot on the watch is newer than all lists before it, whatever its version: a discovery that has lost its count
// starts with a snapshot.
//
// A list is compared with the current generation and version as follows:
//
//	generation  version          list                     accepted
//	older       any              any                      no: a newer address has already sent a list
//	same        same or newer    any                      yes
//	same        older            snapshot on the watch    yes: discovery has restarted its versions
//	same        older            from the configuration   yes
//	same        older            any other                no: stale
//	newer       same or newer    any                      yes
//	newer       older            snapshot                 yes
//	newer       older            change                   yes, but changes may have been missed: the current version
//	                                                      becomes 0, so that the next watch requests a snapshot
//
// Until discovery has sent a list, the list from the configuration is used.

import (
	"errors"

	"github.com/sirupsen/logrus"
)

// Source is the origin of a list.
type Source uint8

// The origins of lists.
const (
	FromConfiguration Source = iota // known before this process started
	FromFetch                       // a requested snapshot: the watch may have delivered a newer list meanwhile
	FromWatch
)

// errVersionRestarted ends a watch after a change that was accepted although its version is older than the current one.
var errVersionRestarted = errors.New("list versions of the new discovery address are lower than the current version")

// listPosition is the position of a list in the order of lists.
type listPosition struct {
	generation int
	version    int64
}

// listDecision is the decision whether a list is accepted.
type listDecision uint8

const (
	listStale           listDecision = iota // ignored
	listAccepted                            // accepted
	listAcceptedRestart                     // accepted; the next watch must request a snapshot
)

// decide decides about a list from the address of the given generation.
func (current listPosition) decide(list endpointList, source Source, generation int) listDecision {
	older := list.version < current.version
	switch {
	case generation < current.generation:
		return listStale
	case generation > current.generation && older && !list.snapshot:
		return listAcceptedRestart
	case generation > current.generation || !older:
		return listAccepted
	}
	restartsVersions := list.snapshot && source == FromWatch
	if restartsVersions || source == FromConfiguration {
		return listAccepted
	}
	return listStale
}

// Apply parses one list and passes it on; a stale list is ignored. It calls onParsed once the list has been parsed. The
// error is that of the parser or errVersionRestarted. With an error of the parser, nothing is applied. Apply is safe
// for concurrent use.
func (d *Discovery) Apply(text []byte, source Source, onParsed func()) error {
	_, generation, _ := d.position()
	return d.apply(text, source, generation, onParsed)
}

// apply is Apply for a list from the address of the given generation.
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
		current, _ := d.Version()
		logrus.WithFields(logrus.Fields{"version": list.version, "held": current, "snapshot": list.snapshot}).
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

// store applies a list to the directory unless it is stale, and returns the addresses that it vacates.
func (d *Discovery) store(list endpointList, source Source, generation int) (decision listDecision, vacated []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision = d.current.decide(list, source, generation)
	if decision == listStale {
		return decision, nil
	}
	d.current = listPosition{generation, list.version}
	if decision == listAcceptedRestart {
		d.current.version = 0
	}
	return decision, d.directory.apply(list)
}

// closeFirstUpdate closes firstUpdate. applyOrder must be held.
func (d *Discovery) closeFirstUpdate() {
	select {
	case <-d.firstUpdate: // already closed
	default:
		close(d.firstUpdate)
	}
}
