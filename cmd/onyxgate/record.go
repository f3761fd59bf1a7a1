package main

// This file owns what the operators' commands for the store of record share. They read spools and the store by the same
// settings as the instances; none of them must change what an instance that runs is writing.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"onyxgate/internal/config"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/record/sqlstore"
)

type recordCommands struct {
	Settings string       `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Our settings, TOML: [record] says where spools and store are."`
	Status   recordStatus `cmd:"" help:"What spools and store hold."`
	List     recordList   `cmd:"" help:"List entries of the store, the newest of them last."`
	Export   recordExport `cmd:"" help:"Write entries of the store as NDJSON or CSV."`
	Verify   recordVerify `cmd:"" help:"Look for gaps, repeats, broken chains and entries in doubt; exits 1 on a defect."`
	Ship     recordShip   `cmd:"" help:"Send what an instance that does not run left in its spool."`
	Prune    recordPrune  `cmd:"" help:"Remove old entries from the store."`
	Adopt    recordAdopt  `cmd:"" help:"Take over a spool directory that was moved here on purpose."`
}

// recordConfig is [record] of the settings, which must be on.
func (l recordCommands) recordConfig() (recorder.Config, error) {
	tables, err := config.Read(l.Settings)
	if err == nil && !tables.Record.Enabled() {
		err = fmt.Errorf("%s: record.mode is off", l.Settings)
	}
	return tables.Record, err
}

// openStore opens the one that the settings name. Errors wrap recorder.ErrNoStore.
func (l recordCommands) openStore() (*sqlstore.Store, error) {
	table, err := l.recordConfig()
	if err != nil {
		return nil, err
	}
	store, err := table.Store.Open()
	if err == nil && store == nil {
		err = fmt.Errorf("%s: %w", l.Settings, recorder.ErrNoStore)
	}
	return store, err
}

// signalContext is a context that ends when the operator, or whoever started the command, wants it to.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// progress shows on a terminal how far a command is, and nothing elsewhere. It is for the eye alone: errors of showing it
// are left out.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(what string) progress {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return progress{progressbar.DefaultSilent(-1)}
	}
	return progress{progressbar.Default(-1, what)}
}

func (p progress) add(n int64) { _ = p.bar.Add64(n) }
func (p progress) set(n int64) { _ = p.bar.Set64(n) }
func (p progress) finish()     { _ = p.bar.Finish() }

// selection is what entries are asked for by.
type selection struct {
	From     string `help:"Answered at this time or later: 2026-11-30T08:00:00Z, or a span back from now: 12h."`
	To       string `help:"Answered before this time."`
	Instance string `name:"agent"`
	Class    string `name:"product"`
	Outcome  string `enum:",settled,declined,voided" default:"" help:"settled, declined or voided."`
	State    string `enum:",given,unheard,in doubt" default:"" help:"given, unheard or 'in doubt'."`
	Request  string `name:"txn"`
}

// filter is the selection for the store; a limit of 0 is none.
func (s selection) filter(limit int) (filter sqlstore.Filter, err error) {
	filter = sqlstore.Filter{
		Instance: s.Instance, Class: s.Class, Outcome: s.Outcome, State: s.State, RequestID: s.Request, Limit: limit,
	}
	if filter.From, err = parseTime("--from", s.From); err == nil {
		filter.To, err = parseTime("--to", s.To)
	}
	return filter, err
}

// parseTime is a time (Unix ms) that a flag says, or 0 where it says nothing.
func parseTime(flag, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return unixMsAgo(span), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%s %q: neither a time nor a span; write 2026-11-30T08:00:00Z or 12h", flag, text)
	}
	return float64(at.UnixNano()) / float64(time.Millisecond), nil
}

// unixMsAgo is the time (Unix ms) that is a span back from now.
func unixMsAgo(span time.Duration) float64 { return float64(time.Now().Add(-span).UnixMilli()) }
