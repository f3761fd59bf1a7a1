package main

// This file owns the operators' commands for the store of record. They read spools and the store by the same settings as
// the agents; none of them must change what an agent that runs is writing.

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"onyxgate/internal/config"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

type recordLine struct {
	Settings string       `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Our settings, TOML: [record] says where spools and store are."`
	Status   recordStatus `cmd:"" help:"What spools and store hold."`
	List     recordList   `cmd:"" help:"List entries of the store, the newest of them last."`
	Export   recordExport `cmd:"" help:"Write entries of the store as NDJSON or CSV."`
	Verify   recordVerify `cmd:"" help:"Look for gaps, repeats, broken chains and entries in doubt; exits 1 on a defect."`
	Ship     recordShip   `cmd:"" help:"Send what an agent that does not run left in its spool."`
	Prune    recordPrune  `cmd:"" help:"Remove old entries from the store."`
	Adopt    recordAdopt  `cmd:"" help:"Take over a spool directory that was moved here on purpose."`
}

func (l recordLine) table() (recorder.Table, error) {
	tables, err := config.Read(l.Settings)
	if err == nil && !tables.Record.On() {
		err = fmt.Errorf("%s: record.mode is off", l.Settings)
	}
	return tables.Record, err
}

func (l recordLine) store() (*sqlstore.Store, error) {
	t, err := l.table()
	if err != nil {
		return nil, err
	}
	store, err := t.Store.Open()
	if err == nil && store == nil {
		err = fmt.Errorf("%s: [record.store] names no store", l.Settings)
	}
	return store, err
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// bar is progress on a terminal, and nothing elsewhere.
func bar(what string) *progressbar.ProgressBar {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return progressbar.DefaultSilent(-1)
	}
	return progressbar.Default(-1, what)
}

// selection is what entries are asked for by.
type selection struct {
	From    string `help:"Answered at this time or later: 2026-11-30T08:00:00Z, or a span back from now: 12h."`
	To      string `help:"Answered before this time."`
	Agent   string
	Product string
	Outcome string `enum:",settled,declined,voided" default:"" help:"settled, declined or voided."`
	State   string `enum:",given,unheard,in doubt" default:"" help:"given, unheard or 'in doubt'."`
	Txn     string
}

func (s selection) filter(limit int) (f sqlstore.Filter, err error) {
	f = sqlstore.Filter{Agent: s.Agent, Class: s.Product, Outcome: s.Outcome, State: s.State, RequestID: s.Txn, Limit: limit}
	if f.From, err = moment("--from", s.From); err == nil {
		f.To, err = moment("--to", s.To)
	}
	return f, err
}

func moment(flag, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return float64(time.Now().Add(-d).UnixMilli()), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%s %q: neither a time nor a span; write 2026-11-30T08:00:00Z or 12h", flag, text)
	}
	return float64(t.UnixNano()) / 1e6, nil
}

type recordStatus struct{}

func (recordStatus) Run(l *recordLine) error {
	t, err := l.table()
	if err != nil {
		return err
	}
	ctx, stop := interrupted()
	defer stop()
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.AppendHeader(table.Row{"agent", "incarnations", "spool", "runs"})
	agents, err := spool.Agents(spool.Disk{}, t.Directory)
	if err != nil {
		return err
	}
	for _, agent := range agents {
		s, err := spool.Open(spool.Disk{}, t.Directory, agent)
		runs := "no"
		switch {
		case errors.Is(err, spool.ErrLocked):
			runs = "yes"
		case err != nil:
			runs = err.Error()
		}
		if err != nil {
			s = spool.View(spool.Disk{}, t.Directory, agent)
		}
		w.AppendRow(table.Row{agent, len(s.Incarnations()), humanize.IBytes(uint64(s.Used())), runs})
		s.Close()
	}
	w.Render()
	store, err := t.Store.Open()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	w = table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.AppendHeader(table.Row{"agent", "product", "outcome", "state", "entries"})
	if err := store.Count(ctx, sqlstore.Filter{}, func(agent, product, outcome, state string, n int64) error {
		w.AppendRow(table.Row{agent, product, outcome, state, n})
		return nil
	}); err != nil {
		return err
	}
	w.Render()
	return nil
}

type recordList struct {
	selection
	Format string `enum:"table,ndjson,csv" default:"table" help:"table, ndjson or csv."`
	Limit  int    `default:"100" help:"Entries at most."`
}

func (c recordList) Run(l *recordLine) error {
	return write(l, c.selection, c.Limit, c.Format, os.Stdout)
}

type recordExport struct {
	selection
	Format string `enum:"ndjson,csv" default:"ndjson" help:"ndjson or csv."`
	Out    string `type:"path" help:"A file, in place of standard output."`
}

func (c recordExport) Run(l *recordLine) (err error) {
	if c.Out == "" {
		return write(l, c.selection, 0, c.Format, os.Stdout)
	}
	f, err := os.OpenFile(c.Out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return write(l, c.selection, 0, c.Format, f)
}

// write streams entries, one in memory at a time but for the table, which is bounded by its limit.
func write(l *recordLine, s selection, limit int, format string, out io.Writer) error {
	f, err := s.filter(limit)
	if err != nil {
		return err
	}
	store, err := l.store()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, stop := interrupted()
	defer stop()
	progress := bar("entries")
	defer progress.Finish()
	switch format {
	case "ndjson":
		e := json.NewEncoder(out)
		return store.Select(ctx, f, func(r sqlstore.Row) error {
			progress.Add(1)
			return e.Encode(r)
		})
	case "csv":
		w := csv.NewWriter(out)
		w.Write(columns)
		if err := store.Select(ctx, f, func(r sqlstore.Row) error {
			progress.Add(1)
			return w.Write(cells(r))
		}); err != nil {
			return err
		}
		w.Flush()
		return w.Error()
	}
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.AppendHeader(table.Row{"answered", "agent", "txn", "product", "outcome", "state", "reason", "build", "appliance",
		"submissions", "ms"})
	if err := store.Select(ctx, f, func(r sqlstore.Row) error {
		w.AppendRow(table.Row{time.UnixMilli(int64(r.AnsweredAt)).UTC().Format("2006-01-02 15:04:05.000"), r.Agent, r.RequestID,
			r.Class, r.Outcome, r.State, r.Reason, r.Release, r.Backend, r.Attempts, int(r.AnsweredAt - r.ArrivedAt)})
		return nil
	}); err != nil {
		return err
	}
	w.Render()
	return nil
}

var columns = []string{"agent", "incarnation", "n", "state", "txn", "product", "outcome", "reason", "build", "appliance",
	"submissions", "taken_ms", "answered_ms", "body", "mark"}

func cells(r sqlstore.Row) []string {
	ms := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
	return []string{r.Agent, r.Incarnation, strconv.FormatUint(r.N, 10), r.State, r.RequestID, r.Class, r.Outcome, r.Reason,
		strconv.Itoa(r.Release), r.Backend, strconv.Itoa(r.Attempts), ms(r.ArrivedAt), ms(r.AnsweredAt), r.BodyDigest, r.KeyDigest}
}

type recordVerify struct {
	Agent string `help:"One agent's spool; all without it."`
	JSON  bool   `help:"One JSON object a finding."`
}

func (c recordVerify) Run(l *recordLine) error {
	t, err := l.table()
	if err != nil {
		return err
	}
	ctx, stop := interrupted()
	defer stop()
	progress, defects := bar("entries read"), 0
	var all []recorder.Finding
	err = recorder.Audit(ctx, t, c.Agent, func(f recorder.Finding) {
		all = append(all, f)
		if f.Defect {
			defects++
		}
	}, func(rows int) { progress.Set(rows) })
	progress.Finish()
	if err != nil {
		return err
	}
	slices.SortStableFunc(all, func(a, b recorder.Finding) int { // what is wrong stands last, above the prompt
		switch {
		case a.Defect == b.Defect:
			return 0
		case a.Defect:
			return 1
		}
		return -1
	})
	for _, f := range all {
		if c.JSON {
			json.NewEncoder(os.Stdout).Encode(f)
			continue
		}
		word := "ok    "
		if f.Defect {
			word = "DEFECT"
		}
		fmt.Println(word, f.Where+":", f.What)
	}
	if defects > 0 {
		return fmt.Errorf("%d defects", defects)
	}
	return nil
}

type recordShip struct {
	Agent string `required:"" help:"Whose spool."`
}

func (c recordShip) Run(l *recordLine) error {
	t, err := l.table()
	if err != nil {
		return err
	}
	ctx, stop := interrupted()
	defer stop()
	progress := bar("shipped")
	var shipped, doubt uint64
	err = recorder.Ship(ctx, t, c.Agent, func(s, d uint64) {
		shipped, doubt = s, d
		progress.Set64(int64(s))
	})
	progress.Finish()
	fmt.Printf("%d rows shipped, %d of them in doubt\n", shipped, doubt)
	return err
}

type recordPrune struct {
	OlderThan time.Duration `required:"" help:"Remove what was answered longer ago than this: 2160h."`
	Batch     int           `default:"1000" help:"Entries removed in one transaction."`
}

func (c recordPrune) Run(l *recordLine) error {
	if c.OlderThan <= 0 || c.Batch < 1 {
		return fmt.Errorf("--older-than %v, --batch %d: both must be above zero", c.OlderThan, c.Batch)
	}
	store, err := l.store()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, stop := interrupted()
	defer stop()
	progress, all := bar("removed"), int64(0)
	defer func() { fmt.Println(all, "entries removed") }()
	before := float64(time.Now().Add(-c.OlderThan).UnixMilli())
	for {
		n, err := store.Prune(ctx, before, c.Batch)
		if err != nil || n == 0 {
			return err
		}
		all += n
		progress.Add64(n)
	}
}

type recordAdopt struct {
	Agent string `required:"" help:"Whose directory was moved."`
}

func (c recordAdopt) Run(l *recordLine) error {
	t, err := l.table()
	if err != nil {
		return err
	}
	adopted, err := spool.Adopt(spool.Disk{}, t.Directory, c.Agent)
	for _, name := range adopted {
		fmt.Println("adopted", name)
	}
	return err
}
