package httpwire

// This file parses endpoint lists: snapshots and changes, as discovery sends them and the configuration holds them. A list is
// read whole or not at all; a word that the protocol does not know is noise, and the list with it.

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

const (
	defaultWeight = 1.0
	maxListNumber = 1e15 // of a release or a start time; a larger one is noise
)

var (
	errMalformedList  = errors.New("a list that can't be read")
	errIncompleteList = errors.New("a list without version, kind or entries")
	errMalformedEntry = errors.New("an entry that can't be read")
	errInvalidEntry   = errors.New("an entry that can't be used")
)

// endpointStates are the protocol's words.
var endpointStates = map[string]policy.EndpointState{
	"Ready":       policy.EndpointRunning,
	"Terminating": policy.EndpointDraining,
	"Gone":        policy.EndpointRemoved,
}

// endpointList is one list that could be read.
type endpointList struct {
	version  int64
	snapshot bool // it replaces the list held; else it changes it
	entries  []listEntry
}

// listEntry is one backend of a list.
type listEntry struct {
	policy.Endpoint
	address string // of a removed one anything
}

// update is the list as the decisions take it, and the address of each of its endpoints.
func (l endpointList) update(source Source) (update policy.EndpointUpdate, addresses []string) {
	update = policy.EndpointUpdate{Snapshot: l.snapshot, Cached: source == FromConfiguration}
	for _, entry := range l.entries {
		update.Endpoints = append(update.Endpoints, entry.Endpoint)
		addresses = append(addresses, entry.address)
	}
	return update, addresses
}

// listParser parses endpoint lists. The decisions know zones and hardware classes by their index in these; an unknown one counts
// as the first.
type listParser struct {
	zones           []string
	hardwareClasses []string
}

// parse reads one list. An error is errMalformedList, errIncompleteList, errMalformedEntry or errInvalidEntry.
func (p listParser) parse(text []byte) (endpointList, error) {
	if !gjson.ValidBytes(text) || !utf8.Valid(text) {
		return endpointList{}, errMalformedList
	}
	document := gjson.ParseBytes(text)
	version, snapshot, entries := document.Get("version"), document.Get("full"), document.Get("servers")
	if version.Type != gjson.Number || !snapshot.IsBool() || !entries.IsArray() {
		return endpointList{}, errIncompleteList
	}
	list := endpointList{version: version.Int(), snapshot: snapshot.Bool()}
	for _, e := range entries.Array() {
		entry, err := p.parseEntry(e)
		if err != nil {
			return endpointList{}, err
		}
		list.entries = append(list.entries, entry)
	}
	return list, nil
}

// parseEntry reads one entry. Of a removed backend the id is all that counts.
func (p listParser) parseEntry(e gjson.Result) (listEntry, error) {
	id, release, startedAt := e.Get("id"), e.Get("version_no"), e.Get("started_ms")
	address := e.Get("addr").Str
	state, known := endpointStates[e.Get("state").Str]
	if id.Type != gjson.String || id.Str == "" || !known {
		return listEntry{}, fmt.Errorf("%w: %.99q", errMalformedEntry, e.Raw)
	}
	_, _, err := net.SplitHostPort(address)
	startKnown := !startedAt.Exists() || isListNumber(startedAt)
	usable := err == nil && isListNumber(release) && startKnown
	if state != policy.EndpointRemoved && !usable {
		return listEntry{}, fmt.Errorf("%w: %.99q", errInvalidEntry, e.Raw)
	}
	weight := defaultWeight
	if w := e.Get("weight"); w.Type == gjson.Number {
		weight = w.Num
	}
	return listEntry{
		Endpoint: policy.Endpoint{
			ID:            id.Str,
			Release:       policy.ReleaseID(release.Int()),
			State:         state,
			Weight:        weight,
			StartedAt:     startedAt.Num,
			Zone:          max(slices.Index(p.zones, e.Get("zone").Str), 0),
			HardwareClass: max(slices.Index(p.hardwareClasses, e.Get("kind").Str), 0),
			Cell:          int(e.Get("cell").Int()),
		},
		address: address,
	}, nil
}

func isListNumber(v gjson.Result) bool {
	return v.Type == gjson.Number && v.Num >= 0 && v.Num < maxListNumber
}
