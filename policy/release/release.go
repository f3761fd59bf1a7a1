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
	records  map[ID]*Record
	newest   ID      // announced; valid if known is set
	known    bool    // a release was announced
	oldest   ID      // listed
	firstCap float64 // share of the requests taken, in the first stage
}

// NewRegistry is an empty book; a release without an update has the cap of the first stage, a share of the requests taken.
func NewRegistry(firstCap float64) *Registry {
	return &Registry{records: map[ID]*Record{}, firstCap: firstCap}
}

// Newest is the newest announced release's record, and whether there is one.
func (b *Registry) Newest() (Record, bool) {
	if !b.known {
		return Record{}, false
	}
	return *b.records[b.newest], true
}

// SetOldestListed notes the oldest release that is listed: as long as none is announced, that one counts as what the fleet runs.
func (b *Registry) SetOldestListed(release ID) { b.oldest = release }

// OldestIfUnknown is the release that decides which keys a backend may serve: its own, or the oldest listed one where that is unknown.
func (b *Registry) OldestIfUnknown(release ID) ID {
	if release == Unknown {
		return b.oldest
	}
	return release
}

// LatestIfUnknown is the release to which an answer of a backend binds its key: its own, or the latest known one where that is unknown.
func (b *Registry) LatestIfUnknown(release ID) ID {
	if release != Unknown {
		return release
	}
	latest := b.oldest
	for r := range b.records {
		latest = max(latest, r)
	}
	return latest
}

// Record is a copy of what is known of a release.
func (b *Registry) Record(release ID) Record {
	if r := b.records[release]; r != nil {
		return *r
	}
	first := Update{Release: release, Phase: RollingOut, Cap: b.firstCap}
	if b.before(release) {
		first.Phase, first.Cap = Released, 1
	}
	return Record{Update: first}
}

// before says of a release without a record whether the fleet ran it before the newest one came: it is what is being replaced.
func (b *Registry) before(release ID) bool {
	return b.known && release < b.newest || !b.known && release <= b.oldest
}

// Apply takes an update and says what it did to its release's record.
func (b *Registry) Apply(u Update) UpdateResult {
	r := b.records[u.Release]
	if r == nil || !r.Announced {
		b.announce(u)
		return Changed
	}
	change := r.move(u)
	if change == Changed && r.Superseded {
		r.supersede()
	}
	return change
}

// OnListed notes that a backend of a release is listed. early says that the release is later than the newest announced one and was not
// known before: its first update is still to come.
func (b *Registry) OnListed(release ID) (early bool) {
	if release == Unknown || b.records[release] != nil || !b.known || release <= b.newest {
		return false
	}
	b.records[release] = &Record{Update: Update{Release: release, Phase: RollingOut, Cap: b.firstCap}}
	return true
}

// announce takes a release's first update. It supersedes every earlier release that has not ended.
func (b *Registry) announce(u Update) {
	r := &Record{Update: u, Announced: true}
	if u.Phase == Withdrawn {
		r.Cap = 0
	}
	b.records[u.Release] = r
	if b.known && u.Release < b.newest {
		r.supersede()
		return
	}
	b.newest, b.known = u.Release, true
	for release, earlier := range b.records {
		if release < u.Release {
			earlier.supersede()
		}
	}
}

// move takes a later update of the same release.
func (r *Record) move(u Update) UpdateResult {
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
func (b *Registry) InferReleased(release ID) {
	if r := b.records[release]; r != nil && r.Superseded && r.Phase == RollingOut {
		r.Phase, r.Cap, r.Superseded = Released, 1, false
	}
}

// Cap is the share of the requests taken that may go to a release, and whether that is limited at all.
func (b *Registry) Cap(release ID) (limit float64, limited bool) {
	r := b.records[release]
	switch {
	case r != nil && r.Phase == Released, r == nil && b.before(release):
		return 1, false
	case r != nil:
		return r.Cap, true
	}
	return b.firstCap, true
}

// IsClosed says whether a release is rolling back or withdrawn: its answers bind no key.
func (b *Registry) IsClosed(release ID) bool {
	p := b.Record(release).Phase
	return p == RollingBack || p == Withdrawn
}

// IsEvaluated says whether outcomes of a release are evidence: it is the newest one, or an earlier one without a cap.
func (b *Registry) IsEvaluated(release ID) bool {
	return b.known && (release == b.newest || release < b.newest && b.Record(release).Phase == Released)
}

// Baseline is the newest released release before the newest announced one; 0: none is known.
func (b *Registry) Baseline() (base ID) {
	for release, r := range b.records {
		if release < b.newest && r.Phase == Released {
			base = max(base, release)
		}
	}
	return base
}
