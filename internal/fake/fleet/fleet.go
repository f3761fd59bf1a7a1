// Package fleet stands in for the platform's side on loopback: appliances, discovery and the pipeline, by the users'
// protocol, with what rehearsals have to count from outside. It is small on purpose: no model of a fleet grows here.
package fleet

// This file owns the world: who is in the fleet, the roll-out, and the configuration that an agent starts with.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Class is one as clients and appliances know it.
type Class struct {
	Name             string
	Share            float64
	Work             time.Duration
	LatencyObjective time.Duration
	Timeout          time.Duration
	Semantics        string // repeatable, by_key, once
	DedupWindow      time.Duration
}

// Classes are the rehearsals' own.
var Classes = []Class{
	{"preview", 0.5, 20 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, "repeatable", 0},
	{"export", 0.3, 30 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, "by_key", 10 * time.Second},
	{"order", 0.2, 25 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, "once", 0},
}

// What the contract of these rehearsals says; times as the agents are told.
const (
	Grace        = 1000 * time.Millisecond // for drains
	ColdFrom     = 0.4
	WarmUp       = 3 * time.Second
	Overload     = 4.0
	FallTime     = time.Second
	FreeAttempts = 2
	Window       = 4 * time.Second
)

var (
	stageShares = []float64{0.2, 0.5, 1}
	stageCaps   = []float64{0.25, 0.6, 1}
)

// Stage is where the newest build stood from a time on.
type Stage struct {
	At      time.Time
	Release int
	Stage   int
	Mode    string
	Cap     float64
}

// Fleet is the platform's side for a number of agents.
type Fleet struct {
	Instances          int
	mu                 sync.Mutex
	random             *rand.Rand
	backends           []*Backend // all that ever were, in the order of their start
	listVersion        int        // version of the list
	stage              Stage
	Stages             []Stage
	stageBegan         time.Time // of the stage
	endpointStreams    map[*subscriber]bool
	noticeStreams      map[*subscriber]bool
	discoveryListeners []net.Listener // discovery's, one an agent
	platformListener   net.Listener
	Votes              map[string]int
	keyRanAt           map[string]time.Time // of referenced txns, when first run
	executions         map[string]int       // once-only txns, by id
	requestsAt         [][]time.Time        // txns by agent, for exposure
	canaryAttemptsAt   [][]time.Time        // submissions at the build on trial, by agent
	Violations         Violations
	Linger             time.Duration               // that an appliance stands after it is listed as gone
	muted              map[int]bool                // agents whose discovery is silent
	DrainsNotified     int                         // told
	LatestAfterDrain   time.Duration               // the latest work at an appliance after its agent was told that it drains or is gone
	reachedInSecond    []map[int64]map[string]bool // appliances that an agent's work reached, by second

	KeyAffinity      bool           // a key that a release has answered goes to no earlier one
	PlatformOverride map[int]string // where an agent finds the platform, in place of its own address
	manual           bool           // votes move nothing
	attempts         map[int]int    // that reached backends, by release
	affinity         affinity

	closedAt    map[instanceRelease]time.Time // when an agent was told that a release's cap is 0
	closedSeen  Closed
	incarnation []int // of each agent, counted
}

// Violations counts breaches of the rules as seen from outside; lost txns are the clients' to count.
type Violations struct {
	Twice, Drains, Fallen, Exposure int
}

// New starts a world of so many appliances of build 1, each with some cores.
func New(agents, appliances, cores int, seed uint64) (*Fleet, error) {
	w := &Fleet{
		Instances: agents, random: rand.New(rand.NewPCG(seed, 1)), endpointStreams: map[*subscriber]bool{},
		noticeStreams: map[*subscriber]bool{}, Votes: map[string]int{}, keyRanAt: map[string]time.Time{}, executions: map[string]int{},
		requestsAt: make([][]time.Time, agents), canaryAttemptsAt: make([][]time.Time, agents), muted: map[int]bool{},
		PlatformOverride: map[int]string{}, closedAt: map[instanceRelease]time.Time{}, incarnation: make([]int, agents), attempts: map[int]int{}, affinity: affinity{answers: map[instanceKey][]answeredBy{}, rolledBack: map[int]bool{}},
	}
	for range agents {
		w.reachedInSecond = append(w.reachedInSecond, map[int64]map[string]bool{})
	}
	w.stage = Stage{At: time.Now(), Release: 1, Stage: len(stageShares) - 1, Mode: "stable", Cap: 1}
	w.Stages = []Stage{w.stage}
	for range appliances {
		if err := w.startBackend(1, cores, time.Time{}); err != nil {
			return nil, err
		}
	}
	for i := range agents {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.discoveryListeners = append(w.discoveryListeners, l)
		go w.serveDiscovery(i, l)
	}
	var err error
	if w.platformListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go w.servePlatform(w.platformListener)
	return w, nil
}

// PlatformAddress is the platform's own address.
func (w *Fleet) PlatformAddress() string { return w.platformListener.Addr().String() }

// Close ends it all.
func (w *Fleet) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range append(w.discoveryListeners, w.platformListener) {
		l.Close()
	}
	for _, a := range w.backends {
		a.close()
	}
}

func (w *Fleet) startBackend(build, cores int, at time.Time) error {
	a, err := newBackend(w, fmt.Sprintf("a%d", len(w.backends)+1), build, cores, at)
	if err == nil {
		w.backends = append(w.backends, a)
		w.listVersion++
	}
	return err
}

// StartRollout begins the roll-out of a build; bad is the share of txns that it fails.
func (w *Fleet) StartRollout(build int, bad float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enterStage(Stage{At: time.Now(), Release: build, Stage: 0, Mode: "canary", Cap: stageCaps[0]}, bad)
}

// enterStage begins a stage: its machines start, and each one's predecessor drains. Under the lock.
func (w *Fleet) enterStage(s Stage, bad float64) {
	w.stage, w.stageBegan = s, s.At
	w.Stages = append(w.Stages, s)
	w.broadcastStage()
	target := 1.0
	if s.Mode == "canary" {
		target = stageShares[s.Stage]
	}
	running, done, cores := []*Backend{}, 0, 1
	for _, a := range w.backends {
		if a.state != "Ready" {
			continue
		}
		if cores = a.cores; a.Release == s.Release {
			done++
		} else {
			running = append(running, a)
		}
	}
	if s.Mode == "reverting" { // machines of the build that goes drain; the earlier one's start in their place
		for _, a := range w.backends {
			if a.state == "Ready" && a.Release == s.Release {
				w.startBackend(s.Release-1, cores, time.Now())
				w.drain(a)
			}
		}
		w.publishEndpoints()
		return
	}
	all := len(running) + done
	for i := 0; done < int(target*float64(all)+0.5) && i < len(running); i++ {
		if w.startBackend(s.Release, cores, time.Now()) != nil {
			return
		}
		w.backends[len(w.backends)-1].failureShare = bad
		w.drain(running[i])
		done++
	}
	w.publishEndpoints()
}

func (w *Fleet) drain(a *Backend) {
	a.state = "Terminating"
	time.AfterFunc(3*time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		a.state = "Gone"
		w.publishEndpoints()
		time.AfterFunc(w.Linger, a.close)
	})
}

// handleVote takes one and says by which status and code it is answered.
func (w *Fleet) handleVote(build, stage int, ruling string) (status int, code string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Votes[ruling]++
	s := w.stage
	switch {
	case w.manual && build == s.Release:
		return 200, ""
	case build != s.Release || stage != s.Stage || s.Mode != "canary" && ruling != "abort":
		return 400, "STALE"
	case ruling == "promote" && time.Since(w.stageBegan) > time.Second && s.Stage+1 < len(stageShares):
		w.enterStage(Stage{time.Now(), s.Release, s.Stage + 1, "canary", stageCaps[s.Stage+1]}, w.failureShare(s.Release))
	case ruling == "promote" && time.Since(w.stageBegan) > time.Second:
		w.enterStage(Stage{time.Now(), s.Release, s.Stage, "stable", 1}, w.failureShare(s.Release))
	case ruling == "abort":
		w.enterStage(Stage{time.Now(), s.Release, s.Stage, "reverting", 0}, 0)
	}
	return 200, ""
}

func (w *Fleet) failureShare(build int) float64 {
	for _, a := range w.backends {
		if a.Release == build {
			return a.failureShare
		}
	}
	return 0
}

// CurrentStage is the stage now.
func (w *Fleet) CurrentStage() Stage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stage
}

// RequestSent notes that an agent was given a txn.
func (w *Fleet) RequestSent(agent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestsAt[agent] = append(w.requestsAt[agent], time.Now())
}

// Audit counts what can only be counted at the end: in any window an agent's submissions at the build on trial are at most
// the free ones and the cap's share of the txns that it took, with the two submissions and 4% that the protocol lets pass.
func (w *Fleet) Audit() Violations {
	w.mu.Lock()
	defer w.mu.Unlock()
	for agent, tries := range w.canaryAttemptsAt {
		taken, lo, from := w.requestsAt[agent], 0, 0
		for i, t := range tries {
			for tries[lo].Before(t.Add(-Window)) {
				lo++
			}
			for from < len(taken) && taken[from].Before(t.Add(-Window)) {
				from++
			}
			n := 0
			for _, at := range taken[from:] {
				if at.After(t) {
					break
				}
				n++
			}
			most := 0.0 // of the caps in force in the window: a lower one binds once the window has passed
			for k, s := range w.Stages {
				if s.At.Before(t) && (k+1 == len(w.Stages) || w.Stages[k+1].At.After(t.Add(-Window))) {
					most = max(most, s.Cap)
				}
			}
			if float64(i-lo+1) > FreeAttempts+2+(most+0.04)*float64(n) {
				w.Violations.Exposure++
			}
		}
	}
	return w.Violations
}

// Configuration is what an agent starts with.
func (w *Fleet) Configuration(agent int, name, listen string, seed uint64) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var grades []map[string]any
	for _, p := range Classes {
		grades = append(grades, map[string]any{
			"name": p.Name, "aim-us": us(p.LatencyObjective), "deadline-us": us(p.Timeout), "worth": 1,
			"late-value": 0.1, "effect": p.Semantics, "key-scope": "all", "key-ttl-us": us(p.DedupWindow),
		})
	}
	s := w.stage
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": w.discoveryListeners[agent].Addr().String(),
		"seed": fmt.Sprintf("%x", seed), "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"pipeline": map[string]any{"address": cmp.Or(w.PlatformOverride[agent], w.PlatformAddress()), "news": map[string]any{
			"release": s.Release,
			"tranche": s.Stage, "mode": s.Mode, "exposure": s.Cap, "old_ms": time.Since(s.At).Milliseconds(),
		}},
		"known": w.endpointList(agent, true),
		"settings": map[string]any{
			"me": agent, "balancers": w.Instances, "grades": grades, "dcs": []string{"z"},
			"skus": []string{"m"}, "discovery": "push", "report": map[string]any{"source": "answers"},
			"limits": map[string]any{
				"max-attempts": 4, "parallel-tries": true, "cancel": true, "probes": false,
				"connect-timeout-us": 250000, "idle-close-us": 30000000,
			},
			"contract": map[string]any{
				"drain-grace-us": us(Grace), "cold-from": ColdFrom, "warm-up-us": us(WarmUp),
				"overload-factor": Overload, "fall-us": us(FallTime),
			},
			"family-info": map[string]any{
				"spare-tries": FreeAttempts, "most-shares": stageCaps, "rings": stageShares, "keys-stay": w.KeyAffinity,
				"counted-over-us": us(Window),
				"decided-by":      "single", "back-votes": 1, "ballot-ttl-us": 4000000, "call-timeout-us": 800000,
			},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func (w *Fleet) endpointList(agent int, full bool) map[string]any {
	servers := []map[string]any{}
	for _, a := range w.backends {
		if full && a.state == "Gone" {
			continue
		}
		started := int64(0)
		if !a.startedAt.IsZero() {
			started = a.startedAt.UnixMilli()
		}
		servers = append(servers, map[string]any{
			"id": a.ID, "addr": a.address(agent), "zone": "z", "kind": "m",
			"state": a.state, "weight": 1.0, "started_ms": started, "version_no": a.Release,
		})
	}
	return map[string]any{"version": w.listVersion, "full": full, "servers": servers}
}

// publishEndpoints sends the list to every watch. Under the lock.
func (w *Fleet) publishEndpoints() {
	w.listVersion++
	for l := range w.endpointStreams {
		if w.muted[l.instance] {
			continue
		}
		text, _ := json.Marshal(w.endpointList(l.instance, false))
		l.send(string(text) + "\n")
		w.noteNotified(l.instance)
	}
}

// noteNotified notes what an agent is told to end. Under the lock.
func (w *Fleet) noteNotified(agent int) {
	for _, a := range w.backends {
		if a.state != "Ready" && a.notifiedAt[agent].IsZero() {
			a.notifiedAt[agent] = time.Now()
			w.DrainsNotified++
		}
	}
}

// MuteDiscovery makes an agent's discovery silent, or lets it speak again.
func (w *Fleet) MuteDiscovery(agent int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muted[agent] = on
	w.publishEndpoints()
}

// ReplaceBackends replaces some appliances by new ones of the same build, and names these.
func (w *Fleet) ReplaceBackends(n int) (ids []string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.backends {
		if a.state == "Ready" && n > 0 {
			n--
			if err := w.startBackend(a.Release, a.cores, time.Now()); err != nil {
				return ids, err
			}
			ids = append(ids, w.backends[len(w.backends)-1].ID)
			w.drain(a)
		}
	}
	w.publishEndpoints()
	return ids, nil
}

// CountReached is how many of these appliances an agent's work reached in a span.
func (w *Fleet) CountReached(agent int, ids []string, from, to time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		for s := from.Unix(); s <= to.Unix(); s++ {
			if w.reachedInSecond[agent][s][id] {
				n++
				break
			}
		}
	}
	return n
}

// Addresses are those at which an agent finds appliances that run; all: that ever ran, too.
func (w *Fleet) Addresses(agent int, all bool) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.backends {
		if all || a.state == "Ready" {
			out = append(out, a.address(agent))
		}
	}
	return out
}

// MinReached is the least number of appliances that an agent's work reached in any whole second of a span.
func (w *Fleet) MinReached(agent int, from, to time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	least := len(w.backends)
	for s := from.Unix() + 1; s < to.Unix(); s++ {
		least = min(least, len(w.reachedInSecond[agent][s]))
	}
	return least
}

func (w *Fleet) broadcastStage() {
	for l := range w.noticeStreams {
		l.send(w.stageEvent())
	}
}

func (w *Fleet) stageEvent() string {
	s := w.stage
	return fmt.Sprintf("event: stage\ndata: release=%d&tranche=%d&mode=%s&exposure=%g&old_ms=%d\n\n", s.Release, s.Stage, s.Mode,
		s.Cap, time.Since(s.At).Milliseconds())
}
