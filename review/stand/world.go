package main

// The surroundings of an agent: discovery, the platform and the appliances.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// zones holds the one zone of the appliances and the agents.
var zones = []string{"hall"}

// world holds the stand-ins that the agent calls.
type world struct {
	trial      *trial
	discovery  net.Listener
	platform   net.Listener
	appliances []*appliance

	mu     sync.Mutex
	silent bool // discovery is down
}

// newWorld starts discovery, a platform with one released build, and n warm appliances.
func (t *trial) newWorld(n int, work time.Duration) (*world, error) {
	w := &world{trial: t}
	var err error
	if w.discovery, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if w.platform, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range n {
		a, err := t.newAppliance(fmt.Sprintf("s-%08x", 0x51a0+i), work)
		if err != nil {
			return nil, err
		}
		w.appliances = append(w.appliances, a)
	}
	go func() { _ = http.Serve(w.discovery, http.HandlerFunc(w.serveDiscovery)) }()
	go func() { _ = http.Serve(w.platform, http.HandlerFunc(w.servePlatform)) }()
	return w, nil
}

// list returns the whole list.
func (w *world) list() object {
	servers := []object{}
	for _, a := range w.appliances {
		servers = append(servers, a.entry("Ready"))
	}
	return object{"version": 41, "full": true, "servers": servers}
}

// setSilent starts or ends an outage of discovery: it accepts connections and says nothing.
func (w *world) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *world) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

func (w *world) serveDiscovery(writer http.ResponseWriter, r *http.Request) {
	if w.isSilent() {
		<-r.Context().Done()
		return
	}
	text, _ := json.Marshal(w.list())
	if r.URL.Query().Get("watch") == "" {
		_, _ = writer.Write(text)
		return
	}
	flush := writer.(http.Flusher).Flush
	_, _ = fmt.Fprintf(writer, "%s\n", text)
	flush()
	for r.Context().Err() == nil {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
			if !w.isSilent() {
				_, _ = io.WriteString(writer, "\n")
				flush()
			}
		}
	}
}

const released = "release=7&tranche=3&mode=stable&exposure=1&old_ms=600000"

func (w *world) servePlatform(writer http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/notices" {
		writer.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(writer, "<Error><Code>STALE</Code></Error>")
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flush := writer.(http.Flusher).Flush
	_, _ = io.WriteString(writer, "event: stage\ndata: "+released+"\n\n")
	flush()
	for r.Context().Err() == nil {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
			_, _ = io.WriteString(writer, ":\n")
			flush()
		}
	}
}

func news() object {
	return object{"release": 7, "tranche": 3, "mode": "stable", "exposure": 1, "old_ms": 600000}
}

// appliance runs each request for a fixed time on as many cores as are asked for.
type appliance struct {
	trial    *trial
	id       string
	listener net.Listener
	work     time.Duration

	mu       sync.Mutex
	attempts []attempt
}

// attempt is a request that has reached an appliance, whole.
type attempt struct {
	id        string // Req-Id
	at        time.Time
	told      time.Duration // Req-Deadline
	appliance string
}

func (t *trial) newAppliance(id string, work time.Duration) (*appliance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &appliance{trial: t, id: id, listener: listener, work: work}
	go func() { _ = http.Serve(listener, a) }()
	return a, nil
}

func (a *appliance) entry(state string) object {
	return object{
		"id": a.id, "addr": a.listener.Addr().String(), "zone": zones[0], "kind": "k", "cell": 0, "state": state,
		"weight": 1.0, "started_ms": 0, "version_no": 7,
	}
}

// ServeHTTP runs one request. A request that the agent gives up goes on.
func (a *appliance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/alive" || r.URL.Path == "/metrics/load" {
		return
	}
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Req-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	told, _ := time.ParseDuration(strings.Replace(r.Header.Get("Req-Deadline"), "m", "ms", 1))
	a.mu.Lock()
	a.attempts = append(a.attempts, attempt{id, time.Now(), told, a.id})
	a.mu.Unlock()
	a.trial.note("appliance %s begins %s, told %v", a.id, id, told)
	time.Sleep(a.work)
	text := "done " + id
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// attempts returns all attempts by request.
func (w *world) attempts() map[string][]attempt {
	byID := map[string][]attempt{}
	for _, a := range w.appliances {
		a.mu.Lock()
		for _, attempt := range a.attempts {
			byID[attempt.id] = append(byID[attempt.id], attempt)
		}
		a.mu.Unlock()
	}
	return byID
}

// config returns an agent's configuration.
func (w *world) config(a *agent, seed int, settings object) object {
	return object{
		"name": a.name, "listen": a.address, "discovery": w.discovery.Addr().String(), "seed": fmt.Sprintf("%x", seed),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"pipeline": object{"address": w.platform.Addr().String(), "news": news()},
		"known":    w.list(), "settings": settings,
	}
}
