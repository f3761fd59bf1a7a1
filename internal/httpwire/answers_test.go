package httpwire

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
)

// updateAnswers, set in the environment, writes what the front answers now in place of the stored answers.
const updateAnswers = "ONYXGATE_UPDATE_ANSWERS"

// Clients depend on each answer of the front to the byte: status, headers and body, as stored in testdata/answers.txt. Time in a
// synctest bubble is fixed, so that also the date is.
func TestAnswerBytes(t *testing.T) {
	const stored = "testdata/answers.txt"
	want, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, c := range answerCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := rawAnswer(t, c)
				section := "== " + c.name + "\n" + strings.ReplaceAll(answer, "\r", "\\r") + "\n"
				got.WriteString(section)
				if !strings.Contains(string(want), section) && os.Getenv(updateAnswers) == "" {
					t.Errorf("answered %q, which is not what %s holds", answer, stored)
				}
			})
		})
	}
	if os.Getenv(updateAnswers) != "" {
		if err := os.WriteFile(stored, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if got.String() != string(want) {
		t.Errorf("%s holds other answers than these, or in another order", stored)
	}
}

// answerCase is what a client sends and how the front stands just then.
type answerCase struct {
	name, text  string
	backend     func(net.Conn)
	prepare     func(*testInstance)
	intercepted bool
}

func answerCases() []answerCase {
	head := func(line string, more ...string) string {
		return line + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(more, "\r\n"), "\r\n")
	}
	id, left, key := "Req-Id: r", "Req-Deadline: 500m", "Idempotency-Key: m"
	served := answerOnce("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nbody")
	untyped := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	big := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4100\r\n\r\n" + strings.Repeat("x", 4100))
	rejected := answerOnce("HTTP/1.1 503 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	panics := func(a *testInstance) { a.upstream.address = func(string) string { panic("lost its map") } }
	noRoom := func(a *testInstance) { a.front.maxBodyBytes = -1 }
	closing := func(a *testInstance) { a.front.closingConns.Store(true) }
	ready := func(a *testInstance) { a.front.SetReady() }
	cases := []answerCase{
		{name: "ready", text: head("GET /up"), prepare: ready},
		{name: "ready, HEAD", text: head("HEAD /up"), prepare: ready},
		{name: "ready, connections end with their request", text: head("GET /up"), prepare: func(a *testInstance) {
			ready(a)
			closing(a)
		}},
		{name: "not ready", text: head("GET /up")},
		{name: "health by another method", text: head("POST /up", "Content-Length: 0"), prepare: ready},
		{name: "served", text: validRequest, backend: served},
		{name: "served, without a type", text: validRequest, backend: untyped},
		{name: "served, longer than the socket's buffer", text: validRequest, backend: big},
		{name: "served, connections end with their request", text: validRequest, backend: served, prepare: closing},
		{name: "rejected by the backend", text: validRequest, backend: rejected},
		{name: "nobody there", text: validRequest},
		{name: "no room", text: validRequest, prepare: noRoom},
		{name: "the handler fails", text: validRequest, prepare: panics},
		{name: "an id held already", text: validRequest, prepare: func(a *testInstance) {
			a.core.Accept(core.Arrival{ID: "r1", ArrivedAt: a.core.Now(), TimeLeft: 9000})
		}},
		{name: "HTTP/1.0", text: strings.Replace(head("GET /look/x", id, left), "/1.1", "/1.0", 1)},
		{name: "no id", text: head("GET /look/x", left)},
		{name: "two ids", text: head("GET /look/x", id, "Req-Id: q", left)},
		{name: "an id too long", text: head("GET /look/x", "Req-Id: "+strings.Repeat("i", 257), left)},
		{name: "unknown class", text: head("GET /other/x", id, left)},
		{name: "unknown class and nothing else right", text: head("PUT /other/x")},
		{name: "wrong method", text: head("POST /look/x", id, left, "Content-Length: 0")},
		{name: "wrong method and no id", text: head("GET /save/x", left)},
		{name: "no deadline", text: head("GET /look/x", id)},
		{name: "malformed deadline", text: head("GET /look/x", id, "Req-Deadline: 0x9m")},
		{name: "deadline beyond a day", text: head("GET /look/x", id, "Req-Deadline: 86400001m")},
		{name: "no idempotency key", text: head("POST /save/x", id, left, "Content-Length: 0")},
		{name: "no idempotency key and no length", text: head("POST /save/x", id, left)},
		{name: "a body where none belongs", text: head("GET /look/x", id, left, "Content-Length: 1") + "a"},
		{name: "no length", text: head("POST /save/x", id, left, key)},
		{name: "chunked", text: head("POST /save/x", id, left, key, "Transfer-Encoding: chunked") + "0\r\n\r\n"},
		{name: "body too long", text: head("POST /save/x", id, left, key, "Content-Length: 65537")},
		{name: "body that does not come", text: head("POST /save/x", id, left, key, "Content-Length: 9") + "ab"},
		{name: "all of the server", text: head("OPTIONS *", id, left)},
		{name: "noise", text: "\x00\x01 hello\r\n\r\n"},
	}
	for _, name := range []string{"served", "rejected by the backend", "no room", "the handler fails"} {
		for _, c := range cases {
			if c.name == name {
				c.name, c.intercepted = name+", intercepted", true
				cases = append(cases, c)
				break
			}
		}
	}
	return cases
}

// rawAnswer is all that the front writes on the connection on which a client sends the case's text.
func rawAnswer(t *testing.T, c answerCase) string {
	t.Helper()
	instance := newTestInstance(network{"app:1": c.backend}, NewSockets(0))
	if c.prepare != nil {
		c.prepare(instance)
	}
	if c.intercepted {
		instance.core.AddInterceptor(&recordingInterceptor{core: instance.core})
	}
	listener := make(pipeListener, 1)
	server, served := instance.front.Server(), make(chan bool)
	go func() {
		defer close(served)
		_ = server.Serve(Listener{listener, instance.front.sockets}) // ends with the server's Close
	}()
	client, conn := net.Pipe()
	listener <- conn
	go func() { _, _ = io.WriteString(client, c.text) }() // the front may close before all of it is read
	var answer bytes.Buffer
	read := make(chan bool)
	go func() {
		defer close(read)
		_, _ = io.Copy(&answer, client) // until either side closes
	}()
	time.Sleep(2 * time.Second) // longer than any case takes, shorter than a kept connection stays idle
	client.Close()
	<-read
	server.Close()
	<-served
	instance.close()
	return answer.String()
}
