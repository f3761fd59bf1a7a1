package httpwire

// Endpoint lists are the snapshots and changes from discovery, and the list in the configuration. A list is accepted or
// rejected as a whole. A state that the protocol does not define indicates corruption, and the list is rejected.

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
	maxListNumber = 1e15 // of a release or a start time; larger numbers indicate corruption
)

var (
	errMalformedList  = errors.New("endpoint list: malformed JSON or UTF-8")
	errIncompleteList = errors.New("endpoint list: version, full or servers missing or of the wrong type")
	errMalformedEntry = errors.New("endpoint list: entry without id or known state")
	errInvalidEntry   = errors.New("endpoint list: entry with invalid addr, version_no or started_ms")
)

// endpointStates maps the protocol's names of states.
var endpointStates = map[string]policy.EndpointState{
	"Ready":       policy.EndpointRunning,
	"Terminating": policy.EndpointDraining,
	"Gone":        policy.EndpointRemoved,
}

// endpointList is a parsed endpoint list.
type endpointList struct {
	version  int64
	snapshot bool // replaces the current list; otherwise changes it
	entries  []listEntry
}

// listEntry is one backend in an endpoint list.
type listEntry struct {
	policy.Endpoint
	address string // not validated for a removed backend
}

// update converts the list to an update for the core. addresses holds the address of each of the update's endpoints.
func (l endpointList) update(source Source) (update policy.EndpointUpdate, addresses []string) {
	update = policy.EndpointUpdate{Snapshot: l.snapshot, Cached: source == FromConfiguration}
	for _, entry := range l.entries {
		update.Endpoints = append(update.Endpoints, entry.Endpoint)
		addresses = append(addresses, entry.address)
	}
	return update, addresses
}

// listParser parses endpoint lists. Zones and hardware classes are identified by their index in these slices; unknown
// ones count as the first.
type listParser struct {
	zones           []string
	hardwareClasses []string
}

// parse parses one list. The error wraps errMalformedList, errIncompleteList, errMalformedEntry or errInvalidEntry.
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

// parseEntry parses one entry. For a removed backend only the id is required.
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
