package httpwire

// Two events that cross, in just the order that hurts: over loopback sockets, ordered by channels. docs/crossings.md has a
// row for each.

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"onyxgate/policy"
)

// A second copy of an answer that comes late must not be the next request's, whether that came on the connection of a
// request or of a probe.
func TestSecondAnswerLate(t *testing.T) {
	s := newFakeBackend(t)
	l := newLoopback(t, s.address(), dialTCP, true)
	l.upstream.conns.reuseDelay = time.Hour // however slow the machine
	c := l.dialFront()
	io.WriteString(c, requestWithID("r1"))
	first := <-s.conns
	first.readRequest()
	first.respond("one")
	if _, body := c.readResponse(t); body != "one" {
		t.Fatalf("answered %q", body)
	}
	io.WriteString(c, requestWithID("r2"))
	next := make(chan *peerConn, 1)
	go func() { // r2 comes on the first connection, or on one of its own
		if id, _, _ := first.readRequest(); id != "" {
			next <- first
		}
	}()
	var second *peerConn
	select {
	case second = <-next:
	case second = <-s.conns:
		second.readRequest()
	}
	first.respond("one") // its second copy, just now
	if second != first {
		second.respond("two")
	}
	if status, body := c.readResponse(t); status != 200 || body != "two" {
		t.Errorf("r2 answered %d %q", status, body)
	}

	// A probe's copy: the request goes out on the probe's connection at once, and the copy comes ahead of its answer.
	p := newFakeBackend(t)
	l.applyChange(t, 3, `{"id":"s","addr":"`+p.address()+`","state":"Ready","weight":1,"version_no":1}`)
	go l.upstream.Probe("s")
	probed := <-p.conns
	probed.readRequest()
	probed.respond("queue=1,util=0.5")
	waitUntil(func() bool { // the probe's connection has been put back
		_, idle, _ := l.upstream.Connections()
		return idle > 0
	})
	io.WriteString(c, requestWithID("r3"))
	if id, _, err := probed.readRequest(); id != "r3" {
		t.Fatalf("the probe's connection carries %q (%v)", id, err)
	}
	probed.respond("queue=1,util=0.5")
	probed.respond("three")
	if status, body := c.readResponse(t); status != 200 || body != "three" {
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
		s, other := newFakeBackend(t), newFakeBackend(t)
		l := newLoopback(t, s.address(), dialTCP, true)
		l.upstream.conns.reuseDelay = 0
		c := l.dialFront()
		io.WriteString(c, requestWithID("r1"))
		first := <-s.conns
		first.readRequest()
		l.applyChange(t, 3, strings.NewReplacer("ADDR", s.address(), "OTHER", other.address()).Replace(entry))
		first.respond("one")
		c.readResponse(t)
		if id, _, err := first.readRequest(); err == nil {
			t.Errorf("the connection is used again, for %q", id)
		}
		if _, idle, _ := l.upstream.Connections(); idle != 0 {
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
	}{
		{"the address is left", true, false, false},
		{"the client goes", true, true, false},
		{"the client goes, no calling off", false, true, false},
		{"its release goes back", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, asked, up := newFakeBackend(t), make(chan bool), make(chan bool)
			l := newLoopback(t, s.address(), barred(asked, up), c.revokes)
			l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingOut, Cap: 1, Known: true})
			client := l.dialFront()
			io.WriteString(client, requestWithID("r1"))
			<-asked
			if c.back {
				l.core.UpdateRelease(policy.ReleaseUpdate{Release: 1, Phase: policy.RollingBack, Cap: 0, Known: true})
			} else if c.leaves {
				client.Close()
				waitUntil(func() bool { return l.core.Counts().ClientGone == 1 })
			} else {
				l.applyChange(t, 3, `{"id":"s","addr":"127.0.0.1:1","state":"Terminating","weight":1,"version_no":1}`)
			}
			up <- true
			end := make(chan bool)
			go func() { // what is kept of it is closed, so that the appliance sees an end
				defer close(end)
				waitUntil(func() bool { return l.core.Counts().OpenAttempts == 0 })
				l.upstream.CloseAddress(s.address())
			}()
			p := <-s.conns
			<-end
			if id, _, err := p.readRequest(); err == nil {
				t.Errorf("%q was sent", id)
			}
			if !c.leaves {
				if status, _ := client.readResponse(t); status != 503 {
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
