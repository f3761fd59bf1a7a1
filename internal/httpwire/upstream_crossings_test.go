package httpwire

// Two events that cross, in just the order that hurts: over loopback sockets, ordered by channels. docs/crossings.md has a
// row for each.

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"onyxgate/policy"
)

// mustReadRequest reads one request and returns its id.
func (p *peerConn) mustReadRequest(t *testing.T) (id string) {
	t.Helper()
	id, _, err := p.readRequest()
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// A second copy of an answer that comes late must not be the next request's, whether that came on the connection of a
// request or of a probe.
func TestLateDuplicateResponse(t *testing.T) {
	t.Run("of a request", func(t *testing.T) {
		backend := newFakeBackend(t)
		l := newLoopback(t, backend.address(), dialTCP, true)
		l.upstream.conns.reuseDelay = time.Hour // however slow the test runs
		client := l.dialFront()
		send(client, requestWithID("r1"))
		first := <-backend.conns
		first.mustReadRequest(t)
		first.respond("one")
		if _, body := client.readResponse(t); body != "one" {
			t.Fatalf("answered %q", body)
		}
		send(client, requestWithID("r2"))
		second := connWithNextRequest(t, backend, first)
		first.respond("one") // its second copy, just now
		if second != first {
			second.respond("two")
		}
		if status, body := client.readResponse(t); status != 200 || body != "two" {
			t.Errorf("r2 answered %d %q", status, body)
		}
	})
	// The request goes out on the probe's connection at once, and the copy comes ahead of its answer.
	t.Run("of a probe", func(t *testing.T) {
		backend := newFakeBackend(t)
		l := newLoopback(t, backend.address(), dialTCP, true)
		l.upstream.conns.reuseDelay = time.Hour
		client := l.dialFront()
		go l.upstream.Probe("s") // ends with its response, below
		probed := <-backend.conns
		probed.mustReadRequest(t)
		probed.respond("queue=1,util=0.5")
		waitUntil(func() bool { // the probe's connection has been put back
			_, idle, _ := l.upstream.Connections()
			return idle > 0
		})
		send(client, requestWithID("r3"))
		if id, _, err := probed.readRequest(); id != "r3" {
			t.Fatalf("the probe's connection carries %q (%v)", id, err)
		}
		probed.respond("queue=1,util=0.5")
		probed.respond("three")
		if status, body := client.readResponse(t); status != 200 || body != "three" {
			t.Errorf("r3 answered %d %q", status, body)
		}
	})
}

// connWithNextRequest returns the connection on which the backend gets its next request: the first one or a new one.
func connWithNextRequest(t *testing.T, backend *fakeBackend, first *peerConn) *peerConn {
	t.Helper()
	onFirst := make(chan bool, 1)
	go func() { // ends with the request or with the connection
		if id, _, _ := first.readRequest(); id != "" {
			onFirst <- true
		}
	}()
	select {
	case <-onFirst:
		return first
	case second := <-backend.conns:
		second.mustReadRequest(t)
		return second
	}
}

// A connection in use while the list says that something else runs at its address is not used for that.
func TestVacatedAddressConnNotReused(t *testing.T) {
	restarted := `{"id":"s","addr":"ADDR","state":"Ready","weight":1,"version_no":2,"started_ms":5}`
	took := `{"id":"u","addr":"ADDR","state":"Terminating","weight":1,"version_no":2}`
	left := `{"id":"s","addr":"OTHER","state":"Ready","weight":1,"version_no":1}`
	for _, c := range []struct{ name, entries string }{
		{"restarted", restarted},
		{"its address is another's", left + "," + took},
		{"its address is another's, which is listed first", took + "," + left},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend, other := newFakeBackend(t), newFakeBackend(t)
			l := newLoopback(t, backend.address(), dialTCP, true)
			l.upstream.conns.reuseDelay = 0
			client := l.dialFront()
			send(client, requestWithID("r1"))
			first := <-backend.conns
			first.mustReadRequest(t)
			l.applyChange(t, 3, strings.NewReplacer("ADDR", backend.address(), "OTHER", other.address()).Replace(c.entries))
			first.respond("one")
			client.readResponse(t)
			if id, _, err := first.readRequest(); err == nil {
				t.Errorf("the connection is used again, for %q", id)
			}
			if _, idle, _ := l.upstream.Connections(); idle != 0 {
				t.Errorf("%d kept", idle)
			}
		})
	}
}

// blockedDial is a dial that reports when it is asked, and whose connection comes up when it is let.
func blockedDial(asked chan<- bool, up <-chan bool) Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		asked <- true
		<-up
		return dialTCP(context.WithoutCancel(ctx), address) // up, though the attempt was canceled meanwhile
	}
}

// lateConn is what crosses with a connection that is coming up.
type lateConn struct {
	name          string
	cancelAllowed bool
	cross         func(t *testing.T, l *loopback, client *peerConn)
	clientGone    bool
	withheld      bool // the decisions are asked once more whether the attempt may go out, and say no
}

// A connection that comes up after its backend has left its address, or after the client has gone, carries nothing: also where
// attempts under way may not be canceled.
func TestLateBackendConn(t *testing.T) {
	leaveAddress := func(t *testing.T, l *loopback, _ *peerConn) {
		l.applyChange(t, 3, `{"id":"s","addr":"127.0.0.1:1","state":"Terminating","weight":1,"version_no":1}`)
	}
	clientGoes := func(_ *testing.T, l *loopback, client *peerConn) {
		client.Close()
		waitUntil(func() bool { return l.core.Counts().ClientGone == 1 })
	}
	rollBack := func(_ *testing.T, l *loopback, _ *peerConn) {
		l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingBack, Cap: 0, HasState: true})
	}
	for _, c := range []lateConn{
		{"the address is left", true, leaveAddress, false, false},
		{"the client goes", true, clientGoes, true, false},
		{"the client goes, no canceling", false, clientGoes, true, false},
		{"its release rolls back", true, rollBack, false, true},
	} {
		t.Run(c.name, c.run)
	}
}

func (c lateConn) run(t *testing.T) {
	backend, asked, up := newFakeBackend(t), make(chan bool), make(chan bool)
	l := newLoopback(t, backend.address(), blockedDial(asked, up), c.cancelAllowed)
	l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingOut, Cap: 1, HasState: true})
	client := l.dialFront()
	send(client, requestWithID("r1"))
	<-asked
	c.cross(t, l, client)
	up <- true
	closed := make(chan bool)
	go func() { // what is kept of the connection is closed, so that the backend sees its end
		defer close(closed)
		waitUntil(func() bool { return l.core.Counts().OpenAttempts == 0 })
		l.upstream.CloseAddress(backend.address())
	}()
	conn := <-backend.conns
	<-closed
	if id, _, err := conn.readRequest(); err == nil {
		t.Errorf("%q was sent", id)
	}
	if !c.clientGone {
		if status, _ := client.readResponse(t); status != 503 {
			t.Errorf("answered %d", status)
		}
	}
	if n := l.core.Counts().AttemptsByStatus; n[policy.StatusNotSent] != 1 {
		t.Errorf("attempts by status %v, one not sent wanted", n)
	}
	if n := l.core.Counts().AttemptsWithheld; (n == 1) != c.withheld {
		t.Errorf("%d attempts withheld", n)
	}
}
