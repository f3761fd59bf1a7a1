// Package release tracks the state of every release that an instance has learned of.
//
// A Registry keeps one record per release, a state machine that only ever moves forward. Whether a release is under a
// cap or closed is always answered from its own record, never from the record of the newest release. The package must
// not depend on backends, requests, a clock or the wire protocol. A Registry is not safe for concurrent use.
//
// Updates arrive in any order from several sources: notices, vote responses and the configuration. Updates of one
// release are ordered by phase and, while it is rolling out, by stage; if these are equal, the lower cap wins. An
// update that would move a release back is ignored, however recent it claims to be: the reported age does not include
// the time that the update spent in transit. Records are never deleted, because losing the record of a withdrawn
// release would reopen it.
package release

// ID identifies a release. Later releases have higher IDs.
type ID int

// Unknown is the release of a backend whose release no source has reported. It could be any release, so the strictest
// rules apply: the backend may only get the traffic of a release in its first stage, a key that it has answered counts
// as answered by the latest release, and it may only serve keys that the oldest release may serve.
const Unknown ID = 1 << 30

// Phase is a step in the life cycle of a release.
type Phase uint8

// The phases of a release.
const (
	RollingOut  Phase = iota // advancing stage by stage, under a cap
	RollingBack              // its backends are being replaced by backends of the previous release
	Released                 // without a cap
	Withdrawn                // no backend runs it any more
)

var phaseNames = [...]string{RollingOut: "rolling out", RollingBack: "rolling back", Released: "released", Withdrawn: "withdrawn"}

// String returns the name of the phase for logs.
func (p Phase) String() string { return phaseNames[p] }

// rank orders the phases: a release only moves to a phase of higher rank. RollingBack ranks above Released because a
// released release can still be rolled back.
func (p Phase) rank() int {
	return [...]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}[p]
}

// Update is the state of a release as reported by one source.
type Update struct {
	Release ID
	Stage   int
	Phase   Phase
	Cap     float64 // maximum share of the accepted requests, from 0 to 1
}

// Record is the known state of one release. A release without an update, of which only backends are known, is treated
// as being in its first stage, unless the fleet ran it before the newest release.
type Record struct {
	Update
	Announced bool // an update has been received
	// Superseded is set if a later release was announced before an update reported this one as released or withdrawn.
	// Either it was withdrawn by then, or its last update was missed.
	Superseded bool
}

// UpdateResult is the effect of an update on the record of its release.
type UpdateResult uint8

// The results of an update.
const (
	StaleUpdate UpdateResult = iota // ignored, as it would have moved the release back
	NoChange                        // the record already holds this state
	Changed                         // the record has changed
)

// Registry holds the records of all releases.
type Registry struct {
	records       map[ID]*Record
	newest        ID      // highest announced release; valid if hasNewest
	hasNewest     bool    // at least one release has been announced
	oldestListed  ID      // oldest release in the endpoint list
	firstStageCap float64 // cap of the first stage
}

// NewRegistry returns an empty Registry. firstStageCap is the cap of a release that has no update yet and counts as
// being in its first stage.
func NewRegistry(firstStageCap float64) *Registry {
	return &Registry{records: map[ID]*Record{}, firstStageCap: firstStageCap}
}

// Newest returns the record of the newest announced release, and whether any release has been announced.
func (reg *Registry) Newest() (Record, bool) {
	if !reg.hasNewest {
		return Record{}, false
	}
	return *reg.records[reg.newest], true
}

// SetOldestListed sets the oldest release in the endpoint list. Until a release is announced, it is taken to be the
// release that the fleet runs.
func (reg *Registry) SetOldestListed(release ID) { reg.oldestListed = release }

// OldestIfUnknown returns the release that determines which keys a backend may serve: the given release, or the
// oldest listed one if it is Unknown.
func (reg *Registry) OldestIfUnknown(release ID) ID {
	if release == Unknown {
		return reg.oldestListed
	}
	return release
}

// LatestIfUnknown returns the release that counts as having answered a key after a backend has answered it: the given
// release, or the latest known one if it is Unknown.
func (reg *Registry) LatestIfUnknown(release ID) ID {
	if release != Unknown {
		return release
	}
	latest := reg.oldestListed
	for r := range reg.records {
		latest = max(latest, r)
	}
	return latest
}

// Record returns a copy of the record of a release. A release without a record counts as released if it predates the
// rollout, and otherwise as being in its first stage.
func (reg *Registry) Record(release ID) Record {
	if r := reg.records[release]; r != nil {
		return *r
	}
	first := Update{Release: release, Phase: RollingOut, Cap: reg.firstStageCap}
	if reg.predatesRollout(release) {
		first.Phase, first.Cap = Released, 1
	}
	return Record{Update: first}
}

// predatesRollout reports whether a release without a record counts as having run in the fleet before the rollout: it
// is earlier than the newest release or, before any is announced, not later than the oldest listed one.
func (reg *Registry) predatesRollout(release ID) bool {
	return reg.hasNewest && release < reg.newest || !reg.hasNewest && release <= reg.oldestListed
}

// Apply applies an update to the record of its release.
func (reg *Registry) Apply(u Update) UpdateResult {
	r := reg.records[u.Release]
	if r == nil || !r.Announced {
		reg.applyFirst(u)
		return Changed
	}
	change := r.apply(u)
	if change == Changed && r.Superseded {
		r.supersede()
	}
	return change
}

// OnListed handles a release that a listed backend runs. If the release is later than the newest announced one and has
// no record, its first update is still to come: OnListed adds a record in the first stage and returns true.
func (reg *Registry) OnListed(release ID) (early bool) {
	if release == Unknown || reg.records[release] != nil || !reg.hasNewest || release <= reg.newest {
		return false
	}
	reg.records[release] = &Record{Update: Update{Release: release, Phase: RollingOut, Cap: reg.firstStageCap}}
	return true
}

// applyFirst applies the first update of a release. A release that is later than all announced ones becomes the newest
// and supersedes the earlier ones that have not ended. Otherwise the release itself is superseded.
func (reg *Registry) applyFirst(u Update) {
	r := &Record{Update: u, Announced: true}
	if u.Phase == Withdrawn {
		r.Cap = 0
	}
	reg.records[u.Release] = r
	if reg.hasNewest && u.Release < reg.newest {
		r.supersede()
		return
	}
	reg.newest, reg.hasNewest = u.Release, true
	for release, earlier := range reg.records {
		if release < u.Release {
			earlier.supersede()
		}
	}
}

// apply applies a further update of the release.
func (r *Record) apply(u Update) UpdateResult {
	switch from, to := r.Phase.rank(), u.Phase.rank(); {
	case to < from, to == from && u.Phase == RollingOut && u.Stage < r.Stage:
		return StaleUpdate
	case to == from && (u.Phase != RollingOut || u.Stage == r.Stage):
		if u.Cap >= r.Cap {
			return NoChange
		}
		r.Cap = u.Cap
		return Changed
	}
	if u.Phase == RollingBack {
		u.Cap = min(u.Cap, r.Cap) // a cap never rises during a rollback
	}
	if u.Phase == Withdrawn {
		u.Cap = 0
	}
	r.Update = u
	return Changed
}

// supersede marks the release as superseded by the announcement of a later one. No more updates are expected for it:
// if it was rolling back it now counts as withdrawn, and if it was rolling out it keeps its last cap.
func (r *Record) supersede() {
	r.Superseded = r.Phase != Released && r.Phase != Withdrawn
	if r.Phase == RollingBack {
		r.Phase, r.Cap = Withdrawn, 0
	}
}

// InferReleased marks a superseded release as released. It is called for a release that runs on most of those backends
// whose release is earlier than the newest. It must have been released and the update missed, because a release that
// is rolled back never gets that far.
func (reg *Registry) InferReleased(release ID) {
	if r := reg.records[release]; r != nil && r.Superseded && r.Phase == RollingOut {
		r.Phase, r.Cap, r.Superseded = Released, 1, false
	}
}

// Cap returns the share of the accepted requests that may go to a release, and whether its share is limited at all.
func (reg *Registry) Cap(release ID) (limit float64, limited bool) {
	r := reg.records[release]
	switch {
	case r != nil && r.Phase == Released, r == nil && reg.predatesRollout(release):
		return 1, false
	case r != nil:
		return r.Cap, true
	}
	return reg.firstStageCap, true
}

// IsClosed reports whether a release is rolling back or withdrawn. Answers of a closed release do not restrict which
// releases may serve a key.
func (reg *Registry) IsClosed(release ID) bool {
	p := reg.Record(release).Phase
	return p == RollingBack || p == Withdrawn
}

// IsEvaluated reports whether outcomes of a release are used as evidence: it is the newest announced release, or an
// earlier one without a cap.
func (reg *Registry) IsEvaluated(release ID) bool {
	return reg.hasNewest && (release == reg.newest || release < reg.newest && reg.Record(release).Phase == Released)
}

// Baseline returns the latest release that is earlier than the newest announced one and is known to be released, or 0
// if there is none.
func (reg *Registry) Baseline() (base ID) {
	for release, r := range reg.records {
		if release < reg.newest && r.Phase == Released {
			base = max(base, release)
		}
	}
	return base
}
