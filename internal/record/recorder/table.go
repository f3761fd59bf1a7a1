package recorder

// This file owns the tables [record] and [record.store] of our settings: their fields, what holds unless they say
// otherwise, and what they mean to ledger and store.

import (
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

// Config is [record].
type Config struct {
	Mode            string      `toml:"mode" comment:"off; spool: durable before the answer; memory: no disk, gives up what a kill takes"`
	Directory       string      `toml:"directory" comment:"of the spool; every instance has its own under it"`
	Sync            string      `toml:"sync" comment:"group: synced before the answer; none: survives a kill, not a loss of power"`
	GroupWait       units.Span  `toml:"group_wait" comment:"an entry waits so long for others to be synced with"`
	MaxWriteBytes   units.Size  `toml:"group_bytes"`
	MaxSegmentBytes units.Size  `toml:"segment"`
	MaxSpoolBytes   units.Size  `toml:"budget" comment:"of the spool on disk, or in memory"`
	MaxQueuedBytes  units.Size  `toml:"room" comment:"of entries that wait in memory for the disk"`
	CommitDelay     units.Span  `toml:"patience" comment:"an answer waits so long for its sync"`
	Reserve         units.Span  `toml:"reserve" comment:"kept back of each client's time for it"`
	StallAfter      units.Span  `toml:"stall" comment:"a write that takes longer means that the disk stands still"`
	WhenFull        string      `toml:"when_full" comment:"keep-serving: a gap says what is missing; decline: new requests are rejected"`
	Store           StoreConfig `toml:"store"`
}

// StoreConfig is [record.store].
type StoreConfig struct {
	Kind           string     `toml:"kind" comment:"sqlite, postgres, or none: the spool waits for 'onyxgate record ship'"`
	Path           string     `toml:"path" comment:"of sqlite's file"`
	Address        string     `toml:"address" comment:"of the PostgreSQL server, host:port"`
	Database       string     `toml:"database"`
	User           string     `toml:"user"`
	PasswordFile   string     `toml:"password_file" comment:"read anew at each connection"`
	TLS            string     `toml:"tls" comment:"disable, require, verify-ca, verify-full"`
	CAFile         string     `toml:"tls_ca"`
	MaxBatchRows   int        `toml:"batch" comment:"rows at once, at most"`
	BatchWait      units.Span `toml:"every" comment:"rows wait so long for a whole batch"`
	BatchTimeout   units.Span `toml:"timeout" comment:"of a batch"`
	BytesPerSecond units.Size `toml:"bytes_a_second"`
}

// DefaultConfig is what holds where nothing is said.
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

// Enabled tells whether anything is recorded.
func (c Config) Enabled() bool { return c.Mode != "off" }

// syncs tells whether an answer waits for its entry to be synced.
func (c Config) syncs() bool { return c.Mode == "spool" && c.Sync == "group" }

// Open opens the store that is named; nil where there is none. Nothing is connected or read before the first use.
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

// ledgerOptions are what these settings say to the ledger of an incarnation, while the spool holds spoolBytes already.
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
