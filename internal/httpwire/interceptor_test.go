package httpwire

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
)

// recordingInterceptor writes down what it is told.
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

func (r *recordingInterceptor) Closed(float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, "gone")
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
				if got := strings.Join(interceptor.calls, "|"); got != c.want {
					t.Errorf("told %q, want %q", got, c.want)
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

// A client that goes before its answer is told as gone, one that goes within it as not whole, a handler that fails as failed,
// and no room is an answer like any other.
func TestInterceptorsBadEnds(t *testing.T) {
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
	if calls := interceptor.calls; len(calls) != 2 || calls[1] != "r1 false" {
		t.Errorf("told %v", calls)
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
	if calls := interceptor.calls; len(calls) != 2 || !strings.Contains(calls[0], " room ") || calls[1] != "r1 true" {
		t.Errorf("told %v", calls)
	}
	a.close()
}

func testGoneAndFailed(t *testing.T) {
	a, interceptor := intercepted(holdSilent)
	gone := a.core.Accept(core.Arrival{ID: "t", ArrivedAt: a.core.Now(), TimeLeft: 500})
	gone.NextAction()
	gone.ClientGone()
	if gone.NextAction().Kind != core.ActionAbandon {
		t.Error("no end")
	}
	gone.Close()
	failed := a.core.Accept(core.Arrival{ID: "u", ArrivedAt: a.core.Now(), TimeLeft: 500})
	failed.Fail()
	failed.ResponseWritten(true)
	failed.Close()
	if want := fmt.Sprintf("gone|u %d failed  0 1 |u true", core.ActionFail); strings.Join(interceptor.calls, "|") != want {
		t.Errorf("told %v", interceptor.calls)
	}
	if n := a.core.Counts(); n.ClientGone != 1 || n.Failed != 1 {
		t.Errorf("%+v", n)
	}
	time.Sleep(time.Minute)
	a.close()
}
