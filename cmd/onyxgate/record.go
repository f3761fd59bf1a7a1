package main

// Code shared by the "record" commands. They use the same settings as the instances to find the spools and the store.
// None of them may modify files that a running instance is writing.

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
	Settings string       `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Settings file, TOML: its table [record] locates the spools and the store."`
	Status   recordStatus `cmd:"" help:"Show the contents of the spools and the store."`
	List     recordList   `cmd:"" help:"List entries of the store, the oldest first."`
	Export   recordExport `cmd:"" help:"Export entries of the store as NDJSON or CSV."`
	Verify   recordVerify `cmd:"" help:"Check for gaps, duplicates, broken chains and entries in doubt; exits with 1 if it finds a defect."`
	Ship     recordShip   `cmd:"" help:"Send the entries that a stopped instance left in its spool to the store."`
	Prune    recordPrune  `cmd:"" help:"Remove old entries from the store."`
	Adopt    recordAdopt  `cmd:"" help:"Accept a spool directory that was moved here on purpose."`
}

// recordConfig reads the table [record] of the settings. It returns an error if recording is off.
func (c recordCommands) recordConfig() (recorder.Config, error) {
	settings, err := config.Read(c.Settings)
	if err == nil && !settings.Record.Enabled() {
		err = fmt.Errorf("%s: record.mode is off", c.Settings)
	}
	return settings.Record, err
}

// openStore opens the store that the settings name. If they name none, the error wraps recorder.ErrNoStore.
func (c recordCommands) openStore() (*sqlstore.Store, error) {
	settings, err := c.recordConfig()
	if err != nil {
		return nil, err
	}
	store, err := settings.Store.Open()
	if err == nil && store == nil {
		err = fmt.Errorf("%s: %w", c.Settings, recorder.ErrNoStore)
	}
	return store, err
}

// signalContext returns a context that is canceled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// progress shows a command's progress if standard error is a terminal. Display errors are ignored, because nothing
// depends on the display.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(description string) progress {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return progress{progressbar.DefaultSilent(-1)}
	}
	return progress{progressbar.Default(-1, description)}
}

func (p progress) add(n int64) { _ = p.bar.Add64(n) }
func (p progress) set(n int64) { _ = p.bar.Set64(n) }
func (p progress) finish()     { _ = p.bar.Finish() }

// selection holds the flags that select entries.
type selection struct {
	From     string `help:"Answered at this time or later: 2026-11-30T08:00:00Z, or a duration before now: 12h."`
	To       string `help:"Answered before this time."`
	Instance string `name:"agent"`
	Class    string `name:"product"`
	Outcome  string `enum:",settled,declined,voided" default:"" help:"settled, declined or voided."`
	State    string `enum:",given,unheard,in doubt" default:"" help:"given, unheard or 'in doubt'."`
	Request  string `name:"txn"`
}

// filter converts the selection to a filter of the store. A limit of 0 means no limit.
func (s selection) filter(limit int) (filter sqlstore.Filter, err error) {
	filter = sqlstore.Filter{
		Instance: s.Instance, Class: s.Class, Outcome: s.Outcome, State: s.State, RequestID: s.Request, Limit: limit,
	}
	if filter.From, err = parseTime("--from", s.From); err == nil {
		filter.To, err = parseTime("--to", s.To)
	}
	return filter, err
}

// parseTime parses the value of a time flag. It returns Unix ms, or 0 if the value is empty.
func parseTime(flag, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return unixMsAgo(span), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%s %q: not a time or duration; write 2026-11-30T08:00:00Z or 12h", flag, text)
	}
	return float64(at.UnixNano()) / float64(time.Millisecond), nil
}

// unixMsAgo returns the time (Unix ms) that lies span before now.
func unixMsAgo(span time.Duration) float64 { return float64(time.Now().Add(-span).UnixMilli()) }
