package httpwire

import (
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
)

// updateAnswers is an environment variable that makes the test write the stored answers instead of comparing with them.
const updateAnswers = "ONYXGATE_UPDATE_ANSWERS"

// Clients depend on every byte of the front's responses: status line, headers and body, as stored in
// testdata/answers.txt. The Date header is constant because synctest starts each bubble at the same time.
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
					t.Errorf("answer %q is not in %s", answer, stored)
				}
			})
		})
	}
	if os.Getenv(updateAnswers) != "" {
		if err := os.WriteFile(stored, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	} else if got.String() != string(want) {
		t.Errorf("%d bytes of answers differ from the %d bytes of %s in content or order", got.Len(), len(want), stored)
	}
}

// answerCase is what a client sends and the state of the front at that time.
type answerCase struct {
	name, text  string
	backend     func(net.Conn)
	prepare     func(*testInstance)
	intercepted bool
}

// requestText returns a request head: the request line without the version, and the header lines.
func requestText(line string, header ...string) string {
	return line + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(header, "\r\n"), "\r\n")
}

func answerCases() []answerCase {
	return slices.Concat(healthAnswers(), acceptedAnswers(), invalidRequestAnswers(), interceptedAnswers())
}

func closeConns(instance *testInstance) { instance.front.closingConns.Store(true) }

func healthAnswers() []answerCase {
	ready := func(instance *testInstance) { instance.front.SetReady() }
	return []answerCase{
		{name: "ready", text: requestText("GET /up"), prepare: ready},
		{name: "ready, HEAD", text: requestText("HEAD /up"), prepare: ready},
		{name: "ready, connections end with their request", text: requestText("GET /up"), prepare: func(instance *testInstance) {
			ready(instance)
			closeConns(instance)
		}},
		{name: "not ready", text: requestText("GET /up")},
		{name: "health by another method", text: requestText("POST /up", "Content-Length: 0"), prepare: ready},
	}
}

// acceptedAnswers are the responses to valid requests.
func acceptedAnswers() []answerCase {
	served := answerOnce("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nbody")
	untyped := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	big := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4100\r\n\r\n" + strings.Repeat("x", 4100))
	rejected := answerOnce("HTTP/1.1 503 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	panics := func(instance *testInstance) {
		instance.upstream.address = func(string) string { panic("injected panic") }
	}
	noRoom := func(instance *testInstance) { instance.front.maxOpenRequests = -1 }
	return []answerCase{
		{name: "served", text: validRequest, backend: served},
		{name: "served, without a type", text: validRequest, backend: untyped},
		{name: "served, longer than the socket's buffer", text: validRequest, backend: big},
		{name: "served, connections end with their request", text: validRequest, backend: served, prepare: closeConns},
		{name: "rejected by the backend", text: validRequest, backend: rejected},
		{name: "nobody there", text: validRequest},
		{name: "no room", text: validRequest, prepare: noRoom},
		{name: "the handler fails", text: validRequest, prepare: panics},
		{name: "an id held already", text: validRequest, prepare: func(instance *testInstance) {
			instance.core.Accept(core.IncomingRequest{ID: "r1", ArrivedAt: instance.core.Now(), TimeLeft: 9000})
		}},
	}
}

func invalidRequestAnswers() []answerCase {
	id, deadline, key := "Req-Id: r", "Req-Deadline: 500m", "Idempotency-Key: m"
	return []answerCase{
		{name: "HTTP/1.0", text: strings.Replace(requestText("GET /look/x", id, deadline), "/1.1", "/1.0", 1)},
		{name: "no id", text: requestText("GET /look/x", deadline)},
		{name: "two ids", text: requestText("GET /look/x", id, "Req-Id: q", deadline)},
		{name: "an id too long", text: requestText("GET /look/x", "Req-Id: "+strings.Repeat("i", 257), deadline)},
		{name: "unknown class", text: requestText("GET /other/x", id, deadline)},
		{name: "unknown class and nothing else right", text: requestText("PUT /other/x")},
		{name: "wrong method", text: requestText("POST /look/x", id, deadline, "Content-Length: 0")},
		{name: "wrong method and no id", text: requestText("GET /save/x", deadline)},
		{name: "no deadline", text: requestText("GET /look/x", id)},
		{name: "malformed deadline", text: requestText("GET /look/x", id, "Req-Deadline: 0x9m")},
		{name: "deadline beyond a day", text: requestText("GET /look/x", id, "Req-Deadline: 86400001m")},
		{name: "no idempotency key", text: requestText("POST /save/x", id, deadline, "Content-Length: 0")},
		{name: "no idempotency key and no length", text: requestText("POST /save/x", id, deadline)},
		{name: "a body where none belongs", text: requestText("GET /look/x", id, deadline, "Content-Length: 1") + "a"},
		{name: "no length", text: requestText("POST /save/x", id, deadline, key)},
		{name: "chunked", text: requestText("POST /save/x", id, deadline, key, "Transfer-Encoding: chunked") + "0\r\n\r\n"},
		{name: "body too long", text: requestText("POST /save/x", id, deadline, key, "Content-Length: 65537")},
		{name: "body that does not come", text: requestText("POST /save/x", id, deadline, key, "Content-Length: 9") + "ab"},
		{name: "all of the server", text: requestText("OPTIONS *", id, deadline)},
		{name: "noise", text: "\x00\x01 hello\r\n\r\n"},
	}
}

// interceptedAnswers are some of the accepted cases with an interceptor, for which the front writes the whole response.
func interceptedAnswers() []answerCase {
	var cases []answerCase
	for _, c := range acceptedAnswers() {
		if slices.Contains([]string{"served", "rejected by the backend", "no room", "the handler fails"}, c.name) {
			c.name, c.intercepted = c.name+", intercepted", true
			cases = append(cases, c)
		}
	}
	return cases
}

// rawAnswer returns all that the front writes on a connection on which a client sends the text of the case.
func rawAnswer(t *testing.T, c answerCase) string {
	t.Helper()
	instance := newTestInstance(network{"app:1": c.backend}, NewSockets(0))
	if c.prepare != nil {
		c.prepare(instance)
	}
	if c.intercepted {
		instance.core.AddInterceptor(&recordingInterceptor{core: instance.core})
	}
	server := instance.serve()
	client := server.dial()
	go send(client, c.text) // ends when the connection is closed
	var answer bytes.Buffer
	read := make(chan struct{})
	go func() { // ends when the connection is closed
		defer close(read)
		_, _ = io.Copy(&answer, client) // until either side closes
	}()
	time.Sleep(2 * time.Second) // longer than any case takes, shorter than the idle timeout
	client.Close()
	<-read
	server.close()
	instance.close()
	return answer.String()
}
