package recorder

// This file owns the exporting on an operator's demand.

import (
	"context"
	"errors"
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// ErrNoStore says that the settings name no store to send to or to read from.
var ErrNoStore = errors.New("[record.store] names no store")

// RefusedError says that the store does not take an instance's rows, and that trying again will not help.
type RefusedError struct {
	Result record.ExportResult // ExportDenied or ExportForeign
}

func (e *RefusedError) Error() string { return "the store refuses: " + e.Result.String() }

// Ship sends all that an instance's directory holds, for an instance that does not run; progress is called after each
// batch. Errors wrap spool.ErrLocked, spool.ErrCopied, ErrNoStore, and are *RefusedError where the store refuses.
func Ship(ctx context.Context, config Config, instance string, progress func(exported, inDoubt uint64)) error {
	opened, err := spool.Open(spool.Disk{}, config.Directory, instance)
	if err != nil {
		return err
	}
	defer opened.Close()
	store, err := config.Store.Open()
	if err != nil {
		return err
	}
	if store == nil {
		return ErrNoStore
	}
	defer store.Close()
	from := time.Now()
	now := func() float64 { return float64(time.Since(from))/float64(time.Millisecond) + 1 }
	e := newExporter(opened, config.Store, store, now, uint64(from.UnixNano()))
	for _, incarnation := range opened.Incarnations() {
		e.add(incarnation, false)
	}
	for ctx.Err() == nil && len(e.earlier) > 0 {
		_, wait, _ := e.step(ctx)
		progress(e.exported, e.inDoubt)
		if e.lastResult == record.ExportDenied || e.lastResult == record.ExportForeign {
			return &RefusedError{e.lastResult}
		}
		time.Sleep(wait)
	}
	return ctx.Err()
}
