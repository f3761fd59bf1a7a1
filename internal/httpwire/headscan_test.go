package httpwire

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// The end of a head and its fields are found however the bytes are cut into reads.
func TestHeadScanner(t *testing.T) {
	for _, c := range []struct {
		head   string
		fields int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", 2},
		{"GET / HTTP/1.1\nHost: h\n\n", 1},
		{"GET / HTTP/1.1\nA: b\n\r\n", 1},
		{"GET / HTTP/1.1\r\n\r\n", 0},
		{"\r\n", 0},
		{"GET / HTTP/1.1\r\nA: \r \r\nB:\r\r\n\r\n", 2},
	} {
		text := c.head + "GET /next HTTP/1.1\r\nX: y\r\n"
		for first := range len(c.head) {
			for second := first; second < len(c.head); second++ {
				var s headScanner
				n := s.scan([]byte(text[:first]))
				n += s.scan([]byte(text[first:second]))
				n += s.scan([]byte(text[second:]))
				if n != len(c.head) || !s.complete || s.fields() != c.fields || s.bytes != n {
					t.Fatalf("%q cut at %d and %d: %d bytes, %d fields, complete %v; want %d, %d, true",
						c.head, first, second, n, s.fields(), s.complete, len(c.head), c.fields)
				}
			}
		}
	}
}

// shortFields returns a part of a head with many short fields.
func shortFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// A head of very many short fields, each of which costs a hundred times its length once it is parsed, is answered 431 before
// it is parsed, also if it arrives together with the request before it.
func TestTooManyFields(t *testing.T) {
	largest := strings.Replace(requestWithID("most"), "X-Other: o\r\n", shortFields(maxHeadFields-3), 1)
	tooLarge := strings.Replace(requestWithID("more"), "X-Other: o\r\n", shortFields(maxHeadFields-2), 1)
	incomplete := tooLarge[:len(tooLarge)-2]
	body := requestText("POST /pay/x", "Req-Id: body", "Req-Deadline: 3000m", "Content-Length: 12") + "a\n\n\nb\n\n\nc\n\n\n"[:12]
	for _, c := range []struct {
		name     string
		text     string
		statuses []int
	}{
		{"most fields", largest, []int{200}},
		{"too many", tooLarge, []int{431}},
		{"too many, incomplete", incomplete, []int{431}},
		{"behind another request", requestWithID("first") + incomplete, []int{200, 431}},
		{"behind a body", body + incomplete, []int{200, 431}},
		{"lines of a body are no fields", strings.Repeat(body, 1), []int{200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}, NewSockets(0))
				server := instance.serve()
				client := server.dial()
				go send(client, c.text) // ends when it is read or the connection is closed
				for _, want := range c.statuses {
					if status, _ := client.readResponse(t); status != want {
						t.Errorf("status = %d, want %d", status, want)
					}
				}
				client.Close()
				server.close()
				instance.close()
			})
		})
	}
}

// Heads that never end cost no more memory than their connections are counted with.
func TestMemoryOfIncompleteHeads(t *testing.T) {
	const clients = 100
	backend := newFakeBackend(t)
	l := newLoopback(t, backend.address(), dialTCP, true)
	before := heapBytes()
	for i := range clients {
		head := strings.Replace(requestWithID(fmt.Sprintf("r%d", i)), "X-Other: o\r\n\r\n", shortFields(3000), 1)
		send(l.dialFront(), head)
	}
	// Rejected connections are closed; others wait for the end of their head.
	waitUntil(func() bool { u := l.front.sockets.Usage(); return u.Clients == u.ReceivingClients })
	if grown, allowed := heapBytes()-before, int64(clients*connectionBytes); grown > allowed {
		t.Errorf("the heap grew by %d bytes for %d incomplete heads, want at most %d", grown, clients, allowed)
	}
}
