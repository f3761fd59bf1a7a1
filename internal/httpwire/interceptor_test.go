package httpwire

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
)

// recordingInterceptor writes down its calls.
type recordingInterceptor struct {
	mu           sync.Mutex
	calls        []string
	rejectReason string        // empty: it admits every request
	delay        time.Duration // how long it holds each answer back
	overrun      []float64     // of each answer: ms between the end of the delay and what was allowed
	core         *core.Core
}

func (r *recordingInterceptor) Admit(float64) (float64, string) { return 40, r.rejectReason }

func (r *recordingInterceptor) BeforeResponse(completion core.Completion, until float64) any {
	wait := min(r.delay, time.Duration((until-r.core.Now())*1e6))
	time.Sleep(wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overrun = append(r.overrun, r.core.Now()-until)
	r.calls = append(r.calls, fmt.Sprintf("%s %d %s %s %d %d %s",
		completion.RequestID, completion.Kind, completion.Reason, completion.Backend, completion.Release, completion.Attempts, completion.Body))
	return completion.RequestID
}

func (r *recordingInterceptor) AfterResponse(kept any, _ float64, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, fmt.Sprint(kept, " ", whole))
}

func (r *recordingInterceptor) Abandoned(float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, "gone")
}

// recorded returns the calls so far.
func (r *recordingInterceptor) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// An interceptor sees each request's one end before its first byte, whatever the end, and then whether it went whole.
func TestInterceptors(t *testing.T) {
	ok := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	served := fmt.Sprintf("r1 %d answered s 1 1 body|r1 true", core.ActionServe)
	rejected := func(reason string, attempts int) string {
		return fmt.Sprintf("r1 %d %s  0 %d |r1 true", core.ActionReject, reason, attempts)
	}
	for _, c := range []struct {
		name         string
		backend      func(net.Conn)
		rejectReason string
		delay        time.Duration
		want         string
		status       int
	}{
		{"served", ok, "", 0, served, 200},
		{"served and delayed", ok, "", 500 * time.Millisecond, served, 200},
		{"delayed for longer than the client waits", ok, "", time.Hour, served, 200},
		{"errored", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), "", 0, rejected("errored", 1), 503},
		{"nobody there", nil, "", 0, rejected("unconnected", 1), 503},
		{"silence", holdSilent, "", 0, rejected("late", 1), 503},
		{"rejected by an interceptor", ok, "unrecorded", 0, rejected("unrecorded", 0), 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, interceptor := intercepted(c.backend)
				interceptor.rejectReason, interceptor.delay = c.rejectReason, c.delay
				a.applyChange(t, 2, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)
				from := time.Now()
				answer, body := a.roundTrip(t, validRequest)
				if took := time.Since(from); answer.StatusCode != c.status || took > 2*time.Second {
					t.Errorf("%d %q after %v", answer.StatusCode, body, took)
				}
				synctest.Wait()
				if got := strings.Join(interceptor.recorded(), "|"); got != c.want {
					t.Errorf("called with %q, want %q", got, c.want)
				}
				for _, overrun := range interceptor.overrun {
					if overrun > 0.01 {
						t.Errorf("an answer may be held %v ms past its time", overrun)
					}
				}
				a.close()
			})
		})
	}
}

// An interceptor hears that the answer is written once its last byte has gone to the client, also where the server would hold
// back a short one; and that it is not where a client does not read a long one in time.
func TestInterceptorsSlowReader(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		reads bool
		want  string
	}{
		{"a short answer, read late", 4, true, "r1 true"},
		{"a long answer, never read", socketBufferBytes + 1, false, "r1 false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := strings.Repeat("x", c.bytes)
				a, interceptor := intercepted(answerOnce(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", c.bytes, body)))
				server := a.serve()
				client := server.dial()
				send(client, validRequest)
				time.Sleep(writeTimeout - time.Second)
				if calls := interceptor.recorded(); len(calls) != 1 {
					t.Errorf("called with %v before the client has read", calls)
				}
				if c.reads {
					client.readResponse(t)
				}
				time.Sleep(2 * time.Second)
				if calls := interceptor.recorded(); len(calls) != 2 || calls[1] != c.want {
					t.Errorf("called with %v, want %s", calls, c.want)
				}
				client.Close()
				server.close()
				a.close()
			})
		})
	}
}

// A client that goes before its answer is reported as gone, one that goes within it as not written, a handler that fails as failed,
// and no room is an answer like any other.
func TestInterceptorsFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"an answer cut off", testAnswerCutOff},
		{"no room", testNoRoomIntercepted},
		{"client gone, handler failed", testGoneAndFailed},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// intercepted is an instance with a recording interceptor.
func intercepted(backend func(net.Conn)) (*testInstance, *recordingInterceptor) {
	a := newTestInstance(network{"app:1": backend}, NewSockets(0))
	interceptor := &recordingInterceptor{core: a.core}
	a.core.AddInterceptor(interceptor)
	return a, interceptor
}

func testAnswerCutOff(t *testing.T) {
	big := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000))
	a, interceptor := intercepted(big)
	server := a.serve()
	client := server.dial()
	send(client, validRequest)
	// Without a buffer the rest stays with the front, which is still writing.
	begun := make([]byte, 200)
	if _, err := io.ReadFull(client.Conn, begun); err != nil || !strings.HasPrefix(string(begun), "HTTP/1.1 200 OK\r\n") {
		t.Fatalf("%q, %v", begun, err)
	}
	client.Close()
	synctest.Wait()
	if calls := interceptor.recorded(); len(calls) != 2 || calls[1] != "r1 false" {
		t.Errorf("called with %v", calls)
	}
	server.close()
	a.close()
}

func testNoRoomIntercepted(t *testing.T) {
	a, interceptor := intercepted(answerOnce(""))
	a.front.maxBodyBytes = -1 // no room
	answer, _ := a.roundTrip(t, validRequest)
	if answer.StatusCode != 503 {
		t.Fatal(answer)
	}
	synctest.Wait() // the handler ends after its client has the answer
	if calls := interceptor.recorded(); len(calls) != 2 || !strings.Contains(calls[0], " room ") || calls[1] != "r1 true" {
		t.Errorf("called with %v", calls)
	}
	a.close()
}

func testGoneAndFailed(t *testing.T) {
	a, interceptor := intercepted(holdSilent)
	gone := a.core.Accept(core.IncomingRequest{ID: "t", ArrivedAt: a.core.Now(), TimeLeft: 500})
	gone.NextAction()
	gone.ClientGone()
	if gone.NextAction().Kind != core.ActionAbandon {
		t.Error("no end")
	}
	gone.Close()
	failed := a.core.Accept(core.IncomingRequest{ID: "u", ArrivedAt: a.core.Now(), TimeLeft: 500})
	failed.Fail()
	failed.ResponseWritten(true)
	failed.Close()
	if want := fmt.Sprintf("gone|u %d failed  0 1 |u true", core.ActionFail); strings.Join(interceptor.recorded(), "|") != want {
		t.Errorf("called with %v", interceptor.recorded())
	}
	if n := a.core.Counts(); n.ClientGone != 1 || n.Failed != 1 {
		t.Errorf("%+v", n)
	}
	time.Sleep(time.Minute)
	a.close()
}
