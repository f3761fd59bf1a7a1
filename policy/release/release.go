// Package release keeps one record for each release that an instance has heard of, and moves it by one state machine
// that never goes back. It answers what may be asked of a release (is it under a cap, is it closed, does it hold its keys) by
// that release's own record, never by the newest one's. It knows no backend, request, clock or wire.
//
// Updates come from several sources in any order: notices, answers to votes, the configuration. An update is identified by its
// release and ordered by phase, then stage; where both are the same the lower cap holds. What an update would move back is
// passed over, however late or fresh it looks: a delayed update's age says nothing, since the delay is not in it. Records are kept
// for good: one that is forgotten would open a withdrawn release.
package release

// ID identifies a release. A later release has a higher one.
type ID int

// Unknown is the release of a backend of which no source has told one. It may be any: it gets what the first stage may, binds keys as
// the latest release would, and serves only those that the oldest one may.
const Unknown ID = 1 << 30

// Phase is where a release stands.
type Phase uint8

const (
	RollingOut Phase = iota
	RollingBack
	Released
	Withdrawn
)

var phaseNames = [...]string{RollingOut: "on trial", RollingBack: "going back", Released: "released", Withdrawn: "withdrawn"}

func (p Phase) String() string { return phaseNames[p] }

// rank orders the phases: a release moves to a higher one only. A released one may still be sent back.
func (p Phase) rank() int {
	return [...]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}[p]
}

// Update is one telling of where a release stands.
type Update struct {
	Release ID
	Stage   int
	Phase   Phase
	Cap     float64 // share of the requests taken, 0 to 1
}

// Record is what is known of one release. Before its first update only its backends are known, and it stands in the first
// stage.
type Record struct {
	Update
	Announced bool
	// Superseded: a later release was announced before this one's end was told. It is taken off by then, or its end was missed.
	Superseded bool
}

// Change says what an update did.
type Change uint8

const (
	StaleUpdate Change = iota // it would have moved the release back
	NoChange
	Moved
)

// Book is the records of all releases.
type Book struct {
	records  map[ID]*Record
	newest   ID // announced; valid if announced is set
	known    bool
	oldest   ID // listed
	firstCap float64
}

// NewBook makes an empty book; a release of which nothing was told has the cap of the first stage.
func NewBook(firstCap float64) *Book {
	return &Book{records: map[ID]*Record{}, firstCap: firstCap}
}

// Newest is the newest announced release's record, and whether there is one.
func (b *Book) Newest() (Record, bool) {
	if !b.known {
		return Record{}, false
	}
	return *b.records[b.newest], true
}

// SetOldestListed tells the oldest release that is listed: as long as nothing is announced, that one is the fleet's.
func (b *Book) SetOldestListed(release ID) { b.oldest = release }

// ServesAs is the release by which it is judged which keys a backend may serve: its own, or the oldest where that is unknown.
func (b *Book) ServesAs(release ID) ID {
	if release == Unknown {
		return b.oldest
	}
	return release
}

// BindsAs is the release to which an answer of a backend binds its key: its own, or the latest that is known of.
func (b *Book) BindsAs(release ID) ID {
	if release != Unknown {
		return release
	}
	latest := b.oldest
	for r := range b.records {
		latest = max(latest, r)
	}
	return latest
}

// Record is what is known of a release.
func (b *Book) Record(release ID) Record {
	if r := b.records[release]; r != nil {
		return *r
	}
	first := Update{Release: release, Phase: RollingOut, Cap: b.firstCap}
	if b.before(release) {
		first.Phase, first.Cap = Released, 1
	}
	return Record{Update: first}
}

// before tells, of a release of which nothing was ever told, that the fleet ran it before the newest one came: it is what is
// being replaced.
func (b *Book) before(release ID) bool {
	return b.known && release < b.newest || !b.known && release <= b.oldest
}

// Apply takes an update and says what it did to its release's record.
func (b *Book) Apply(u Update) Change {
	r := b.records[u.Release]
	if r == nil || !r.Announced {
		b.announce(u)
		return Moved
	}
	change := r.move(u)
	if change == Moved && r.Superseded {
		r.supersede()
	}
	return change
}

// OnListed notes that a backend of a release is listed; it tells whether nothing was known of that release and something
// should have been, its news being still to come.
func (b *Book) OnListed(release ID) (early bool) {
	if release == Unknown || b.records[release] != nil || !b.known || release <= b.newest {
		return false
	}
	b.records[release] = &Record{Update: Update{Release: release, Phase: RollingOut, Cap: b.firstCap}}
	return true
}

// announce takes a release's first update. Whatever came before it and has not ended is superseded.
func (b *Book) announce(u Update) {
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
func (r *Record) move(u Update) Change {
	switch from, to := r.Phase.rank(), u.Phase.rank(); {
	case to < from, to == from && u.Phase == RollingOut && u.Stage < r.Stage:
		return StaleUpdate
	case to == from && (u.Phase != RollingOut || u.Stage == r.Stage):
		if u.Cap >= r.Cap {
			return NoChange
		}
		r.Cap = u.Cap
		return Moved
	}
	if u.Phase == RollingBack {
		u.Cap = min(u.Cap, r.Cap) // it only ever falls on the way back
	}
	if u.Phase == Withdrawn {
		u.Cap = 0
	}
	r.Update = u
	return Moved
}

// supersede ends what a later release's announcement ends. Nothing more is told of this one: where it was going back it is as
// good as withdrawn, and where it was on trial its last cap stays.
func (r *Record) supersede() {
	r.Superseded = r.Phase != Released && r.Phase != Withdrawn
	if r.Phase == RollingBack {
		r.Phase, r.Cap = Withdrawn, 0
	}
}

// MarkPrevailing tells that a superseded release runs on most of the backends of earlier releases: it was released, and that news
// missed, for one that is taken off never gets there.
func (b *Book) MarkPrevailing(release ID) {
	if r := b.records[release]; r != nil && r.Superseded && r.Phase == RollingOut {
		r.Phase, r.Cap, r.Superseded = Released, 1, false
	}
}

// Cap is the share of the requests taken that may go to a release, and whether that is limited at all.
func (b *Book) Cap(release ID) (limit float64, limited bool) {
	r := b.records[release]
	switch {
	case r != nil && r.Phase == Released, r == nil && b.before(release):
		return 1, false
	case r != nil:
		return r.Cap, true
	}
	return b.firstCap, true
}

// IsClosed tells that a release goes back or has gone: its answers bind no key.
func (b *Book) IsClosed(release ID) bool {
	p := b.Record(release).Phase
	return p == RollingBack || p == Withdrawn
}

// IsEvaluated tells that outcomes of a release are evidence: it is the newest one, or runs in the fleet without a limit.
func (b *Book) IsEvaluated(release ID) bool {
	return b.known && (release == b.newest || release < b.newest && b.Record(release).Phase == Released)
}

// Baseline is the newest release that is out without a limit, before the newest announced one; 0: none is known by name.
func (b *Book) Baseline() (base ID) {
	for release, r := range b.records {
		if release < b.newest && r.Phase == Released {
			base = max(base, release)
		}
	}
	return base
}
