package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// streamHead is the head of a stream's response; chunk returns a chunk of its body.
const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamRequestLog records the requests for streams and when they arrived.
type streamRequestLog struct {
	paths []string
	at    []time.Time
}

// open reads the request for a stream and sends the head and the first chunk of the response.
func (l *streamRequestLog) open(conn net.Conn, text string) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	l.paths, l.at = append(l.paths, request.RequestURI), append(l.at, time.Now())
	send(conn, streamHead+chunk(text))
}

// A watch that breaks or becomes silent is reopened from the current version. A silent stream of notices is reopened too.
func TestStreamReconnect(t *testing.T) {
	t.Run("watch", func(t *testing.T) { synctest.Test(t, testWatchReopened) })
	t.Run("notices", func(t *testing.T) { synctest.Test(t, testNoticesReopened) })
}

func testWatchReopened(t *testing.T) {
	log := &streamRequestLog{}
	instance := newTestInstance(network{"list": func(conn net.Conn) {
		switch len(log.paths) {
		case 0: // sends a list, then nothing
			log.open(conn, listJSON(5, false, `{"id":"u","addr":"b:1","state":"Ready","version_no":1}`)+"\n")
			drain(conn)
		case 1: // sends keep-alives, then breaks
			log.open(conn, "\n")
			for range 5 {
				time.Sleep(2 * time.Second)
				send(conn, chunk("\n"))
			}
		default:
			log.open(conn, "no list\n")
		}
	}}, NewSockets(0))
	ctx, cancel := context.WithCancel(t.Context())
	from := time.Now()
	go instance.discovery.Run(ctx)
	time.Sleep(17 * time.Second)
	cancel()
	synctest.Wait()
	opened := len(log.paths) >= 3 && log.paths[0] == "/discovery/hosts?watch=1&after=1" &&
		log.paths[1] == "/discovery/hosts?watch=1&after=5"
	if !opened || instance.discovery.BackendAddress("u") != "b:1" {
		t.Fatalf("requested streams = %q, address of u = %q; want watches after versions 1 and 5, and b:1", log.paths, instance.discovery.BackendAddress("u"))
	}
	if silent := log.at[1].Sub(from); silent < watchIdleTimeout || silent > watchIdleTimeout+time.Second {
		t.Errorf("silent watch reopened after %v, want %v to %v", silent, watchIdleTimeout, watchIdleTimeout+time.Second)
	}
	if openFor := log.at[2].Sub(log.at[1]); openFor < 10*time.Second || openFor > 11*time.Second {
		t.Errorf("watch with keep-alives replaced after %v, want 10s to 11s", openFor)
	}
	instance.close()
}

func testNoticesReopened(t *testing.T) {
	log := &streamRequestLog{}
	state := "event: stage\ndata: release=42&tranche=1&mode=canary&exposure=0.28&old_ms=310\n\n"
	instance := newTestInstance(network{}, NewSockets(0))
	p := instance.newPlatform(network{"control": func(conn net.Conn) {
		log.open(conn, ":\nevent: other\ndata: y\n\n"+state)
		drain(conn)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go p.WatchReleases(ctx)
	time.Sleep(6 * time.Second)
	cancel()
	synctest.Wait()
	if len(log.paths) != 2 || log.paths[0] != "/notices" || log.at[1].Sub(log.at[0]) < noticeIdleTimeout {
		t.Errorf("requested streams = %q at %v, want /notices twice, at least %v apart", log.paths, log.at, noticeIdleTimeout)
	}
	instance.close()
}

// A malformed notice ends the stream immediately, and the stream is reopened after a pause.
func TestMalformedNotices(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"release not a number", "event: stage\ndata: release=x\n\n"},
		{"unknown phase", "event: stage\ndata: release=42&tranche=1&mode=cxnary&exposure=0.28&old_ms=310\n\n"},
		{"binary data", "\x00\x01\x02\n"},
		{"no state", "event: stage\n\n"},
		{"no colon", "no colon\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var opened atomic.Int64
				instance := newTestInstance(network{}, NewSockets(0))
				p := instance.newPlatform(network{"control": func(conn net.Conn) {
					opened.Add(1)
					new(streamRequestLog).open(conn, c.text)
					drain(conn)
				}})
				ctx, cancel := context.WithCancel(t.Context())
				go p.WatchReleases(ctx)
				time.Sleep(2 * time.Second)
				if n := opened.Load(); n < 3 || n > 9 {
					t.Errorf("%q: stream opened %d times in 2s, want 3 to 9", c.text, n)
				}
				cancel()
				instance.close()
			})
		})
	}
}

// openStreams counts the open streams by address.
type openStreams struct {
	mu     sync.Mutex
	open   map[string]int
	silent string // address that accepts connections and sends nothing
}

func (s *openStreams) add(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[address] += n
}

func (s *openStreams) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(maps.Clone(s.open))
}

// serve returns the function that serves streams at an address.
func (s *openStreams) serve(address string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		s.add(address, 1)
		defer s.add(address, -1)
		if address != s.silent {
			keepAlive := "\n"
			if request.RequestURI == noticesPath {
				keepAlive = ":\n\n"
			}
			send(conn, streamHead+chunk(keepAlive))
		}
		drain(conn)
	}
}

// After a change of address, the new stream is opened while the old one is still open. The old stream is kept until the
// new one delivers data, however long that takes and however often the address changes.
func TestAddressMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		streams := &openStreams{open: map[string]int{}, silent: "b"}
		n := network{}
		for _, address := range []string{"list", "b", "c", "control", "e"} {
			streams.open[address] = 0
			n[address] = streams.serve(address)
		}
		instance := newTestInstance(n, NewSockets(0))
		p := instance.newPlatform(n)
		ctx, cancel := context.WithCancel(t.Context())
		go instance.discovery.Run(ctx)
		go p.WatchReleases(ctx)
		for _, c := range []struct {
			name string
			move func()
			want string
		}{
			{"none", func() {}, "map[b:0 c:0 control:1 e:0 list:1]"},
			{"to a silent address", func() { instance.discovery.SetAddress("b") }, "map[b:1 c:0 control:1 e:0 list:1]"},
			{"to an address without a listener", func() { instance.discovery.SetAddress("nowhere") }, "map[b:0 c:0 control:1 e:0 list:1]"},
			{"to an address that sends", func() { instance.discovery.SetAddress("c") }, "map[b:0 c:1 control:1 e:0 list:0]"},
			{"of the release stream", func() { p.SetAddress("e") }, "map[b:0 c:1 control:0 e:1 list:0]"},
		} {
			c.move()
			time.Sleep(controlConnectTimeout / 2)
			if got := streams.String(); got != c.want {
				t.Errorf("after a move %s: open streams = %v, want %v", c.name, got, c.want)
			}
		}
		cancel()
		instance.close()
	})
}
