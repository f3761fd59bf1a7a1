package fleet

// This file owns the sockets: appliances, discovery and the platform.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Backend has some cores and a queue, is cold after its start and falls over when pushed.
type Backend struct {
	ID              string
	Release         int
	fleet           *Fleet
	cores           int
	startedAt       time.Time
	state           string
	failureShare    float64
	notifiedAt      []time.Time // by agent: that it drains or is gone
	servers         []*http.Server
	listeners       []net.Listener
	slots           chan bool
	queued          atomic.Int64
	inFlight        atomic.Int64
	mu              sync.Mutex
	overloadedSince time.Time // since when it has been pushed too hard
	failed          bool
}

const maxQueue = 64

func newBackend(w *Fleet, id string, build, cores int, at time.Time) (*Backend, error) {
	a := &Backend{
		ID: id, Release: build, fleet: w, cores: cores, startedAt: at, state: "Ready",
		notifiedAt: make([]time.Time, w.Instances), slots: make(chan bool, cores),
	}
	for i := range w.Instances { // an address for each agent, by which its calls are known
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { a.serve(i, rw, r) })}
		a.listeners, a.servers = append(a.listeners, l), append(a.servers, s)
		go s.Serve(l)
	}
	return a, nil
}

func (a *Backend) address(agent int) string { return a.listeners[agent].Addr().String() }

func (a *Backend) close() {
	for _, s := range a.servers {
		s.Close()
	}
}

// speed is its part of full speed: a fresh one is cold.
func (a *Backend) speed() float64 {
	if a.startedAt.IsZero() {
		return 1
	}
	return min(ColdFrom+(1-ColdFrom)*float64(time.Since(a.startedAt))/float64(WarmUp), 1)
}

// survivesLoad tells whether it still stands: more than Overload times what it can do now, for FallTime, and it falls for good.
func (a *Backend) survivesLoad() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startedAt.IsZero() || a.speed() >= 1 {
		return !a.failed
	}
	if float64(a.inFlight.Load()) <= Overload*a.speed()*float64(a.cores) {
		a.overloadedSince = time.Time{}
	} else if a.overloadedSince.IsZero() {
		a.overloadedSince = time.Now()
	} else if time.Since(a.overloadedSince) > FallTime && !a.failed {
		a.failed = true
		a.fleet.mu.Lock()
		a.fleet.Violations.Fallen++
		a.fleet.mu.Unlock()
	}
	return !a.failed
}

func (a *Backend) serve(agent int, rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, mark := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	product := Classes[0]
	for _, p := range Classes {
		if len(r.URL.Path) > len(p.Name) && r.URL.Path[1:1+len(p.Name)] == p.Name {
			product = p
		}
	}
	w := a.fleet
	w.mu.Lock()
	if t := a.notifiedAt[agent]; !t.IsZero() {
		w.LatestAfterDrain = max(w.LatestAfterDrain, time.Since(t))
		if time.Since(t) > Grace+50*time.Millisecond {
			w.Violations.Drains++
		}
	}
	second := time.Now().Unix()
	if w.reachedInSecond[agent][second] == nil {
		w.reachedInSecond[agent][second] = map[string]bool{}
	}
	w.reachedInSecond[agent][second][a.ID] = true
	if s := w.stage; a.Release == s.Release && s.Mode == "canary" {
		w.canaryAttemptsAt[agent] = append(w.canaryAttemptsAt[agent], time.Now())
	}
	key := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	w.attempts[a.Release]++
	w.affinity.checkAttempt(agent, key, id, a.Release)
	w.checkClosed(agent, a.Release, id)
	draining, process := a.state != "Ready", w.incarnation[agent]
	w.mu.Unlock()
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if !a.survivesLoad() {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Srv-Load", fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", a.inFlight.Load(), a.queued.Load(),
		float64(len(a.slots))/float64(a.cores)))
	if draining || a.queued.Load() >= maxQueue {
		reject(rw)
		return
	}
	a.queued.Add(1)
	select {
	case a.slots <- true:
		a.queued.Add(-1)
	case <-r.Context().Done(): // given up while it waited: it never ran
		a.queued.Add(-1)
		return
	}
	defer func() { <-a.slots }()
	again := w.beginExecution(product, id, mark)
	if !again {
		time.Sleep(time.Duration(float64(product.Work) / a.speed() * (0.8 + 0.4*rand.Float64())))
	}
	if rand.Float64() < a.failureShare {
		http.Error(rw, "broken", http.StatusInternalServerError)
		return
	}
	answer := fmt.Sprintf("%s %s %x", product.Name, id, len(body))
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(rw, answer)
	w.mu.Lock()
	if process == w.incarnation[agent] {
		w.affinity.recordAnswer(agent, key, a.Release)
	}
	w.mu.Unlock()
}

func reject(rw http.ResponseWriter) {
	rw.Header().Set("Srv-Declined", "1")
	http.Error(rw, "full", http.StatusServiceUnavailable)
}

// beginExecution notes that a txn runs, and tells whether it is a repeat that is dropped.
func (w *Fleet) beginExecution(p Class, id, mark string) (dropped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch p.Semantics {
	case "once":
		if w.executions[id]++; w.executions[id] > 1 {
			w.Violations.Twice++
		}
	case "by_key":
		if at, ok := w.keyRanAt[mark]; ok {
			if time.Since(at) < p.DedupWindow {
				return true
			}
			w.Violations.Twice++
		}
		w.keyRanAt[mark] = time.Now()
	}
	return false
}

// subscriber is one open stream.
type subscriber struct {
	instance int
	lines    chan string
}

func (l *subscriber) send(text string) {
	select {
	case l.lines <- text:
	default: // a reader that far behind gets the rest when it comes again
	}
}

// stream writes what comes to one listener until it goes away.
// where quiet tells so, no sign of life is given.
func stream(ctx context.Context, rw http.ResponseWriter, l *subscriber, kind, first, life string, every time.Duration,
	quiet func() bool,
) {
	rw.Header().Set("Content-Type", kind)
	out := http.NewResponseController(rw)
	tick := time.NewTicker(every)
	defer tick.Stop()
	text := first
	for {
		if _, err := io.WriteString(rw, text); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case text = <-l.lines:
		case <-tick.C:
			if text = life; quiet() {
				text = ""
			}
		}
	}
}

func (w *Fleet) serveDiscovery(agent int, l net.Listener) {
	http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		if w.muted[agent] { // silent to the end of the connection
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		text, _ := json.Marshal(w.endpointList(agent, true))
		w.noteNotified(agent)
		if r.URL.Query().Get("watch") == "" {
			w.mu.Unlock()
			rw.Write(text)
			return
		}
		s := &subscriber{agent, make(chan string, 64)}
		w.endpointStreams[s] = true
		w.mu.Unlock()
		stream(r.Context(), rw, s, "application/json", string(text)+"\n", "\n", 2*time.Second, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.muted[agent]
		})
		w.mu.Lock()
		delete(w.endpointStreams, s)
		w.mu.Unlock()
	}))
}

func (w *Fleet) servePlatform(l net.Listener) {
	http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/notices" {
			w.mu.Lock()
			s := &subscriber{0, make(chan string, 64)}
			w.noticeStreams[s] = true
			first := w.stageEvent()
			w.mu.Unlock()
			stream(r.Context(), rw, s, "text/event-stream", first, ":\n", time.Second, func() bool { return false })
			w.mu.Lock()
			delete(w.noticeStreams, s)
			w.mu.Unlock()
			return
		}
		build, err1 := strconv.Atoi(r.FormValue("release"))
		stage, err2 := strconv.Atoi(r.FormValue("tranche"))
		status, code := 400, "SYNTAX"
		if err1 == nil && err2 == nil && r.FormValue("Action") == "CastVote" {
			status, code = w.handleVote(build, stage, r.FormValue("ruling"))
		}
		s := w.CurrentStage()
		text := fmt.Sprintf(`<?xml version="1.0"?><Response><groups><item><release>%d</release><tranche>%d</tranche>`+
			`<mode>%s</mode><exposure>%g</exposure><old_ms>%d</old_ms></item></groups></Response>`, s.Release, s.Stage, s.Mode, s.Cap,
			time.Since(s.At).Milliseconds())
		if status != 200 {
			text = "<Error><Code>" + code + "</Code></Error>"
		}
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		rw.WriteHeader(status)
		io.WriteString(rw, text)
	}))
}
