package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one backend in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	Build   int     `json:"version_no"`
}

type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// fleet is the true list of backends. It keeps the latest changes only, as a server of lists may: a reader that is further
// behind gets the whole list.
type fleet struct {
	mu      sync.Mutex
	version int
	kept    int // changes that are kept
	entries []entry
	changes []list
	changed chan struct{} // closed and replaced at each change
}

func newFleet(entries []entry, kept int) *fleet {
	return &fleet{version: 1, kept: kept, entries: entries, changed: make(chan struct{})}
}

// set changes one or more backends. A backend with state Gone leaves the list.
func (f *fleet) set(changed ...entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	for _, c := range changed {
		rest := f.entries[:0:0]
		for _, e := range f.entries {
			if e.ID != c.ID {
				rest = append(rest, e)
			}
		}
		if c.State != "Gone" {
			rest = append(rest, c)
		}
		f.entries = rest
	}
	f.changes = append(f.changes, list{f.version, false, changed})
	if len(f.changes) > f.kept {
		f.changes = f.changes[len(f.changes)-f.kept:]
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// whole returns the whole list.
func (f *fleet) whole() list {
	f.mu.Lock()
	defer f.mu.Unlock()
	return list{f.version, true, append([]entry{}, f.entries...)}
}

// after returns what a reader at the given version lacks, and a channel that is closed at the next change.
func (f *fleet) after(version int) (lists []list, next <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case version == f.version:
	case version > f.version || version < f.version-len(f.changes):
		lists = []list{{f.version, true, append([]entry{}, f.entries...)}}
	default:
		for _, c := range f.changes {
			if c.Version > version {
				lists = append(lists, c)
			}
		}
	}
	return lists, f.changed
}

// discovery serves the fleet's list to one instance.
type discovery struct {
	world *world
	fleet *fleet
	name  string
	// delay is how long an answer to a call takes. It must not change while the server runs.
	delay time.Duration
	// onTold is called after a list was written to the instance.
	onTold func(l list, at time.Time)

	listener net.Listener
	mu       sync.Mutex
	down     bool
	conns    map[net.Conn]bool
}

func (d *discovery) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listener, d.conns = l, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			down := d.down
			d.conns[c] = true
			d.mu.Unlock()
			if down { // silent: the connection is closed when discovery is back
				continue
			}
			go d.handle(c)
		}
	}()
	return nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// setDown makes discovery silent, or lets it come back. Connections of before are closed at its return.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if !down {
		for c := range d.conns {
			c.Close()
		}
		d.conns = map[net.Conn]bool{}
	}
	d.world.note("discovery of %s: down %v", d.name, down)
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

func (d *discovery) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.world.note("discovery of %s: asked %s", d.name, r.RequestURI)
		time.Sleep(d.delay)
		if r.URL.Path != "/discovery/hosts" {
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Query().Get("watch") == "" {
			whole := d.fleet.whole()
			body, _ := json.Marshal(whole)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
			d.told(whole)
			continue
		}
		version, _ := strconv.Atoi(r.URL.Query().Get("after"))
		d.watch(c, version)
		return
	}
}

func (d *discovery) told(l list) {
	now := time.Now()
	text, _ := json.Marshal(l)
	d.world.note("discovery of %s: told %s", d.name, text)
	if d.onTold != nil {
		d.onTold(l, now)
	}
}

// watch sends what the reader lacks, then every change, and an empty line every 2 s.
func (d *discovery) watch(c net.Conn, version int) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	for first := true; ; first = false {
		lists, next := d.fleet.after(version)
		if first && len(lists) == 0 {
			lists = []list{{version, false, []entry{}}}
		}
		for _, l := range lists {
			if d.isDown() {
				break
			}
			text, _ := json.Marshal(l)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
				return
			}
			version = l.Version
			d.told(l)
		}
		for quiet := true; quiet; {
			select {
			case <-next:
				quiet = false
			case <-time.After(2 * time.Second):
				if d.isDown() {
					continue
				}
				if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
					return
				}
			}
		}
		for d.isDown() {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
