package recorder

// This file owns which settings can't be, and which contradict each other.

import (
	"fmt"
	"os"
	"slices"
)

const (
	minSegmentBytes   = 16 << 10
	minGroupBytes     = 4 << 10
	minRoomBytes      = 64 << 10
	minBudgetSegments = 4
	maxBatchRows      = 5000
)

// complaint is called with a setting that can't be: its key, its value, what it is and what would be right.
type complaint = func(key string, value any, what, right string)

// Validate calls wrong for each field that can't be or that contradicts another: its key, its value, what it is and what
// would be right.
func (t Config) Validate(wrong func(key string, value any, what, right string)) {
	t.checkWords(wrong)
	if !t.Enabled() {
		return
	}
	t.checkMode(wrong)
	t.checkSizes(wrong)
	t.checkTimes(wrong)
	t.Store.check(wrong)
}

func (t Config) checkWords(wrong complaint) {
	for _, field := range []struct {
		key, value string
		words      []string
	}{
		{"record.mode", t.Mode, []string{"spool", "memory", "off"}},
		{"record.sync", t.Sync, []string{"group", "none"}},
		{"record.when_full", t.WhenFull, []string{"keep-serving", "decline"}},
		{"record.store.kind", t.Store.Kind, []string{"sqlite", "postgres", "none"}},
		{"record.store.tls", t.Store.TLS, []string{"verify-full", "verify-ca", "require", "disable"}},
	} {
		if !slices.Contains(field.words, field.value) {
			wrong(field.key, field.value, fmt.Sprintf("not one of %v", field.words), fmt.Sprintf("%q", field.words[0]))
		}
	}
}

func (t Config) checkMode(wrong complaint) {
	if t.Mode == "spool" && t.Directory == "" {
		wrong("record.directory", t.Directory, "needed by mode = \"spool\"", `"/var/lib/onyxgate/spool"`)
	}
	if t.Mode == "memory" && t.Store.Kind == "none" {
		wrong("record.store.kind", t.Store.Kind, "mode = \"memory\" keeps nothing without a store", `"postgres"`)
	}
}

func (t Config) checkSizes(wrong complaint) {
	if t.MaxSegmentBytes < minSegmentBytes {
		wrong("record.segment", t.MaxSegmentBytes, "too small for a write", `"4MiB"`)
	}
	if t.MaxSpoolBytes < minBudgetSegments*t.MaxSegmentBytes {
		wrong("record.budget", t.MaxSpoolBytes, fmt.Sprintf("less than four segments of %v", t.MaxSegmentBytes),
			fmt.Sprintf("%q", minBudgetSegments*t.MaxSegmentBytes))
	}
	if t.MaxWriteBytes < minGroupBytes || t.MaxWriteBytes > t.MaxSegmentBytes {
		wrong("record.group_bytes", t.MaxWriteBytes, "not between 4 KiB and a segment", `"256KiB"`)
	}
	if t.MaxQueuedBytes < minRoomBytes {
		wrong("record.room", t.MaxQueuedBytes, "too small for the txns of a moment", `"2MiB"`)
	}
}

func (t Config) checkTimes(wrong complaint) {
	if t.syncs() && t.CommitDelay.Ms() <= t.GroupWait.Ms() {
		wrong("record.patience", t.CommitDelay, "no longer than group_wait, so nothing would be durable in time", `"250ms"`)
	}
	if t.StallAfter.Ms() <= 0 {
		wrong("record.stall", t.StallAfter, "every write would count as a stall", `"200ms"`)
	}
}

func (s StoreConfig) check(wrong complaint) {
	if s.MaxBatchRows < 1 || s.MaxBatchRows > maxBatchRows {
		wrong("record.store.batch", s.MaxBatchRows, "not between 1 and 5000", "500")
	}
	if s.Kind != "none" && (s.BatchTimeout.Ms() <= 0 || s.BatchWait.Ms() <= 0) {
		wrong("record.store.timeout", s.BatchTimeout, "neither timeout nor every may be zero", `"5s"`)
	}
	if s.Kind == "sqlite" && s.Path == "" {
		wrong("record.store.path", s.Path, "needed by kind = \"sqlite\"", `"/var/lib/onyxgate/record.db"`)
	}
	if s.Kind == "postgres" {
		s.checkPostgres(wrong)
	}
}

func (s StoreConfig) checkPostgres(wrong complaint) {
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
