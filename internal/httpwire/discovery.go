package httpwire

// This file owns what discovery tells: the watch, whole lists, and where each appliance listens. It hands every change
// to the module as it comes and must never hold one back, drop an appliance that is only unreachable, or wait on
// traffic.

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	controlUp   = time.Second     // for a connection to discovery or the platform to come up
	watchSilent = 5 * time.Second // an empty line comes every 2 s
	fetchWait   = 2 * time.Second // for a whole list
	againFirst  = 100.0           // ms; the pause before a broken stream is opened again, doubled each time
	againMost   = 2000.0
	linesMost   = 8 << 20 // a list in one line
)

// Discovery follows the list.
type Discovery struct {
	core         *core.Core
	dial         Dial
	address      string
	zones, kinds []string
	asked        bool
	forget       func(address string)
	chance       *rand.Rand
	asks         chan bool // true: whole list, false: the watch
	mu           sync.RWMutex
	version      int64
	where        map[string]string
	started      map[string]float64
}

// NewDiscovery makes one; where the list is only told to those who ask, the module opens the watch.
func NewDiscovery(c *core.Core, dial Dial, address string, zones, kinds []string, asked bool, seed uint64) *Discovery {
	return &Discovery{core: c, dial: dial, address: address, zones: zones, kinds: kinds, asked: asked,
		forget: func(string) {}, chance: policy.Chance(seed), asks: make(chan bool, 16),
		where: map[string]string{}, started: map[string]float64{}}
}

// Forgetting names what is called for an address that an appliance has left.
func (d *Discovery) Forgetting(forget func(address string)) { d.forget = forget }

// Address is where an appliance listens; empty: it is not listed.
func (d *Discovery) Address(appliance string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.where[appliance]
}

// Version is the last list's, and how many appliances it names.
func (d *Discovery) Version() (int64, int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version, len(d.where)
}

// Ask passes on the module's own calls; it never waits.
func (d *Discovery) Ask(whole bool) {
	select {
	case d.asks <- whole:
	default:
	}
}

// Run follows discovery until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	watching := make(chan error, 1)
	open := !d.asked
	pause := againFirst
	var again <-chan time.Time
	start := func() {
		again = nil
		go func() { watching <- d.watch(ctx) }()
	}
	if open {
		start()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case whole := <-d.asks:
			if whole {
				go d.fetch(ctx)
			} else if !open {
				open = true
				start()
			}
		case <-again:
			start()
		case err := <-watching:
			told := !errors.Is(err, errSaidNothing)
			if told {
				pause = againFirst
			}
			if ctx.Err() != nil {
				return
			}
			logrus.WithError(err).Warn("watch lost")
			if d.asked { // the module says when to ask again
				open = false
				d.core.ListFailed()
				continue
			}
			again = time.After(time.Duration(pause * (0.5 + d.chance.Float64()) * 1e6))
			pause = min(2*pause, againMost)
		}
	}
}

var errSaidNothing = errors.New("nothing came")

// watch reads one watch until it breaks or falls silent.
func (d *Discovery) watch(ctx context.Context) error {
	version, _ := d.Version()
	path := fmt.Sprintf("/discovery/hosts?watch=1&after=%d", version)
	c, resp, err := open(ctx, d.dial, d.address, path, watchSilent)
	if err != nil {
		return fmt.Errorf("%w: %w", errSaidNothing, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errSaidNothing, resp.StatusCode)
	}
	logrus.WithField("after", version).Info("watch stands")
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, linesMost)
	told := false
	for err == nil && lines.Scan() {
		c.SetReadDeadline(time.Now().Add(watchSilent))
		if len(lines.Bytes()) > 0 {
			err = d.Take(lines.Bytes(), false)
		}
		told = told || err == nil
	}
	if err = cmp.Or(err, lines.Err(), errors.New("it ended")); !told {
		return fmt.Errorf("%w: %w", errSaidNothing, err)
	}
	return err
}

// open connects, asks and reads the answer's head; the body is read from the answer, which silence ends.
func open(ctx context.Context, dial Dial, address, path string, silent time.Duration) (net.Conn, *http.Response, error) {
	up, cancel := context.WithTimeout(ctx, controlUp)
	defer cancel()
	c, err := dial(up, address)
	if err != nil {
		return nil, nil, err
	}
	c.SetDeadline(time.Now().Add(silent))
	_, err = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, resp, nil
}

// fetch asks for the whole list once.
func (d *Discovery) fetch(ctx context.Context) {
	c, resp, err := open(ctx, d.dial, d.address, "/discovery/hosts", fetchWait)
	if err == nil {
		defer c.Close()
		if resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
	}
	if err == nil {
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, linesMost)
		if lines.Scan() {
			err = d.Take(lines.Bytes(), false)
		} else {
			err = errors.New("an empty answer")
		}
	}
	if err != nil && ctx.Err() == nil {
		logrus.WithError(err).Warn("whole list not had")
		d.core.ListFailed()
	}
}

// Take hands one list or change to the module; old says that it is what this agent held before it started.
func (d *Discovery) Take(text []byte, old bool) error {
	if !gjson.ValidBytes(text) {
		return errors.New("a list that can't be read")
	}
	list := gjson.ParseBytes(text)
	version, whole := list.Get("version"), list.Get("full").Bool()
	if version.Type != gjson.Number || !list.Get("servers").IsArray() {
		return errors.New("a list without version or entries")
	}
	d.mu.Lock()
	if version.Int() < d.version && !old {
		d.mu.Unlock()
		return nil // a whole list and the watch have crossed
	}
	d.version = version.Int()
	var entries []policy.Listed
	left := map[string]bool{}
	if whole {
		for _, address := range d.where {
			left[address] = true
		}
		clear(d.where)
	}
	states := map[string]policy.State{"Ready": policy.Running, "Terminating": policy.Draining, "Gone": policy.Gone}
	list.Get("servers").ForEach(func(_, e gjson.Result) bool {
		id, state := e.Get("id").Str, policy.Draining // what a word that is not on the page means is not known:
		if s, ok := states[e.Get("state").Str]; ok {  // nothing new goes there
			state = s
		}
		weight, start := e.Get("weight"), e.Get("started_ms").Num
		if id == "" || math.IsNaN(start) {
			return true
		}
		rating := 1.0
		if weight.Type == gjson.Number {
			rating = weight.Num
		}
		entries = append(entries, policy.Listed{ID: id, Build: int(e.Get("version_no").Int()), State: state,
			Rating: rating, Start: start, Zone: max(slices.Index(d.zones, e.Get("zone").Str), 0),
			Kind: max(slices.Index(d.kinds, e.Get("kind").Str), 0), Cell: int(e.Get("cell").Int())})
		address := e.Get("addr").Str
		if was := d.where[id]; was != "" && (was != address || d.started[id] != start) {
			left[was] = true
		}
		if state == policy.Gone {
			left[address] = true
			delete(d.where, id)
			delete(d.started, id)
		} else {
			if d.started[id] == start {
				delete(left, address)
			}
			d.where[id], d.started[id] = address, start
		}
		return true
	})
	if whole {
		for id := range d.started {
			if d.where[id] == "" {
				delete(d.started, id)
			}
		}
	}
	d.mu.Unlock()
	for address := range left {
		d.forget(address)
	}
	d.core.List(entries, whole, old)
	return nil
}
