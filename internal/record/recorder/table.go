package recorder

// This file owns the tables [record] and [record.store] of our settings: their fields, what holds unless they say
// otherwise, and which of them contradict each other.

import (
	"fmt"
	"os"
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

// Table is [record].
type Table struct {
	Mode       string     `toml:"mode" comment:"off; spool: durable before the answer; memory: no disk, gives up what a kill takes"`
	Directory  string     `toml:"directory" comment:"of the spool; every agent has its own under it"`
	Sync       string     `toml:"sync" comment:"group: synced before the answer; none: survives a kill, not a loss of power"`
	Group      units.Span `toml:"group_wait" comment:"an entry waits so long for others to be synced with"`
	GroupBytes units.Size `toml:"group_bytes"`
	Segment    units.Size `toml:"segment"`
	Budget     units.Size `toml:"budget" comment:"of the spool on disk, or in memory"`
	Room       units.Size `toml:"room" comment:"of entries that wait in memory for the disk"`
	Patience   units.Span `toml:"patience" comment:"an answer waits so long for its sync"`
	Reserve    units.Span `toml:"reserve" comment:"kept back of each client's time for it"`
	Stall      units.Span `toml:"stall" comment:"a write that takes longer means that the disk stands still"`
	WhenFull   string     `toml:"when_full" comment:"keep-serving: a gap says what is missing; decline: new txns are declined"`
	Store      StoreTable `toml:"store"`
}

// StoreTable is [record.store].
type StoreTable struct {
	Kind         string     `toml:"kind" comment:"sqlite, postgres, or none: the spool waits for 'onyxgate record ship'"`
	Path         string     `toml:"path" comment:"of sqlite's file"`
	Address      string     `toml:"address" comment:"of the PostgreSQL server, host:port"`
	Database     string     `toml:"database"`
	User         string     `toml:"user"`
	PasswordFile string     `toml:"password_file" comment:"read anew at each connection"`
	TLS          string     `toml:"tls" comment:"disable, require, verify-ca, verify-full"`
	CA           string     `toml:"tls_ca"`
	Batch        int        `toml:"batch" comment:"rows at once, at most"`
	Every        units.Span `toml:"every" comment:"rows wait so long for a whole batch"`
	Timeout      units.Span `toml:"timeout" comment:"of a batch"`
	Bytes        units.Size `toml:"bytes_a_second"`
}

// Default is what holds where nothing is said.
func Default() Table {
	return Table{
		Mode: "off", Sync: "group", Group: 0, GroupBytes: 256 << 10, Segment: 4 << 20,
		Budget: 256 << 20, Room: 2 << 20, Patience: units.Span(250 * time.Millisecond),
		Reserve: units.Span(40 * time.Millisecond), Stall: units.Span(200 * time.Millisecond), WhenFull: "keep-serving",
		Store: StoreTable{
			Kind: "none", TLS: "verify-full", Batch: 500, Every: units.Span(200 * time.Millisecond),
			Timeout: units.Span(5 * time.Second), Bytes: 4 << 20,
		},
	}
}

// On tells whether anything is recorded.
func (t Table) On() bool { return t.Mode != "off" }

// Check calls wrong for each field that can't be or that contradicts another: its key, its value, what it is and what
// would be right.
func (t Table) Check(wrong func(key string, value any, what, right string)) {
	one := func(key, value string, of ...string) {
		for _, o := range of {
			if value == o {
				return
			}
		}
		wrong(key, value, fmt.Sprintf("not one of %v", of), fmt.Sprintf("%q", of[0]))
	}
	one("record.mode", t.Mode, "spool", "memory", "off")
	one("record.sync", t.Sync, "group", "none")
	one("record.when_full", t.WhenFull, "keep-serving", "decline")
	one("record.store.kind", t.Store.Kind, "sqlite", "postgres", "none")
	one("record.store.tls", t.Store.TLS, "verify-full", "verify-ca", "require", "disable")
	if t.Mode == "off" {
		return
	}
	if t.Mode == "spool" && t.Directory == "" {
		wrong("record.directory", t.Directory, "needed by mode = \"spool\"", `"/var/lib/onyxgate/spool"`)
	}
	if t.Mode == "memory" && t.Store.Kind == "none" {
		wrong("record.store.kind", t.Store.Kind, "mode = \"memory\" keeps nothing without a store", `"postgres"`)
	}
	if t.Segment < 16<<10 {
		wrong("record.segment", t.Segment, "too small for a write", `"4MiB"`)
	}
	if t.Budget < 4*t.Segment {
		wrong("record.budget", t.Budget, fmt.Sprintf("less than four segments of %v", t.Segment), fmt.Sprintf("%q", 4*t.Segment))
	}
	if t.GroupBytes < 4<<10 || t.GroupBytes > t.Segment {
		wrong("record.group_bytes", t.GroupBytes, "not between 4 KiB and a segment", `"256KiB"`)
	}
	if t.Room < 64<<10 {
		wrong("record.room", t.Room, "too small for the txns of a moment", `"2MiB"`)
	}
	if t.Mode == "spool" && t.Sync == "group" && t.Patience.Ms() <= t.Group.Ms() {
		wrong("record.patience", t.Patience, "no longer than group_wait, so nothing would be durable in time", `"250ms"`)
	}
	if t.Stall.Ms() <= 0 {
		wrong("record.stall", t.Stall, "every write would count as a stall", `"200ms"`)
	}
	s := t.Store
	if s.Batch < 1 || s.Batch > 5000 {
		wrong("record.store.batch", s.Batch, "not between 1 and 5000", "500")
	}
	if s.Kind != "none" && (s.Timeout.Ms() <= 0 || s.Every.Ms() <= 0) {
		wrong("record.store.timeout", s.Timeout, "neither timeout nor every may be zero", `"5s"`)
	}
	if s.Kind == "sqlite" && s.Path == "" {
		wrong("record.store.path", s.Path, "needed by kind = \"sqlite\"", `"/var/lib/onyxgate/record.db"`)
	}
	if s.Kind == "postgres" {
		if _, err := s.Open(); err != nil {
			wrong("record.store.address", s.Address, err.Error(), `"db.internal:5432"`)
		}
		if s.Database == "" || s.User == "" {
			wrong("record.store.database", s.Database, "kind = \"postgres\" needs database and user", `"accounts"`)
		}
		if s.PasswordFile != "" {
			if _, err := os.Stat(s.PasswordFile); err != nil {
				wrong("record.store.password_file", s.PasswordFile, err.Error(), `"/etc/onyxgate/password"`)
			}
		}
	}
}

// Open opens the store that is named; nil where there is none.
func (s StoreTable) Open() (*sqlstore.Store, error) {
	switch s.Kind {
	case "sqlite":
		return sqlite.Open(s.Path, time.Duration(s.Timeout)/2)
	case "postgres":
		return postgres.Open(s.Address, s.Database, s.User, s.PasswordFile, s.TLS, s.CA, time.Duration(s.Timeout))
	}
	return nil, nil
}

// ledgerOptions are what these settings say to the ledger of an incarnation, while the spool holds spoolBytes already.
func (t Table) ledgerOptions(instance, incarnation string, spoolBytes int64) record.LedgerOptions {
	policy := record.KeepServing
	if t.WhenFull == "decline" {
		policy = record.RejectRequests
	}
	return record.LedgerOptions{
		Instance: instance, Incarnation: incarnation,
		Sync: t.Mode == "spool" && t.Sync == "group", GroupWait: t.Group.Ms(), MaxWriteBytes: int(t.GroupBytes),
		MaxSegmentBytes: int64(t.Segment), MaxSpoolBytes: int64(t.Budget), MaxQueuedBytes: int(t.Room),
		CommitDelay: t.Patience.Ms(), StallAfter: t.Stall.Ms(), FullPolicy: policy, SpoolBytes: spoolBytes,
	}
}
