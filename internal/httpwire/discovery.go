package httpwire

// This file owns what discovery tells: the watch, whole lists, and where each appliance listens. It hands every change
// to the module as it comes, in the order in which it was taken, and must never hold one back, drop an appliance that
// is only unreachable, or wait on traffic.

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	// For a connection to discovery or the platform to come up, and again for an answer's head: both answer at once.
	controlConnectTimeout = 500 * time.Millisecond
	// An empty line comes every 2 s, and what a silent watch misses counts as told 6 s after it fell silent: the silence is
	// noticed, and a second watch that stays as silent as the first, and the third stands before that.
	watchSilence      = 2500 * time.Millisecond
	fetchTimeout      = 2 * time.Second // for a whole list
	reconnectPauseMin = 100.0           // ms; the pause before a broken stream is opened again, doubled each time
	reconnectPauseMax = 1000.0          // what discovery has to tell counts as told after 4 to 6 s
	maxListBytes      = 8 << 20         // bytes of one list
)

// Discovery follows the list.
type Discovery struct {
	core                   *core.Core
	dial                   Dial
	address                string
	zones, hardwareClasses []string
	onDemand               bool
	onRemove               func(address string)
	onUpdate               func(update policy.EndpointUpdate, addresses []string)
	onDisconnect           func()
	rng                    *rand.Rand
	refreshes              chan bool // true: whole list, false: the watch
	moved                  chan bool
	firstUpdate            chan struct{} // closed once discovery has told a list
	applyOrder             chan bool     // a lock, held until the module has a list: it gets them in the order in which they were taken
	mu                     sync.RWMutex
	addressGeneration      int // of the address
	listGeneration         int // the move after which the list came that holds; versions compare only within one
	version                int64
	where                  map[string]string // by id
	who                    map[string]holder // by address
}

// holder is who runs at an address, and since when.
type holder struct {
	id    string
	start float64
}

// NewDiscovery makes one; where the list is only told to those who ask, the module opens the watch.
func NewDiscovery(c *core.Core, dial Dial, address string, zones, kinds []string, asked bool, seed uint64) *Discovery {
	return &Discovery{
		core: c, dial: dial, address: address, zones: zones, hardwareClasses: kinds, onDemand: asked,
		onRemove: func(string) {}, onDisconnect: func() {}, onUpdate: func(update policy.EndpointUpdate, _ []string) { c.UpdateEndpoints(update) }, rng: policy.NewRand(seed), refreshes: make(chan bool, 16), moved: make(chan bool, 1), firstUpdate: make(chan struct{}), applyOrder: make(chan bool, 1),
		where: map[string]string{}, who: map[string]holder{},
	}
}

// OnRemove names what is called for an address that an appliance has left.
func (d *Discovery) OnRemove(forget func(address string)) { d.onRemove = forget }

// OnUpdate names who is told of lists and changes in place of the core: a merge with other sources.
// lost is called whenever the watch breaks or falls silent.
func (d *Discovery) OnUpdate(tell func(update policy.EndpointUpdate, addresses []string), lost func()) {
	d.onUpdate, d.onDisconnect = tell, lost
}

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

// Refresh passes on the module's own calls; it never waits.
func (d *Discovery) Refresh(whole bool) {
	select {
	case d.refreshes <- whole:
	default:
	}
}

// FirstUpdate is closed once discovery has told a list: until then the agent has only what it was started with.
func (d *Discovery) FirstUpdate() <-chan struct{} { return d.firstUpdate }

// SetAddress names another address; the watch there is opened at once.
func (d *Discovery) SetAddress(address string) {
	d.mu.Lock()
	d.address = address
	d.addressGeneration++
	d.mu.Unlock()
	select {
	case d.moved <- true:
	default: // a move is under way, and takes the address when it gets to it
	}
}

// position is where to ask, after which move, and what version is held.
func (d *Discovery) position() (address string, moves int, version int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.address, d.addressGeneration, d.version
}

// Run follows discovery until ctx ends.
func (d *Discovery) Run(ctx context.Context) {
	ended := make(chan bool, 1)
	start := func() {
		go func() {
			stream(ctx, d.rng, d.moved, "watch", !d.onDemand, func(ctx context.Context, told func()) error {
				defer d.onDisconnect()
				return d.watch(ctx, told)
			})
			ended <- true
		}()
	}
	open := !d.onDemand
	if open {
		start()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case whole := <-d.refreshes:
			if whole {
				go d.fetchSnapshot(ctx)
			} else if !open {
				open = true
				start()
			}
		case <-ended:
			if ctx.Err() == nil { // the module says when to ask again
				open = false
				d.core.EndpointsFailed()
			}
		}
	}
}

// stream keeps one stream open until ctx ends. One that breaks is opened again after a pause, longer for each that
// told nothing; where it is not to be, follow ends. After a move a new one is opened beside the old, which is left as
// soon as the new one tells something: until then it may be the only one that does.
func stream(ctx context.Context, chance *rand.Rand, moved <-chan bool, name string, again bool,
	stream func(ctx context.Context, told func()) error,
) {
	type end struct {
		n   int
		err error
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ends, tells := make(chan end), make(chan int)
	n, stands, pause := 0, false, reconnectPauseMin
	old, last := func() {}, func() {}
	var wait <-chan time.Time
	start := func() {
		n++
		k, told := n, false
		one, leave := context.WithCancel(ctx)
		last, stands, wait = leave, false, nil
		go func() {
			err := stream(one, func() {
				if !told {
					told = true
					select {
					case tells <- k:
					case <-one.Done():
					}
				}
			})
			leave()
			select {
			case ends <- end{k, err}:
			case <-ctx.Done():
			}
		}()
	}
	start()
	for {
		select {
		case <-ctx.Done():
			return
		case <-moved:
			if stands {
				old = last
			} else {
				last()
			}
			logrus.Info(name + " moves")
			pause = reconnectPauseMin
			start()
		case k := <-tells:
			if k == n {
				old()
				stands, pause = true, reconnectPauseMin
			}
		case e := <-ends:
			if e.n != n || ctx.Err() != nil {
				continue // left, or it ended beside the newer one
			}
			logrus.WithError(e.err).Warn(name + " lost")
			if stands = false; !again {
				return
			}
			wait = time.After(time.Duration(pause * (0.5 + chance.Float64()) * 1e6))
			pause = min(2*pause, reconnectPauseMax)
		case <-wait:
			start()
		}
	}
}

// watch reads one watch until it breaks, falls silent or tells what can't be read.
func (d *Discovery) watch(ctx context.Context, told func()) error {
	address, moves, version := d.position()
	path := fmt.Sprintf("/discovery/hosts?watch=1&after=%d", version)
	c, resp, err := openControl(ctx, d.dial, address, path, watchSilence)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	logrus.WithField("after", version).Info("watch stands")
	lists := newListScanner(resp.Body)
	for lists.Scan() {
		c.SetReadDeadline(time.Now().Add(watchSilence)) // not for a part of a list: half of one is silence
		if len(lists.Bytes()) > 0 {
			if err := d.apply(lists.Bytes(), FromWatch, moves, told); err != nil {
				return err
			}
		}
		told()
	}
	return cmp.Or(lists.Err(), errors.New("it ended"))
}

// newListScanner cuts a stream into lists, in one line or indented; an empty line between them comes as an empty token.
func newListScanner(from io.Reader) *bufio.Scanner {
	lists := bufio.NewScanner(from)
	lists.Buffer(nil, maxListBytes)
	lists.Split(new(listFramer).split)
	return lists
}

// listFramer is how far the list that is coming has been looked at.
type listFramer struct {
	at, depth       int
	quoted, escaped bool
}

var errNotAList = errors.New("something other than a list")

func (f *listFramer) split(data []byte, end bool) (int, []byte, error) {
	if f.depth == 0 {
		for k, c := range data {
			switch c {
			case ' ', '\t', '\r':
			case '\n':
				return k + 1, data[:0], nil
			case '{':
				if k > 0 {
					return k, nil, nil
				}
				return f.list(data, end)
			default:
				return 0, nil, fmt.Errorf("%w: %.99q", errNotAList, data[k:])
			}
		}
		return len(data), nil, nil
	}
	return f.list(data, end)
}

func (f *listFramer) list(data []byte, end bool) (int, []byte, error) {
	for ; f.at < len(data); f.at++ {
		switch c := data[f.at]; {
		case f.escaped:
			f.escaped = false
		case f.quoted && c == '\\':
			f.escaped = true
		case c == '"':
			f.quoted = !f.quoted
		case f.quoted:
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			if f.depth--; f.depth == 0 {
				n := f.at + 1
				*f = listFramer{}
				return n, data[:n], nil
			}
		}
	}
	if end {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

// openControl connects, asks and reads the answer's head; the body is read from the answer, which silence ends.
func openControl(ctx context.Context, dial Dial, address, path string, silent time.Duration) (net.Conn, *http.Response, error) {
	up, cancel := context.WithTimeout(ctx, controlConnectTimeout)
	defer cancel()
	c, err := dial(up, address)
	if err != nil {
		return nil, nil, err
	}
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	c.SetDeadline(time.Now().Add(controlConnectTimeout)) // a part of a head may be all that ever comes
	_, err = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err != nil || ctx.Err() != nil {
		c.Close()
		return nil, nil, cmp.Or(err, ctx.Err())
	}
	c.SetDeadline(time.Now().Add(silent))
	return c, resp, nil
}

// fetchSnapshot asks for the whole list once.
func (d *Discovery) fetchSnapshot(ctx context.Context) {
	address, moves, _ := d.position()
	c, resp, err := openControl(ctx, d.dial, address, "/discovery/hosts", fetchTimeout)
	if err == nil {
		defer c.Close()
		lists := newListScanner(resp.Body)
		more := lists.Scan()
		for more && len(lists.Bytes()) == 0 {
			more = lists.Scan()
		}
		if more {
			err = d.apply(lists.Bytes(), FromFetch, moves, func() {})
		} else {
			err = cmp.Or(lists.Err(), errors.New("an empty answer"))
		}
	}
	if err != nil && ctx.Err() == nil {
		logrus.WithError(err).Warn("whole list not had")
		d.core.EndpointsFailed()
	}
}

// Source is how a list came.
type Source uint8

const (
	FromConfiguration Source = iota // what this agent held before it started
	FromFetch                       // asked for by itself: it may have crossed with the watch
	FromWatch
)

// Apply hands one list or change to the module, whole or not at all; told is called once it is seen to be readable.
func (d *Discovery) Apply(text []byte, from Source, told func()) error {
	_, moves, _ := d.position()
	return d.apply(text, from, moves, told)
}

var errVersionRestarted = errors.New("it counts otherwise than the one before")

// apply is Take for a list from the address that held after so many moves.
func (d *Discovery) apply(text []byte, from Source, moves int, told func()) error {
	if !gjson.ValidBytes(text) || !utf8.Valid(text) {
		return errors.New("a list that can't be read")
	}
	list := gjson.ParseBytes(text)
	version, whole := list.Get("version"), list.Get("full").Bool()
	if version.Type != gjson.Number || !list.Get("full").IsBool() || !list.Get("servers").IsArray() {
		return errors.New("a list without version, kind or entries")
	}
	var entries []policy.Endpoint
	var addresses []string
	for _, e := range list.Get("servers").Array() {
		entry, address, err := d.entry(e)
		if err != nil {
			return err
		}
		entries, addresses = append(entries, entry), append(addresses, address)
	}
	d.applyOrder <- true
	defer func() { <-d.applyOrder }()
	told()
	d.mu.Lock()
	// A watch tells in order, and a whole list on it starts anew: a discovery that lost its count begins with one. What
	// comes from an address that was left is over once the one that follows has told something.
	older := version.Int() < d.version
	if moves < d.listGeneration || moves == d.listGeneration && older && from != FromConfiguration && !(whole && from == FromWatch) {
		held := d.version
		d.mu.Unlock()
		logrus.WithFields(logrus.Fields{"version": version.Int(), "held": held, "whole": whole}).Info("list passed over")
		return nil
	}
	counts := moves > d.listGeneration && older && !whole // what it left out between its count and ours can't be known
	d.listGeneration, d.version = moves, version.Int()
	if counts {
		d.version = 0
	}
	left := map[string]bool{} // addresses at which something else runs now, or nothing
	before := d.who
	if whole {
		for address := range before {
			left[address] = true
		}
		d.where, d.who = map[string]string{}, map[string]holder{}
	}
	for k, e := range entries {
		address, now := addresses[k], holder{e.ID, e.StartedAt}
		if was, ok := d.where[e.ID]; ok && d.who[was].id == e.ID && (was != address || e.State == policy.EndpointRemoved) {
			left[was] = true
			delete(d.who, was)
		}
		if e.State == policy.EndpointRemoved {
			delete(d.where, e.ID)
			continue
		}
		if was, ok := before[address]; ok {
			left[address] = was != now || left[address] && !whole
		}
		d.where[e.ID], d.who[address] = address, now
	}
	d.mu.Unlock()
	for address, gone := range left {
		if gone {
			d.onRemove(address)
		}
	}
	d.onUpdate(policy.EndpointUpdate{Endpoints: entries, Snapshot: whole, Cached: from == FromConfiguration}, addresses)
	if from != FromConfiguration {
		select {
		case <-d.firstUpdate:
		default:
			close(d.firstUpdate)
		}
	}
	if counts { // taken, for it is the newest word; the next watch asks for all
		return errVersionRestarted
	}
	return nil
}

var endpointStates = map[string]policy.EndpointState{"Ready": policy.EndpointRunning, "Terminating": policy.EndpointDraining, "Gone": policy.EndpointRemoved}

// entry reads one entry. A word that is not on the page is noise, and the list with it.
func (d *Discovery) entry(e gjson.Result) (policy.Endpoint, string, error) {
	id, address, build, weight, start := e.Get("id"), e.Get("addr").Str, e.Get("version_no"), 1.0, e.Get("started_ms")
	state, known := endpointStates[e.Get("state").Str]
	_, _, err := net.SplitHostPort(address)
	number := func(v gjson.Result) bool { return v.Type == gjson.Number && v.Num >= 0 && v.Num < 1e15 }
	switch {
	case id.Type != gjson.String || id.Str == "" || !known:
		return policy.Endpoint{}, "", fmt.Errorf("an entry that can't be read: %.99q", e.Raw)
	case state != policy.EndpointRemoved && (err != nil || !number(build) || start.Exists() && !number(start)):
		return policy.Endpoint{}, "", fmt.Errorf("an entry that can't be used: %.99q", e.Raw)
	}
	if w := e.Get("weight"); w.Type == gjson.Number {
		weight = w.Num
	}
	return policy.Endpoint{
		ID: id.Str, Release: policy.ReleaseID(build.Int()), State: state, Weight: weight, StartedAt: start.Num,
		Zone: max(slices.Index(d.zones, e.Get("zone").Str), 0), HardwareClass: max(slices.Index(d.hardwareClasses, e.Get("kind").Str), 0),
		Cell: int(e.Get("cell").Int()),
	}, address, nil
}
