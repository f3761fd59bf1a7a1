package recorder

// This file owns the audit of what stands in spools and store: it reads all, changes nothing and says what must not be.

import (
	"context"
	"errors"
	"fmt"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// Finding is one thing that an audit says; a defect is one that must not be.
type Finding struct {
	Defect bool   `json:"defect"`
	Where  string `json:"where"`
	What   string `json:"what"`
}

// Audit reads an agent's spool, or every agent's, and the store where there is one. A spool that an agent works in is read
// as far as it is written. progress is called with the rows read so far.
func Audit(ctx context.Context, t Table, agent string, tell func(Finding), progress func(rows int)) error {
	agents := []string{agent}
	if agent == "" {
		var err error
		if agents, err = spool.Instances(spool.Disk{}, t.Directory); err != nil {
			return err
		}
	}
	rows := 0
	for _, name := range agents {
		sp, err := spool.Open(spool.Disk{}, t.Directory, name)
		running := false
		if err != nil {
			if running = errors.Is(err, spool.ErrLocked); !running {
				tell(Finding{true, name, err.Error()})
			}
			sp = spool.View(spool.Disk{}, t.Directory, name)
		}
		for _, incarnation := range sp.Incarnations() {
			if err := auditIncarnation(ctx, sp.Read(incarnation, !running), name+"/"+incarnation, tell, func(n int) {
				rows += n
				progress(rows)
			}); err != nil {
				sp.Close()
				return err
			}
		}
		sp.Close()
	}
	store, err := t.Store.Open()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	return auditStore(ctx, store, agent, tell)
}

func auditIncarnation(ctx context.Context, r *spool.Reader, where string, tell func(Finding), progress func(rows int)) error {
	defer r.Close()
	for more := true; more && ctx.Err() == nil; {
		var rows []record.Row
		var err error
		if rows, more, err = r.Next(); err != nil {
			tell(Finding{true, where, err.Error()})
			break
		}
		progress(len(rows))
	}
	f := r.Replay
	for _, d := range f.Defects {
		tell(Finding{true, where, d.String()})
	}
	tell(Finding{false, where, fmt.Sprintf("%d given, %d unheard, %d in doubt, %d open, %d gaps, %d written anew, %d torn bytes",
		f.Counts[record.StateAnswered], f.Counts[record.StateUndelivered], f.Counts[record.StateInDoubt], f.OpenEntries(), f.Gaps, f.Rewritten, f.TornBytes)})
	return ctx.Err()
}

func auditStore(ctx context.Context, store *sqlstore.Store, agent string, tell func(Finding)) error {
	repeats, err := store.Repeats(ctx)
	if err != nil {
		return err
	}
	if repeats > 0 {
		tell(Finding{true, "store", fmt.Sprintf("%d ordinals stand more than once", repeats)})
	}
	if err := store.Gaps(ctx, agent, func(g sqlstore.GapRow) error {
		tell(Finding{g.Cause == "hole", "store", fmt.Sprintf("gap of %s/%s at %d: %d settled, %d declined, %d voided, "+
			"%d unknown, %.0f to %.0f ms, %s", g.Instance, g.Incarnation, g.N, g.Served, g.Rejected, g.Failed, g.Unknown, g.From,
			g.To, g.Cause)})
		return nil
	}); err != nil {
		return err
	}
	return store.Count(ctx, sqlstore.Filter{Instance: agent}, func(agent, product, outcome, state string, n int64) error {
		tell(Finding{false, "store", fmt.Sprintf("%s %s %s %s: %d", agent, product, outcome, state, n)})
		return nil
	})
}
