package httpwire

// Races of two events in their worst order, over loopback sockets and synchronized by channels. docs/crossings.md has a
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

// A late second copy of a response must not be taken for the response to the next request on the connection, whether
// the first call was a request or a probe.
func TestLateDuplicateResponse(t *testing.T) {
	t.Run("of a request", func(t *testing.T) {
		backend := newFakeBackend(t)
		l := newLoopback(t, backend.address(), dialTCP, true)
		l.upstream.conns.reuseDelay = time.Hour // longer than the test can take
		client := l.dialFront()
		send(client, requestWithID("r1"))
		first := <-backend.conns
		first.mustReadRequest(t)
		first.respond("one")
		if _, body := client.readResponse(t); body != "one" {
			t.Fatalf("body of the response to r1 = %q, want %q", body, "one")
		}
		send(client, requestWithID("r2"))
		second := connWithNextRequest(t, backend, first)
		first.respond("one") // the second copy
		if second != first {
			second.respond("two")
		}
		if status, body := client.readResponse(t); status != 200 || body != "two" {
			t.Errorf("response to r2 = %d %q, want 200 %q", status, body, "two")
		}
	})
	// The request is sent on the probe's connection at once, and the copy arrives before the request's response.
	t.Run("of a probe", func(t *testing.T) {
		backend := newFakeBackend(t)
		l := newLoopback(t, backend.address(), dialTCP, true)
		l.upstream.conns.reuseDelay = time.Hour
		client := l.dialFront()
		go l.upstream.Probe("s") // ends with the response below
		probed := <-backend.conns
		probed.mustReadRequest(t)
		probed.respond("queue=1,util=0.5")
		waitUntil(func() bool { // until the probe's connection is back in the pool
			_, idle, _ := l.upstream.Connections()
			return idle > 0
		})
		send(client, requestWithID("r3"))
		if id, _, err := probed.readRequest(); id != "r3" {
			t.Fatalf("request on the probe's connection = %q, error %v; want r3", id, err)
		}
		probed.respond("queue=1,util=0.5")
		probed.respond("three")
		if status, body := client.readResponse(t); status != 200 || body != "three" {
			t.Errorf("response to r3 = %d %q, want 200 %q", status, body, "three")
		}
	})
}

// connWithNextRequest returns the connection on which the backend receives the next request: the first one or a new one.
func connWithNextRequest(t *testing.T, backend *fakeBackend, first *peerConn) *peerConn {
	t.Helper()
	onFirst := make(chan bool, 1)
	go func() { // ends with the request or when the connection is closed
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

// A connection is not reused if, during its call, a list replaces the backend at its address.
func TestVacatedAddressConnNotReused(t *testing.T) {
	restarted := `{"id":"s","addr":"ADDR","state":"Ready","weight":1,"version_no":2,"started_ms":5}`
	successor := `{"id":"u","addr":"ADDR","state":"Terminating","weight":1,"version_no":2}`
	moved := `{"id":"s","addr":"OTHER","state":"Ready","weight":1,"version_no":1}`
	for _, c := range []struct{ name, entries string }{
		{"restarted", restarted},
		{"address taken by another backend", moved + "," + successor},
		{"address taken by another backend, listed first", successor + "," + moved},
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
				t.Errorf("request %q was sent on a connection to a replaced backend, want none", id)
			}
			if _, idle, _ := l.upstream.Connections(); idle != 0 {
				t.Errorf("idle backend connections = %d, want 0", idle)
			}
		})
	}
}

// blockedDial returns a Dial that sends on asked and then waits for up before it connects.
func blockedDial(asked chan<- bool, up <-chan bool) Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		asked <- true
		<-up
		return dialTCP(context.WithoutCancel(ctx), address) // connects even if the attempt was canceled meanwhile
	}
}

// dialEvent is an event that occurs during the dial of a backend connection.
type dialEvent struct {
	name          string
	cancelAllowed bool
	trigger       func(t *testing.T, l *loopback, client *peerConn)
	clientGone    bool
	withheld      bool // the core is asked again whether the attempt may be sent, and declines
}

// Nothing is sent on a connection that is established after its backend has left the address or after the client has
// gone, even if attempts in progress must not be canceled.
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
	for _, c := range []dialEvent{
		{"backend leaves the address", true, leaveAddress, false, false},
		{"client disconnects", true, clientGoes, true, false},
		{"client disconnects, cancellation not allowed", false, clientGoes, true, false},
		{"release rolls back", true, rollBack, false, true},
	} {
		t.Run(c.name, c.run)
	}
}

func (c dialEvent) run(t *testing.T) {
	backend, asked, up := newFakeBackend(t), make(chan bool), make(chan bool)
	l := newLoopback(t, backend.address(), blockedDial(asked, up), c.cancelAllowed)
	l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingOut, Cap: 1, HasState: true})
	client := l.dialFront()
	send(client, requestWithID("r1"))
	<-asked
	c.trigger(t, l, client)
	up <- true
	closed := make(chan bool)
	go func() { // closes the connection if it was pooled, so that the backend sees its end
		defer close(closed)
		waitUntil(func() bool { return l.core.Counts().OpenAttempts == 0 })
		l.upstream.CloseAddress(backend.address())
	}()
	conn := <-backend.conns
	<-closed
	if id, _, err := conn.readRequest(); err == nil {
		t.Errorf("request %q was sent, want none", id)
	}
	if !c.clientGone {
		if status, _ := client.readResponse(t); status != 503 {
			t.Errorf("status = %d, want 503", status)
		}
	}
	if n := l.core.Counts().AttemptsByStatus; n[policy.StatusNotSent] != 1 {
		t.Errorf("attempts by status = %v, want one with status %d (StatusNotSent)", n, policy.StatusNotSent)
	}
	if n := l.core.Counts().AttemptsWithheld; (n == 1) != c.withheld {
		t.Errorf("withheld attempts = %d, want 1 only if the release rolls back (%v)", n, c.withheld)
	}
}
