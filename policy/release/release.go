// Package release keeps the state of each release that an instance has heard of.
//
// It owns one record for each release (Book) and the state machine that moves it, which never goes back. It answers what may be asked of a
// release (is it under a cap, is it closed) by that release's own record, never by the newest one's. It must never know a backend, a
// request, a clock or the wire. A Book is for one goroutine.
//
// Updates come from several sources in any order: notices, responses to votes, the configuration. An update is identified by its
// release and ordered by phase, then stage; where both are the same the lower cap holds. What an update would move back is
// ignored, however fresh it looks: an update's age says nothing of how long it was on its way. Records are kept for good: forgetting
// one would open a withdrawn release.
package release

// ID identifies a release. A later release has a higher one.
type ID int

// Unknown is the release of a backend for which no source has named one. It may be any. So the backend gets what the first stage may,
// its answers bind keys as the latest release's would, and it serves only keys that the oldest release may.
const Unknown ID = 1 << 30

// Phase is the phase that a release is in.
type Phase uint8

// Phases of a release.
const (
	RollingOut  Phase = iota // stage by stage, under a cap
	RollingBack              // its backends are replaced by those of the release before
	Released                 // without a cap
	Withdrawn                // no backend of it remains
)

var phaseNames = [...]string{RollingOut: "rolling out", RollingBack: "rolling back", Released: "released", Withdrawn: "withdrawn"}

// String is the phase for operators' eyes.
func (p Phase) String() string { return phaseNames[p] }

// rank orders the phases: a release moves to a higher one only. A released one may still be rolled back.
func (p Phase) rank() int {
	return [...]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}[p]
}

// Update is the state of a release as one source sends it.
type Update struct {
	Release ID
	Stage   int
	Phase   Phase
	Cap     float64 // share of the requests taken, 0 to 1
}

// Record is what is known of one release. Before its first update only its backends are known, and it counts as in the first stage.
type Record struct {
	Update
	Announced bool // an update has come
	// Superseded: a later release was announced before an update ended this one. It was withdrawn by then, or the update was missed.
	Superseded bool
}

// UpdateResult says what an update did.
type UpdateResult uint8

// What an update did.
const (
	StaleUpdate UpdateResult = iota // it would have moved the release back, and was ignored
	NoChange                        // the record says the same already
	Changed                         // the record has changed
)

// Registry is the records of all releases.
type Registry struct {
	records       map[ID]*Record
	newest        ID      // announced; valid if known is set
	hasNewest     bool    // a release was announced
	oldestListed  ID      // listed
	firstStageCap float64 // share of the requests taken, in the first stage
}

// NewRegistry is an empty book; a release without an update has the cap of the first stage, a share of the requests taken.
func NewRegistry(firstStageCap float64) *Registry {
	return &Registry{records: map[ID]*Record{}, firstStageCap: firstStageCap}
}

// Newest is the newest announced release's record, and whether there is one.
func (reg *Registry) Newest() (Record, bool) {
	if !reg.hasNewest {
		return Record{}, false
	}
	return *reg.records[reg.newest], true
}

// SetOldestListed notes the oldest release that is listed: as long as none is announced, that one counts as what the fleet runs.
func (reg *Registry) SetOldestListed(release ID) { reg.oldestListed = release }

// OldestIfUnknown is the release that decides which keys a backend may serve: its own, or the oldest listed one where that is unknown.
func (reg *Registry) OldestIfUnknown(release ID) ID {
	if release == Unknown {
		return reg.oldestListed
	}
	return release
}

// LatestIfUnknown is the release to which an answer of a backend binds its key: its own, or the latest known one where that is unknown.
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

// Record is a copy of what is known of a release.
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

// before says of a release without a record whether the fleet ran it before the newest one came: it is what is being replaced.
func (reg *Registry) predatesRollout(release ID) bool {
	return reg.hasNewest && release < reg.newest || !reg.hasNewest && release <= reg.oldestListed
}

// Apply takes an update and says what it did to its release's record.
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

// OnListed notes that a backend of a release is listed. early says that the release is later than the newest announced one and was not
// known before: its first update is still to come.
func (reg *Registry) OnListed(release ID) (early bool) {
	if release == Unknown || reg.records[release] != nil || !reg.hasNewest || release <= reg.newest {
		return false
	}
	reg.records[release] = &Record{Update: Update{Release: release, Phase: RollingOut, Cap: reg.firstStageCap}}
	return true
}

// announce takes a release's first update. It supersedes every earlier release that has not ended.
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

// move takes a later update of the same release.
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

// supersede takes the announcement of a later release. No more updates are to be expected on this one: where it was rolling back it counts
// as withdrawn, and where it was rolling out it keeps its last cap.
func (r *Record) supersede() {
	r.Superseded = r.Phase != Released && r.Phase != Withdrawn
	if r.Phase == RollingBack {
		r.Phase, r.Cap = Withdrawn, 0
	}
}

// InferReleased notes that a superseded release runs on most of the backends of earlier releases. So it was released and that update was
// missed: one that is rolled back never gets there.
func (reg *Registry) InferReleased(release ID) {
	if r := reg.records[release]; r != nil && r.Superseded && r.Phase == RollingOut {
		r.Phase, r.Cap, r.Superseded = Released, 1, false
	}
}

// Cap is the share of the requests taken that may go to a release, and whether that is limited at all.
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

// IsClosed says whether a release is rolling back or withdrawn: its answers bind no key.
func (reg *Registry) IsClosed(release ID) bool {
	p := reg.Record(release).Phase
	return p == RollingBack || p == Withdrawn
}

// IsEvaluated says whether outcomes of a release are evidence: it is the newest one, or an earlier one without a cap.
func (reg *Registry) IsEvaluated(release ID) bool {
	return reg.hasNewest && (release == reg.newest || release < reg.newest && reg.Record(release).Phase == Released)
}

// Baseline is the newest released release before the newest announced one; 0: none is known.
func (reg *Registry) Baseline() (base ID) {
	for release, r := range reg.records {
		if release < reg.newest && r.Phase == Released {
			base = max(base, release)
		}
	}
	return base
}
