package recorder

// Validation of the settings.

import (
	"fmt"
	"os"
	"slices"
)

const (
	minSegmentBytes  = 16 << 10
	minWriteBytes    = 4 << 10
	minQueuedBytes   = 64 << 10
	minSpoolSegments = 4
	maxBatchRows     = 5000
)

// reportFunc is called for an invalid setting with its key, its value, what is wrong with it, and a valid example.
type reportFunc = func(key string, value any, problem, example string)

// Validate calls report for each setting that is invalid or contradicts another one, with its key, its value, what is
// wrong with it, and a valid example.
func (c Config) Validate(report func(key string, value any, problem, example string)) {
	c.checkEnums(report)
	if !c.Enabled() {
		return
	}
	c.checkMode(report)
	c.checkSizes(report)
	c.checkTimes(report)
	c.Store.check(report)
}

func (c Config) checkEnums(report reportFunc) {
	for _, field := range []struct {
		key, value string
		allowed    []string
	}{
		{"record.mode", c.Mode, []string{"spool", "memory", "off"}},
		{"record.sync", c.Sync, []string{"group", "none"}},
		{"record.when_full", c.WhenFull, []string{"keep-serving", "decline"}},
		{"record.store.kind", c.Store.Kind, []string{"sqlite", "postgres", "none"}},
		{"record.store.tls", c.Store.TLS, []string{"verify-full", "verify-ca", "require", "disable"}},
	} {
		if !slices.Contains(field.allowed, field.value) {
			report(field.key, field.value, fmt.Sprintf("not one of %v", field.allowed), fmt.Sprintf("%q", field.allowed[0]))
		}
	}
}

func (c Config) checkMode(report reportFunc) {
	if c.Mode == "spool" && c.Directory == "" {
		report("record.directory", c.Directory, "needed by mode = \"spool\"", `"/var/lib/onyxgate/spool"`)
	}
	if c.Mode == "memory" && c.Store.Kind == "none" {
		report("record.store.kind", c.Store.Kind, "mode = \"memory\" keeps nothing without a store", `"postgres"`)
	}
}

func (c Config) checkSizes(report reportFunc) {
	if c.MaxSegmentBytes < minSegmentBytes {
		report("record.segment", c.MaxSegmentBytes, "smaller than 16 KiB, too small for a write", `"4MiB"`)
	}
	if c.MaxSpoolBytes < minSpoolSegments*c.MaxSegmentBytes {
		report("record.budget", c.MaxSpoolBytes, fmt.Sprintf("less than four segments of %v", c.MaxSegmentBytes),
			fmt.Sprintf("%q", minSpoolSegments*c.MaxSegmentBytes))
	}
	if c.MaxWriteBytes < minWriteBytes || c.MaxWriteBytes > c.MaxSegmentBytes {
		report("record.group_bytes", c.MaxWriteBytes, "not between 4 KiB and the segment size", `"256KiB"`)
	}
	if c.MaxQueuedBytes < minQueuedBytes {
		report("record.room", c.MaxQueuedBytes, "smaller than 64 KiB, too small for a burst of requests", `"2MiB"`)
	}
}

func (c Config) checkTimes(report reportFunc) {
	if c.syncs() && c.CommitDelay.Ms() <= c.GroupWait.Ms() {
		report("record.patience", c.CommitDelay, "no longer than group_wait, so nothing would be durable in time", `"250ms"`)
	}
	if c.StallAfter.Ms() <= 0 {
		report("record.stall", c.StallAfter, "not positive, every write would count as a stall", `"200ms"`)
	}
}

func (s StoreConfig) check(report reportFunc) {
	if s.MaxBatchRows < 1 || s.MaxBatchRows > maxBatchRows {
		report("record.store.batch", s.MaxBatchRows, "not between 1 and 5000", "500")
	}
	if s.Kind != "none" && (s.BatchTimeout.Ms() <= 0 || s.BatchWait.Ms() <= 0) {
		report("record.store.timeout", s.BatchTimeout, "timeout and every must both be positive", `"5s"`)
	}
	if s.Kind == "sqlite" && s.Path == "" {
		report("record.store.path", s.Path, "needed by kind = \"sqlite\"", `"/var/lib/onyxgate/record.db"`)
	}
	if s.Kind == "postgres" {
		s.checkPostgres(report)
	}
}

func (s StoreConfig) checkPostgres(report reportFunc) {
	if _, err := s.Open(); err != nil {
		report("record.store.address", s.Address, err.Error(), `"db.internal:5432"`)
	}
	if s.Database == "" || s.User == "" {
		report("record.store.database", s.Database, "kind = \"postgres\" needs database and user", `"accounts"`)
	}
	if s.PasswordFile != "" {
		if _, err := os.Stat(s.PasswordFile); err != nil {
			report("record.store.password_file", s.PasswordFile, err.Error(), `"/etc/onyxgate/password"`)
		}
	}
}
