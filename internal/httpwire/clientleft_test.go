package httpwire

import (
	"fmt"
	"testing"
)

// A request whose client closed its connection while it waited unread, as in the listener's backlog, must not be sent to a
// backend: the close is noticed before the request is handled, not at the same time.
func TestClientLeftBeforeRequestIsHandled(t *testing.T) {
	const clients = 50
	backend := newFakeBackend(t)
	instance := newTestInstance(network{}, NewSockets(0))
	instance.upstream.conns.dial = dialTCP
	instance.applyChange(t, 2, `{"id":"s","addr":"`+backend.address()+`","state":"Ready","weight":1,"version_no":1}`)
	go func() { // ends with the listener of the backend
		for conn := range backend.conns {
			conn.respond("x")
			conn.Close()
		}
	}()
	listener := listenTCP(t)
	for k := range clients { // the connections wait in the backlog until the server starts
		client := connectTCP(t, listener.Addr().String())
		send(client, requestWithID(fmt.Sprintf("r%d", k)))
		client.Close()
	}
	server := instance.front.Server()
	ended := make(chan bool)
	go func() { // ends when the server is closed
		defer close(ended)
		_ = server.Serve(Listener{listener, instance.front.sockets})
	}()
	handled := func() int64 {
		n := instance.core.Counts()
		return instance.front.ClientsLeft() + int64(n.Served+n.Rejected+n.Failed+n.ClientGone)
	}
	waitUntil(func() bool { return handled() == clients })
	waitUntil(func() bool { return instance.core.Counts().OpenAttempts == 0 })
	if n := instance.core.Counts(); n.Accepted != 0 || instance.front.ClientsLeft() != clients {
		t.Errorf("accepted = %d, attempts %v, clients left = %d; want 0, none, %d", n.Accepted, n.AttemptsByStatus, instance.front.ClientsLeft(), clients)
	}
	server.Close()
	<-ended
}
