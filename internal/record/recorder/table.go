package recorder

// The settings tables [record] and [record.store]: their fields and defaults, and their translation to options of the
// ledger and the store.

import (
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

// Config is the settings table [record].
type Config struct {
	Mode            string      `toml:"mode" comment:"off; spool: durable before the response; memory: no disk, unexported entries are lost in a crash"`
	Directory       string      `toml:"directory" comment:"root directory of the spools; each instance has a subdirectory"`
	Sync            string      `toml:"sync" comment:"group: synced before the response; none: survives a crash but not a power failure"`
	GroupWait       units.Span  `toml:"group_wait" comment:"how long an entry waits for others to share its sync"`
	MaxWriteBytes   units.Size  `toml:"group_bytes"`
	MaxSegmentBytes units.Size  `toml:"segment"`
	MaxSpoolBytes   units.Size  `toml:"budget" comment:"maximum size of the spool, on disk or in memory"`
	MaxQueuedBytes  units.Size  `toml:"room" comment:"maximum size of entries queued in memory for the disk"`
	CommitDelay     units.Span  `toml:"patience" comment:"how long a response waits for its entry to be synced"`
	Reserve         units.Span  `toml:"reserve" comment:"part of each request's time reserved for this wait"`
	StallAfter      units.Span  `toml:"stall" comment:"the disk counts as stalled when a write takes longer"`
	WhenFull        string      `toml:"when_full" comment:"keep-serving: lost entries are counted in a gap; decline: new requests are rejected"`
	Store           StoreConfig `toml:"store"`
}

// StoreConfig is the settings table [record.store].
type StoreConfig struct {
	Kind           string     `toml:"kind" comment:"sqlite, postgres, or none: entries stay in the spool until 'onyxgate record ship'"`
	Path           string     `toml:"path" comment:"path of the SQLite file"`
	Address        string     `toml:"address" comment:"host:port of the PostgreSQL server"`
	Database       string     `toml:"database"`
	User           string     `toml:"user"`
	PasswordFile   string     `toml:"password_file" comment:"read again for each connection"`
	TLS            string     `toml:"tls" comment:"disable, require, verify-ca, verify-full"`
	CAFile         string     `toml:"tls_ca"`
	MaxBatchRows   int        `toml:"batch" comment:"maximum number of rows in a batch"`
	BatchWait      units.Span `toml:"every" comment:"how long rows wait for a batch to fill up"`
	BatchTimeout   units.Span `toml:"timeout" comment:"time limit for storing a batch"`
	BytesPerSecond units.Size `toml:"bytes_a_second"`
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Mode: "off", Sync: "group", GroupWait: 0, MaxWriteBytes: 256 << 10, MaxSegmentBytes: 4 << 20,
		MaxSpoolBytes: 256 << 20, MaxQueuedBytes: 2 << 20, CommitDelay: units.Span(250 * time.Millisecond),
		Reserve: units.Span(40 * time.Millisecond), StallAfter: units.Span(200 * time.Millisecond), WhenFull: "keep-serving",
		Store: StoreConfig{
			Kind: "none", TLS: "verify-full", MaxBatchRows: 500, BatchWait: units.Span(200 * time.Millisecond),
			BatchTimeout: units.Span(5 * time.Second), BytesPerSecond: 4 << 20,
		},
	}
}

// Enabled reports whether anything is recorded.
func (c Config) Enabled() bool { return c.Mode != "off" }

// syncs reports whether responses wait for their entries to be synced.
func (c Config) syncs() bool { return c.Mode == "spool" && c.Sync == "group" }

// Open returns the configured store, or nil if there is none. The store is not accessed before first use.
func (s StoreConfig) Open() (*sqlstore.Store, error) {
	switch s.Kind {
	case "sqlite":
		return sqlite.Open(s.Path, time.Duration(s.BatchTimeout)/2)
	case "postgres":
		return postgres.Open(postgres.Options{
			Address: s.Address, Database: s.Database, User: s.User, PasswordFile: s.PasswordFile, TLS: s.TLS, CAFile: s.CAFile,
			ConnectTimeout: time.Duration(s.BatchTimeout),
		})
	}
	return nil, nil
}

// ledgerOptions returns the options for the ledger of an incarnation, given the current size of the spool.
func (c Config) ledgerOptions(instance, incarnation string, spoolBytes int64) record.LedgerOptions {
	policy := record.KeepServing
	if c.WhenFull == "decline" {
		policy = record.RejectRequests
	}
	return record.LedgerOptions{
		Instance: instance, Incarnation: incarnation,
		Sync: c.syncs(), GroupWait: c.GroupWait.Ms(), MaxWriteBytes: int(c.MaxWriteBytes),
		MaxSegmentBytes: int64(c.MaxSegmentBytes), MaxSpoolBytes: int64(c.MaxSpoolBytes), MaxQueuedBytes: int(c.MaxQueuedBytes),
		CommitDelay: c.CommitDelay.Ms(), StallAfter: c.StallAfter.Ms(), FullPolicy: policy, SpoolBytes: spoolBytes,
	}
}
