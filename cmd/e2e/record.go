package main

// This file owns the rehearsal of the store of record: agents and store are killed and stalled at drawn points under load,
// and the clients' log says what the record must hold.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/fake/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
)

type rec struct {
	Seed   uint64  `default:"1" help:"Draws traffic, kill points and stalls."`
	Kills  int     `default:"40" help:"Kills of agents, at least."`
	Store  string  `enum:"sqlite,postgres" default:"sqlite" help:"sqlite or postgres."`
	Rate   float64 `default:"300" help:"Txns a second."`
	Defect string  `enum:",answer-before-sync,no-dedupe" default:"" help:"A protection to switch off: the run must then fail."`
	Short  bool    `help:"Fewer kills, and only what must hold on any machine."`
	JSON   bool    `help:"Accepted for symmetry: the figures are always JSON."`
	Keep   bool    `help:"Leave the directory with logs, spools and store."`
}

// points at which an agent kills itself, and how many passings the draw may let go by.
var killPoints = []struct {
	name string
	most int
}{{"record.queued", 60}, {"spool.write", 60}, {"spool.wrote", 60}, {"spool.synced", 60}, {"record.durable", 60},
	{"record.answered", 60}, {"spool.turn", 2}, {"spool.begin", 1}, {"ship.begun", 6}, {"ship.commit", 6},
	{"ship.committed", 6}, {"spool.prune", 1}, {"spool.drop", 1}}

type recFigures struct {
	Seed         uint64 `json:"seed"`
	Store        string `json:"store"`
	Defect       string `json:"defect,omitempty"`
	Answers      int    `json:"answers"`
	Recorded     int    `json:"recorded"`
	Missing      int    `json:"missing"`
	Duplicates   int    `json:"duplicates"`
	Invented     int    `json:"invented"`
	InDoubt      int    `json:"in_doubt"`
	OpenAtKills  int    `json:"open_at_kills"`
	deaths       []death
	KillsAgent   int              `json:"kills_agent"`
	KillsAt      map[string]int   `json:"kills_at"`
	KillsStore   int              `json:"kills_store"`
	Stalls       int              `json:"stalls"`
	StoreFaults  map[string]int   `json:"store_faults"`
	SettledCalm  float64          `json:"settled_share_calm"`
	SettledStall float64          `json:"settled_share_stalled"`
	P99Calm      float64          `json:"p99_ms_calm"`
	P99Stall     float64          `json:"p99_ms_stalled"`
	StallAnswers int              `json:"answers_stalled"`
	RulesBroken  fleet.Violations `json:"rules_broken"`
	Took         float64          `json:"took_s"`
}

func (r rec) Run() error {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		return err
	}
	if !r.Keep {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", dir)
	}
	program, err := build(dir, "defect")
	if err != nil {
		return err
	}
	began, chance := time.Now(), rand.New(rand.NewPCG(r.Seed, 3))
	store, err := r.store(dir)
	if err != nil {
		return err
	}
	defer store.end()
	settings, err := r.settings(dir, store)
	if err != nil {
		return err
	}
	w, err := fleet.New(3, 8, 3, r.Seed)
	if err != nil {
		return err
	}
	defer w.Close()
	c, err := newCrew(w, program, dir)
	if err != nil {
		return err
	}
	env := []string{"ONYXGATE_DEFECT=" + r.Defect}
	for i := range w.Instances {
		if _, err := c.start(i, r.Seed+uint64(i), settings, env...); err != nil {
			return err
		}
	}
	defer c.stop()
	clients := fleet.NewClients(w, c.address, r.Seed)
	defer clients.Close()
	calm, stalled, most := 6*time.Second, 6*time.Second, 26*time.Second
	if r.Short {
		calm, stalled, most, r.Kills = 2*time.Second, 2*time.Second, 12*time.Second, min(r.Kills, 8)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sent := make(chan bool)
	var jump atomic.Bool
	go func() {
		clients.Run(ctx, func() float64 {
			if jump.Load() { // the store stalls in a traffic jump
				return 2 * r.Rate
			}
			return r.Rate
		}, r.Seed)
		close(sent)
	}()

	f := recFigures{Seed: r.Seed, Store: r.Store, Defect: r.Defect, KillsAt: map[string]int{}, StoreFaults: map[string]int{}}
	time.Sleep(time.Second) // connections come up
	calmFrom := time.Now()
	time.Sleep(calm)
	stallFrom := time.Now()
	if err := store.stall(true); err != nil {
		return err
	}
	f.Stalls++
	time.Sleep(stalled / 3)
	jump.Store(true)
	time.Sleep(stalled / 3)
	jump.Store(false)
	time.Sleep(stalled / 3)
	stallTo := time.Now()
	if err := store.stall(false); err != nil {
		return err
	}

	// Kills: each agent by itself, a point drawn for each of its lives.
	var mu sync.Mutex
	var all sync.WaitGroup
	killing, enough := context.WithTimeout(ctx, most)
	defer enough()
	var failed error
	for i := range w.Instances {
		own := rand.New(rand.NewPCG(r.Seed, uint64(100+i)))
		all.Go(func() {
			for killing.Err() == nil {
				at := r.life(killing, c, i, own, settings, env, &f, &mu, &failed)
				mu.Lock()
				if at != "" {
					f.KillsAgent++
					f.KillsAt[at]++
				}
				done := f.KillsAgent >= r.Kills && f.KillsStore >= 2 && (r.Short || len(f.KillsAt) >= len(killPoints))
				mu.Unlock()
				if done || failed != nil {
					enough()
				}
			}
			if at, _ := armed(c.run[i]); at != "" && failed == nil { // it would die in leaving
				r.restart(c, i, own.Uint64(), settings, env, &f, &mu, &failed)
			}
		})
	}
	all.Go(func() {
		for k := 0; killing.Err() == nil; k++ {
			pause(killing, time.Duration(300+chance.IntN(500))*time.Millisecond)
			what, err := store.fault(k, chance)
			mu.Lock()
			if err != nil {
				failed = err
			}
			f.StoreFaults[what]++
			switch what {
			case "kill":
				f.KillsStore++
			case "stall":
				f.Stalls++
			}
			mu.Unlock()
		}
	})
	all.Wait()
	if failed != nil {
		return failed
	}
	if err := store.fine(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	<-sent
	broken := c.stop()
	c.run = make([]*process, w.Instances)
	for i := range w.Instances {
		if _, err := c.command("record", "ship", "--settings", settings, "--agent", agentName(i)); err != nil {
			broken = append(broken, err.Error())
		}
	}
	if _, err := c.command("record", "verify", "--settings", settings); err != nil {
		broken = append(broken, err.Error())
	}
	text, err := c.command("record", "export", "--settings", settings)
	if err != nil {
		return err
	}
	log := clients.Log()
	if err := f.judge(log, text); err != nil {
		return err
	}
	f.SettledCalm, f.P99Calm, _ = share(log, calmFrom, stallFrom)
	f.SettledStall, f.P99Stall, f.StallAnswers = share(log, stallFrom, stallTo)
	f.OpenAtKills = f.open(log)
	f.RulesBroken = w.Audit()
	f.Took = time.Since(began).Seconds()
	claim := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	claim(f.Missing == 0, "missing: %d", f.Missing)
	claim(f.Duplicates == 0, "duplicates: %d", f.Duplicates)
	claim(f.Invented == 0, "invented: %d", f.Invented)
	claim(f.RulesBroken.Twice == 0, "effects twice: %d", f.RulesBroken.Twice)
	claim(f.KillsAgent > 0 && f.KillsStore > 0 && f.Stalls > 0, "not put to the test: %d kills of agents, %d of the store, "+
		"%d stalls", f.KillsAgent, f.KillsStore, f.Stalls)
	if !r.Short {
		claim(f.InDoubt <= f.OpenAtKills, "in doubt: %d, with %d txns open at kills", f.InDoubt, f.OpenAtKills)
		claim(f.KillsAgent >= r.Kills, "not put to the test: %d kills of %d", f.KillsAgent, r.Kills)
		claim(f.SettledStall >= f.SettledCalm-0.01, "settled while the store stalled: %.4f, calm %.4f", f.SettledStall, f.SettledCalm)
		claim(f.Took <= 50, "took %.0f s", f.Took)
	}
	return verdict(f, broken)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// death is when an agent died, as seen from outside.
type death struct {
	agent int
	at    time.Time
}

// armed is the point at which an agent will kill itself.
func armed(p *process) (point string, ok bool) {
	for _, e := range p.cmd.Env {
		if rest, ok := strings.CutPrefix(e, "ONYXGATE_KILL_AT="); ok {
			point, _, _ = strings.Cut(rest, ":")
			return point, true
		}
	}
	return "", false
}

// life lets one agent live until it dies at a drawn point, or is killed from outside, and starts it again. It returns where
// it died, empty where the rehearsal ended first.
func (r rec) life(ctx context.Context, c *crew, i int, chance *rand.Rand, settings string, env []string, f *recFigures,
	mu *sync.Mutex, failed *error) (at string) {
	c.mu.Lock()
	p := c.run[i]
	c.mu.Unlock()
	timer := time.NewTimer(time.Duration(600+chance.IntN(1200)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-p.done:
		at, _ = armed(p)
	case <-timer.C:
		at = "outside"
	case <-ctx.Done():
		return ""
	}
	next := append([]string(nil), env...)
	if chance.IntN(4) > 0 {
		k := killPoints[chance.IntN(len(killPoints))]
		next = append(next, fmt.Sprintf("ONYXGATE_KILL_AT=%s:%d", k.name, 1+chance.IntN(k.most)))
	}
	r.restart(c, i, chance.Uint64(), settings, next, f, mu, failed)
	return at
}

// restart kills an agent that does not lie dead yet, and starts it again.
func (r rec) restart(c *crew, i int, seed uint64, settings string, env []string, f *recFigures, mu *sync.Mutex,
	failed *error) {
	p := c.run[i]
	at := time.Now()
	p.cmd.Process.Kill()
	<-p.done
	mu.Lock()
	f.deaths = append(f.deaths, death{i, at})
	if !killed(p.err) && *failed == nil {
		*failed = fmt.Errorf("agent %s ended by itself: %w\n%s", agentName(i), p.err, c.tail(i))
	}
	mu.Unlock()
	if _, err := c.start(i, seed, settings, env...); err != nil {
		mu.Lock()
		*failed = err
		mu.Unlock()
	}
}

// seenLate is how much later than it happened a death, or an answer, may be seen here.
const seenLate = 5 * time.Millisecond

// open counts the txns that were under way at an agent's death, as their clients saw it.
func (f *recFigures) open(log []fleet.Response) (n int) {
	for _, d := range f.deaths {
		for _, g := range log {
			if g.Instance == d.agent && g.Outcome != "nobody" && g.Sent.Before(d.at) && g.Done.After(d.at.Add(-seenLate)) {
				n++
			}
		}
	}
	return n
}

// judge holds the record against what the clients got.
func (f *recFigures) judge(log []fleet.Response, text []byte) error {
	rows := map[string][]sqlstore.Row{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	seen := map[string]int{}
	for lines.Scan() {
		var r sqlstore.Row
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("export: %w", err)
		}
		key := fmt.Sprintf("%s/%d", r.Incarnation, r.Ordinal)
		if seen[key]++; seen[key] > 1 {
			f.Duplicates++
			continue
		}
		f.Recorded++
		if r.State == "in doubt" {
			f.InDoubt++
		}
		rows[r.RequestID] = append(rows[r.RequestID], r)
	}
	whole := map[string]fleet.Response{}
	for _, g := range log {
		switch g.Outcome {
		case "settled", "declined", "voided":
			whole[g.ID] = g
			f.Answers++
			found := slices.ContainsFunc(rows[g.ID], func(r sqlstore.Row) bool { return r.State != "unheard" && same(g, r) })
			if !found {
				if f.Missing++; f.Missing <= 5 {
					fmt.Fprintf(os.Stderr, "missing: %+v, record: %+v\n", g, rows[g.ID])
				}
			}
			if len(rows[g.ID]) > 1 {
				f.Duplicates++
			}
		}
	}
	for id, all := range rows {
		for _, r := range all {
			if g, ok := whole[id]; r.State == "given" && (!ok || !same(g, r)) {
				if f.Invented++; f.Invented <= 5 {
					fmt.Fprintf(os.Stderr, "invented: %+v, client: %+v\n", r, g)
				}
			}
		}
	}
	return nil
}

func same(g fleet.Response, r sqlstore.Row) bool {
	body := ""
	if g.Outcome == "settled" {
		body = hex.EncodeToString(g.Body[:])
	}
	return g.Outcome == r.Outcome && g.Class == r.Class && body == r.BodyDigest && r.Instance == agentName(g.Instance)
}

// share is how many of the answers in a span were settled, their p99 in ms and their number.
func share(log []fleet.Response, from, to time.Time) (settled, p99 float64, n int) {
	times := hdrhistogram.New(1, 60_000_000, 3)
	k := 0
	for _, g := range log {
		if g.Sent.Before(from) || g.Sent.After(to) {
			continue
		}
		if n++; g.Outcome == "settled" {
			k++
			times.RecordValue(max(g.Done.Sub(g.Sent).Microseconds(), 1))
		}
	}
	return float64(k) / float64(max(n, 1)), float64(times.ValueAtQuantile(99)) / 1000, n
}

func (r rec) settings(dir string, s storeStand) (string, error) {
	path := filepath.Join(dir, "onyxgate.toml")
	text := fmt.Sprintf("[record]\nmode = \"spool\"\ndirectory = %q\nsegment = \"16KiB\"\ngroup_bytes = \"8KiB\"\n"+
		"budget = \"64MiB\"\n\n[record.store]\nevery = \"50ms\"\ntimeout = \"1s\"\nbatch = 200\n%s", filepath.Join(dir, "spool"),
		s.table())
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// storeStand is the store that the rehearsal stalls and kills.
type storeStand interface {
	table() string // for [record.store]
	stall(on bool) error
	fault(k int, chance *rand.Rand) (string, error) // one that is over when it returns
	fine() error
	end()
}

func (r rec) store(dir string) (storeStand, error) {
	if r.Store == "postgres" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &pgStore{address: l.Addr().String(), file: filepath.Join(dir, "pg.ndjson"),
			password: filepath.Join(dir, "password")}
		l.Close()
		if err := os.WriteFile(s.password, []byte(pgPassword+"\n"), 0o600); err != nil {
			return nil, err
		}
		return s, s.start()
	}
	return &liteStore{path: filepath.Join(dir, "record.db")}, nil
}

// child is this program with another task; what is written to it is its orders.
func child(args ...string) (*exec.Cmd, io.WriteCloser, *bufio.Scanner, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, nil, err
	}
	c := exec.Command(self, args...)
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, nil, err
	}
	return c, in, bufio.NewScanner(out), c.Start()
}

// liteStore is a SQLite file; whoever holds its write lock stalls it.
type liteStore struct {
	path string
	cmd  *exec.Cmd
	in   io.WriteCloser
}

func (s *liteStore) table() string { return fmt.Sprintf("kind = \"sqlite\"\npath = %q\n", s.path) }

func (s *liteStore) stall(on bool) error {
	if !on {
		s.in.Close()
		return s.cmd.Wait()
	}
	c, in, out, err := child("holdlite", s.path)
	if err != nil {
		return err
	}
	if s.cmd, s.in = c, in; !out.Scan() {
		return fmt.Errorf("the lock of %s was not had", s.path)
	}
	return nil
}

func (s *liteStore) fault(k int, chance *rand.Rand) (string, error) {
	if err := s.stall(true); err != nil {
		return "", err
	}
	time.Sleep(time.Duration(100+chance.IntN(600)) * time.Millisecond)
	if k%2 == 0 { // within its transaction
		s.cmd.Process.Kill()
		s.cmd.Wait()
		return "kill", nil
	}
	return "stall", s.stall(false)
}

func (s *liteStore) fine() error { return nil }
func (s *liteStore) end() {
	if s.cmd != nil {
		s.in.Close()
	}
}

// holder is the process that holds the lock.
type holder struct {
	Path string `arg:""`
}

func (h holder) Run() error {
	s, err := sqlite.Open(h.Path, 10*time.Second)
	if err != nil {
		return err
	}
	if err := s.Migrate(context.Background()); err != nil {
		return err
	}
	return s.HoldWriteLock(context.Background(), func() {
		fmt.Println("held")
		io.Copy(io.Discard, os.Stdin)
	})
}

const (
	pgUser     = "accounts"
	pgPassword = "not a secret: a stand-in's"
)

// pgStore is the stand-in of a PostgreSQL server as a process of its own.
type pgStore struct {
	address, file, password string
	cmd                     *exec.Cmd
	in                      io.WriteCloser
}

func (s *pgStore) table() string {
	return fmt.Sprintf("kind = \"postgres\"\naddress = %q\ndatabase = \"accounts\"\nuser = %q\npassword_file = %q\ntls = \"disable\"\n",
		s.address, pgUser, s.password)
}

func (s *pgStore) start() error {
	c, in, out, err := child("pgwire", "--listen", s.address, "--file", s.file)
	if err != nil {
		return err
	}
	if s.cmd, s.in = c, in; !out.Scan() {
		return fmt.Errorf("the stand-in of the store does not start")
	}
	return nil
}

func (s *pgStore) order(mode string) error {
	_, err := fmt.Fprintln(s.in, mode)
	return err
}

func (s *pgStore) stall(on bool) error {
	if on {
		return s.order("stall")
	}
	return s.order("")
}

func (s *pgStore) fault(k int, chance *rand.Rand) (string, error) {
	modes := []string{"kill", "stall", "cut", "lose", "refuse", "40001", "53300", "57P01"}
	mode := modes[k%len(modes)]
	if mode == "kill" {
		s.cmd.Process.Kill()
		s.cmd.Wait()
		time.Sleep(time.Duration(100+chance.IntN(300)) * time.Millisecond)
		return mode, s.start()
	}
	if err := s.order(mode); err != nil {
		return mode, err
	}
	time.Sleep(time.Duration(200+chance.IntN(500)) * time.Millisecond)
	return mode, s.order("")
}

func (s *pgStore) fine() error { return s.order("") }

func (s *pgStore) end() {
	s.in.Close()
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// pgStand is that process.
type pgStand struct {
	Listen string `required:""`
	File   string `required:""`
}

func (p pgStand) Run() error {
	s, err := postgres.New(p.File, pgUser, pgPassword)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	go s.Serve(l)
	fmt.Println("ready")
	orders := bufio.NewScanner(os.Stdin)
	for orders.Scan() {
		s.Fail(orders.Text())
	}
	return nil
}
