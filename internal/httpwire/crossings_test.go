package httpwire

// Two events that cross, in just the order that hurts: over loopback sockets, ordered by channels. docs/crossings.md has a
// row for each.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// appliance is a peer on loopback: every connection that comes up, and what is read on it, is handed to the test.
type appliance struct {
	net.Listener
	conns chan *peer
}

type peer struct {
	net.Conn
	in *bufio.Reader
}

func newAppliance(t *testing.T) *appliance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &appliance{l, make(chan *peer, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(a.conns)
				return
			}
			a.conns <- &peer{c, bufio.NewReader(c)}
		}
	}()
	t.Cleanup(func() { l.Close() })
	return a
}

func (a *appliance) at() string { return a.Addr().String() }

// call reads one call and returns its id and what it says of its time, or the error that came instead.
func (p *peer) call() (id, deadline string, err error) {
	r, err := http.ReadRequest(p.in)
	if err != nil {
		return "", "", err
	}
	io.Copy(io.Discard, r.Body)
	return r.Header.Get("Req-Id"), r.Header.Get("Req-Deadline"), nil
}

func (p *peer) say(body string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// loop is an agent on loopback with the appliance s at an address, and a client's connection to it.
type loop struct {
	*agent
	t      *testing.T
	front_ net.Listener
}

func tcp(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func newLoop(t *testing.T, address string, dial Dial, revokes bool) *loop {
	a := newAgent(network{}, NewSockets(0))
	a.up.dial, a.up.up = dial, time.Minute
	a.front.revokes = revokes
	a.lists(t, 2, `{"id":"s","addr":"`+address+`","state":"Ready","weight":1,"version_no":1}`)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := a.front.Server()
	go server.Serve(Listener{l, a.front.sockets})
	t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a.up.Sweep(ctx)
	})
	return &loop{a, t, l}
}

func (a *agent) lists(t *testing.T, version int, entry string) {
	if err := a.disc.Apply([]byte(told(version, false, entry)), FromWatch, func() {}); err != nil {
		t.Error(err)
	}
}

func (l *loop) client() *peer {
	c, err := net.Dial("tcp", l.front_.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

func get(id string) string { return strings.Replace(good, "r1", id, 1) }

func (p *peer) answer(t *testing.T) (int, string) {
	r, err := http.ReadResponse(p.in, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	return r.StatusCode, string(b)
}

// A second copy of an answer that comes late must not be the next request's, whether that came on the connection of a
// request or of a probe.
func TestSecondAnswerLate(t *testing.T) {
	s := newAppliance(t)
	l := newLoop(t, s.at(), tcp, true)
	l.up.settle = time.Hour // however slow the machine
	c := l.client()
	io.WriteString(c, get("r1"))
	first := <-s.conns
	first.call()
	first.say("one")
	if _, body := c.answer(t); body != "one" {
		t.Fatalf("answered %q", body)
	}
	io.WriteString(c, get("r2"))
	next := make(chan *peer, 1)
	go func() { // r2 comes on the first connection, or on one of its own
		if id, _, _ := first.call(); id != "" {
			next <- first
		}
	}()
	var second *peer
	select {
	case second = <-next:
	case second = <-s.conns:
		second.call()
	}
	first.say("one") // its second copy, just now
	if second != first {
		second.say("two")
	}
	if status, body := c.answer(t); status != 200 || body != "two" {
		t.Errorf("r2 answered %d %q", status, body)
	}

	// A probe's copy: the request goes out on the probe's connection at once, and the copy comes ahead of its answer.
	p := newAppliance(t)
	l.lists(t, 3, `{"id":"s","addr":"`+p.at()+`","state":"Ready","weight":1,"version_no":1}`)
	go l.up.Probe("s")
	probed := <-p.conns
	probed.call()
	probed.say("queue=1,util=0.5")
	until(func() bool { // the probe's connection has been put back
		_, idle, _ := l.up.Connections()
		return idle > 0
	})
	io.WriteString(c, get("r3"))
	if id, _, err := probed.call(); id != "r3" {
		t.Fatalf("the probe's connection carries %q (%v)", id, err)
	}
	probed.say("queue=1,util=0.5")
	probed.say("three")
	if status, body := c.answer(t); status != 200 || body != "three" {
		t.Errorf("r3 answered %d %q", status, body)
	}
}

// A connection in use while the list says that something else runs at its address is not used for that.
func TestForgottenInUse(t *testing.T) {
	took := `{"id":"u","addr":"ADDR","state":"Terminating","weight":1,"version_no":2}`
	left := `{"id":"s","addr":"OTHER","state":"Ready","weight":1,"version_no":1}`
	for _, entry := range []string{
		`{"id":"s","addr":"ADDR","state":"Ready","weight":1,"version_no":2,"started_ms":5}`, // restarted
		left + "," + took, took + "," + left, // its address is another's
	} {
		s, other := newAppliance(t), newAppliance(t)
		l := newLoop(t, s.at(), tcp, true)
		l.up.settle = 0
		c := l.client()
		io.WriteString(c, get("r1"))
		first := <-s.conns
		first.call()
		l.lists(t, 3, strings.NewReplacer("ADDR", s.at(), "OTHER", other.at()).Replace(entry))
		first.say("one")
		c.answer(t)
		if id, _, err := first.call(); err == nil {
			t.Errorf("the connection is used again, for %q", id)
		}
		if _, idle, _ := l.up.Connections(); idle != 0 {
			t.Errorf("%d kept", idle)
		}
	}
}

// barred is a dial that tells when it is asked, and whose connection comes up when it is let.
func barred(asked chan<- bool, up <-chan bool) Dial {
	return func(_ context.Context, address string) (net.Conn, error) {
		asked <- true
		<-up
		return net.Dial("tcp", address)
	}
}

// A connection that comes up after its appliance has left its address, or after the client has gone, carries nothing:
// also where what is under way may not be called off.
func TestUpTooLate(t *testing.T) {
	for _, c := range []struct {
		name    string
		revokes bool
		leaves  bool
		back    bool // its release goes back
	}{{"the address is left", true, false, false}, {"the client goes", true, true, false},
		{"the client goes, no calling off", false, true, false}, {"its release goes back", true, false, true}} {
		t.Run(c.name, func(t *testing.T) {
			s, asked, up := newAppliance(t), make(chan bool), make(chan bool)
			l := newLoop(t, s.at(), barred(asked, up), c.revokes)
			l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingOut, Cap: 1, Known: true})
			client := l.client()
			io.WriteString(client, get("r1"))
			<-asked
			if c.back {
				l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingBack, Cap: 0, Known: true})
			} else if c.leaves {
				client.Close()
				until(func() bool { return l.core.Counts().ClientGone == 1 })
			} else {
				l.lists(t, 3, `{"id":"s","addr":"127.0.0.1:1","state":"Terminating","weight":1,"version_no":1}`)
			}
			up <- true
			end := make(chan bool)
			go func() { // what is kept of it is closed, so that the appliance sees an end
				defer close(end)
				until(func() bool { return l.core.Counts().OpenAttempts == 0 })
				l.up.CloseAddress(s.at())
			}()
			p := <-s.conns
			<-end
			if id, _, err := p.call(); err == nil {
				t.Errorf("%q was sent", id)
			}
			if !c.leaves {
				if status, _ := client.answer(t); status != 503 {
					t.Errorf("answered %d", status)
				}
			}
			if n := l.core.Counts().AttemptsByStatus; n[policy.StatusNotSent] != 1 {
				t.Errorf("told as %v, never sent wanted", n)
			}
			if n := l.core.Counts().AttemptsWithheld; (n == 1) != c.back {
				t.Errorf("%d attempts asked for again and kept back", n)
			}
		})
	}
}

// until waits for what another goroutine is about to bring about.
func until(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}

// slow is a client's socket whose reader has its bytes and is stopped before it can say so.
type slow struct {
	net.Conn
	has, on chan bool
}

func (s slow) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.has <- true
		<-s.on
	}
	return n, err
}

func (s slow) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.Conn.(syscall.Conn).SyscallConn()
	return slowRaw{raw, s}, err
}

type slowRaw struct {
	syscall.RawConn
	of slow
}

func (r slowRaw) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		r.of.has <- true
		<-r.of.on
	}
	return err
}

// A connection between requests is given up only if no byte of the next one has been taken from its socket, even if
// its reader has not come to say so.
func TestIdleClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	there, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSockets(0)
	raw := slow{there, make(chan bool), make(chan bool)}
	c := s.hold(raw, true).(*counted)
	defer c.Close()
	s.Idle(c, false)
	c.since = time.Time{} // for long
	io.WriteString(client, "G")
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 9))
		read <- n
	}()
	<-raw.has
	s.CloseIdle()
	if c.closed {
		t.Error("closed, though a byte of the next request had been taken")
	}
	raw.on <- true
	if n := <-read; n != 1 {
		t.Errorf("%d bytes", n)
	}

	// The other way round: given up first, nothing is taken any more.
	s.Whole(c)
	s.Idle(c, false)
	c.since = time.Time{}
	s.CloseIdle()
	if n, err := c.Read(make([]byte, 9)); !c.closed || n != 0 || err == nil {
		t.Errorf("read %d bytes (%v) of a connection given up", n, err)
	}
}

// A byte of the next request may be taken ahead, by a server that looks whether its client has gone: then the connection
// does not rest.
func TestByteAhead(t *testing.T) {
	s := NewSockets(0)
	here, there := net.Pipe()
	c := s.hold(there, true).(*counted)
	defer c.Close()
	s.Idle(c, true)
	go io.WriteString(here, "r1G")
	c.Read(make([]byte, 2))
	s.Busy(c)
	s.Whole(c) // r1 has been read
	c.Read(make([]byte, 1))
	s.Idle(c, false)
	if _, _, idle := s.Used(); idle != 0 || s.Coming(c) == 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.Coming(c))
	}
	s.Whole(c)
	s.Idle(c, false)
	if _, _, idle := s.Used(); idle != 1 || s.Coming(c) != 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.Coming(c))
	}
}

// The client's time runs from when it sent: what a head or body in pieces took of it is told to no appliance.
func TestPiecesTime(t *testing.T) {
	for _, c := range []struct{ first, rest string }{
		{good[:20], good[20:]},
		{"POST /pay/k HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nContent-Length: 4\r\n\r\n", "body"},
	} {
		synctest.Test(t, func(t *testing.T) {
			told := make(chan string, 1)
			a := newAgent(network{"app:1": func(c net.Conn) {
				p := &peer{c, bufio.NewReader(c)}
				_, deadline, _ := p.call()
				told <- deadline
				p.say("x")
			}}, NewSockets(0))
			in := make(pipes, 1)
			server := a.front.Server()
			served := make(chan bool)
			go func() { server.Serve(Listener{in, a.front.sockets}); close(served) }()
			here, there := net.Pipe()
			in <- there
			io.WriteString(here, c.first)
			time.Sleep(700 * time.Millisecond)
			go io.WriteString(here, c.rest)
			if _, err := http.ReadResponse(bufio.NewReader(here), nil); err != nil {
				t.Error(err)
			}
			if got := <-told; got != "1300m" {
				t.Errorf("told %s of 2000m, 700 of which had gone", got)
			}
			here.Close()
			server.Close()
			<-served
			a.close()
		})
	}
}

// A head in pieces has the time of a body on a connection that has been served; on a new one a close is owed soon.
func TestSlowHead(t *testing.T) {
	for _, served := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			a := newAgent(network{"app:1": func(c net.Conn) {
				p := &peer{c, bufio.NewReader(c)}
				for _, _, err := p.call(); err == nil; _, _, err = p.call() {
					p.say("body")
				}
			}}, NewSockets(0))
			in := make(pipes, 1)
			server := a.front.Server()
			done := make(chan bool)
			go func() { server.Serve(Listener{in, a.front.sockets}); close(done) }()
			here, there := net.Pipe()
			in <- there
			client := &peer{here, bufio.NewReader(here)}
			if served {
				io.WriteString(here, good)
				client.answer(t)
			}
			text := strings.Replace(get("r2"), "2000m", "5000m", 1)
			io.WriteString(here, text[:30])
			from := time.Now()
			go func() {
				time.Sleep(3 * time.Second)
				io.WriteString(here, text[30:])
			}()
			r, err := http.ReadResponse(client.in, nil)
			took := time.Since(from)
			if served && (err != nil || r.StatusCode != 200) {
				t.Errorf("served before: %v after %v", err, took)
			}
			if !served && (took > headWait || err == nil && r.StatusCode < 400) {
				t.Errorf("new: %v, %v after %v", r, err, took)
			}
			here.Close()
			server.Close()
			<-done
			a.close()
		})
	}
}

// A reply to a vote that comes twice is not the next vote's.
func TestSecondReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := func(build int) string {
			xml := fmt.Sprintf("<Response><groups><item><release>%d</release><tranche>0</tranche><mode>canary</mode>"+
				"<exposure>0.5</exposure><old_ms>1</old_ms></item></groups></Response>", build)
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(xml), xml)
		}
		conns := 0
		n := network{"control": func(c net.Conn) {
			conns++
			in := bufio.NewReader(c)
			for k := conns; ; k++ {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				if k > conns { // the reply before this one, once more
					k--
				}
				io.WriteString(c, reply(k))
			}
		}}
		a := newAgent(n, NewSockets(0))
		p := NewPlatform(a.core, n.dial, "control", 800, 1)
		for want := 1; want <= 2; want++ {
			got, leaf, err := p.cast(context.Background(), vote{policy.ReleaseID(want), policy.Promote, 0})
			if err != nil || got != policy.VoteCounted || leaf("release") != fmt.Sprint(want) {
				t.Errorf("vote %d: reply %v, build %s, %v", want, got, leaf("release"), err)
			}
		}
		if conns != 2 {
			t.Errorf("%d connections", conns)
		}
		p.conn.Close()
		a.close()
	})
}
