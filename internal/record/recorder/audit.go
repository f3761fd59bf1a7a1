package recorder

// Audits of spools and the store, which report inconsistencies and leave everything recorded unchanged.

import (
	"context"
	"errors"
	"fmt"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// Finding is a result of an audit. Defect marks an inconsistency.
type Finding struct {
	Defect bool   `json:"defect"`
	Where  string `json:"where"`
	What   string `json:"what"`
}

// Audit reads the spool of an instance, or of all instances if instance is empty, and the store if there is one. The
// spool of a running instance is read as far as it has been written. It calls found with each finding and progress with
// the number of rows read so far. An error means that the audit is incomplete.
func Audit(ctx context.Context, config Config, instance string, found func(Finding), progress func(rows int)) error {
	instances := []string{instance}
	if instance == "" {
		var err error
		if instances, err = spool.Instances(spool.Disk{}, config.Directory); err != nil {
			return err
		}
	}
	rows := 0
	count := func(more int) {
		rows += more
		progress(rows)
	}
	for _, name := range instances {
		if err := auditSpool(ctx, config.Directory, name, found, count); err != nil {
			return err
		}
	}
	store, err := config.Store.Open()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	return auditStore(ctx, store, instance, found)
}

// auditSpool reads all incarnations of an instance. If the directory can't be opened for a reason other than that its
// instance is running, this is reported as a defect, and the directory is read nevertheless.
func auditSpool(ctx context.Context, directory, instance string, found func(Finding), count func(rows int)) error {
	opened, err := spool.Open(spool.Disk{}, directory, instance)
	running := errors.Is(err, spool.ErrLocked)
	if err != nil {
		if !running {
			found(Finding{true, instance, err.Error()})
		}
		opened = spool.OpenReadOnly(spool.Disk{}, directory, instance)
	}
	defer opened.Close()
	for _, incarnation := range opened.Incarnations() {
		reader := opened.NewReader(incarnation, !running)
		if err := auditIncarnation(ctx, reader, instance+"/"+incarnation, found, count); err != nil {
			return err
		}
	}
	return nil
}

func auditIncarnation(ctx context.Context, reader *spool.Reader, where string, found func(Finding),
	count func(rows int),
) error {
	defer reader.Close()
	for more := true; more && ctx.Err() == nil; {
		var rows []record.Row
		var err error
		if rows, more, err = reader.Next(); err != nil {
			found(Finding{true, where, err.Error()})
			break
		}
		count(len(rows))
	}
	replay := reader.Replay
	for _, defect := range replay.Defects {
		found(Finding{true, where, defect.String()})
	}
	what := fmt.Sprintf("%d given, %d unheard, %d in doubt, %d open, %d gaps, %d written anew, %d torn bytes",
		replay.Counts[record.StateAnswered], replay.Counts[record.StateUndelivered], replay.Counts[record.StateInDoubt],
		replay.OpenEntries(), replay.Gaps, replay.Rewritten, replay.TornBytes)
	found(Finding{false, where, what})
	return ctx.Err()
}

func auditStore(ctx context.Context, store *sqlstore.Store, instance string, found func(Finding)) error {
	duplicates, err := store.CountDuplicates(ctx)
	if err != nil {
		return err
	}
	if duplicates > 0 {
		found(Finding{true, "store", fmt.Sprintf("%d ordinals are stored more than once", duplicates)})
	}
	if err := store.Gaps(ctx, instance, func(gap sqlstore.GapRow) error {
		what := fmt.Sprintf("gap of %s/%s at %d: %d settled, %d declined, %d voided, %d unknown, %.0f to %.0f ms, %s",
			gap.Instance, gap.Incarnation, gap.Ordinal, gap.Served, gap.Rejected, gap.Failed, gap.Unknown, gap.From, gap.To,
			gap.Cause)
		found(Finding{gap.Cause == "hole", "store", what})
		return nil
	}); err != nil {
		return err
	}
	return store.Count(ctx, sqlstore.Filter{Instance: instance}, func(group sqlstore.GroupCount) error {
		what := fmt.Sprintf("%s %s %s %s: %d", group.Instance, group.Class, group.Outcome, group.State, group.Entries)
		found(Finding{false, "store", what})
		return nil
	})
}
