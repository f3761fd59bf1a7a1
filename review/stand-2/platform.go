package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// newsState is the state of the newest build.
type newsState struct {
	build, stage int
	mode         string
	exposure     float64
	since        time.Time
}

func (n newsState) old() float64 {
	if n.since.IsZero() {
		return 600000
	}
	return float64(time.Since(n.since)) / 1e6
}

func (n newsState) fields() map[string]any {
	return map[string]any{"release": n.build, "tranche": n.stage, "mode": n.mode, "exposure": n.exposure, "old_ms": int(n.old())}
}

// platform tells the state of the newest build and takes votes. Its rollout does not move by itself.
type platform struct {
	world    *world
	listener net.Listener
	mu       sync.Mutex
	state    newsState
	changed  chan struct{}
}

func (p *platform) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener, p.changed = l, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /notices", p.notices)
	mux.HandleFunc("POST /", p.vote)
	go http.Serve(l, mux)
	return nil
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) current() (newsState, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed
}

func (p *platform) notices(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	sent := time.Time{}
	for {
		state, changed := p.current()
		text := ": \n\n"
		if time.Since(sent) >= 4*time.Second {
			text = fmt.Sprintf("event: stage\ndata: release=%d&tranche=%d&mode=%s&exposure=%g&old_ms=%d\n\n",
				state.build, state.stage, state.mode, state.exposure, int(state.old()))
			sent = time.Now()
		}
		if _, err := fmt.Fprint(w, text); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			sent = time.Time{}
		case <-time.After(time.Second):
		}
	}
}

func (p *platform) vote(w http.ResponseWriter, r *http.Request) {
	state, _ := p.current()
	build, _ := strconv.Atoi(r.FormValue("release"))
	stage, _ := strconv.Atoi(r.FormValue("tranche"))
	p.world.note("platform: vote %s for build %d, stage %d", r.FormValue("ruling"), build, stage)
	w.Header().Set("Content-Type", "application/xml")
	if build != state.build || stage != state.stage || state.mode != "canary" {
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `<?xml version="1.0"?><Error><Code>STALE</Code></Error>`)
		return
	}
	fmt.Fprintf(w, `<?xml version="1.0"?><Response><groups><item><release>%d</release><tranche>%d</tranche><mode>%s</mode><exposure>%g</exposure><old_ms>%d</old_ms></item></groups></Response>`,
		state.build, state.stage, state.mode, state.exposure, int(state.old()))
}
