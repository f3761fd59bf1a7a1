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

// recordingInterceptor records its calls.
type recordingInterceptor struct {
	mu           sync.Mutex
	calls        []string
	rejectReason string        // empty: every request is admitted
	delay        time.Duration // how long each response is delayed
	overrun      []float64     // per response: ms by which the delay exceeded the permitted time
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

func (r *recordingInterceptor) AfterResponse(token any, _ float64, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, fmt.Sprint(token, " ", written))
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

// An interceptor is called before the first byte of each response, whatever the outcome, and again after the response
// with whether it was completely written.
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
		{"delayed beyond the client's timeout", ok, "", time.Hour, served, 200},
		{"errored", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), "", 0, rejected("errored", 1), 503},
		{"connection refused", nil, "", 0, rejected("unconnected", 1), 503},
		{"silent backend", holdSilent, "", 0, rejected("late", 1), 503},
		{"rejected by an interceptor", ok, "unrecorded", 0, rejected("unrecorded", 0), 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance, interceptor := intercepted(c.backend)
				interceptor.rejectReason, interceptor.delay = c.rejectReason, c.delay
				instance.applyChange(t, 2, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)
				from := time.Now()
				answer, body := instance.roundTrip(t, validRequest)
				if took := time.Since(from); answer.StatusCode != c.status || took > 2*time.Second {
					t.Errorf("response = %d %q after %v, want status %d within 2s", answer.StatusCode, body, took, c.status)
				}
				synctest.Wait()
				if got := strings.Join(interceptor.recorded(), "|"); got != c.want {
					t.Errorf("interceptor calls = %q, want %q", got, c.want)
				}
				for _, overrun := range interceptor.overrun {
					if overrun > 0.01 {
						t.Errorf("response delayed %v ms beyond the permitted time, want at most 0.01", overrun)
					}
				}
				instance.close()
			})
		})
	}
}

// An interceptor learns that a response was written only when its last byte was sent, even if the server would buffer a
// short response. It learns that the write failed if the client does not read a long response in time.
func TestInterceptorsSlowReader(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
		reads bool
		want  string
	}{
		{"short response, read late", 4, true, "r1 true"},
		{"long response, never read", socketBufferBytes + 1, false, "r1 false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := strings.Repeat("x", c.bytes)
				instance, interceptor := intercepted(answerOnce(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", c.bytes, body)))
				server := instance.serve()
				client := server.dial()
				send(client, validRequest)
				time.Sleep(writeTimeout - time.Second)
				if calls := interceptor.recorded(); len(calls) != 1 {
					t.Errorf("interceptor calls = %v before the client has read, want one", calls)
				}
				if c.reads {
					client.readResponse(t)
				}
				time.Sleep(2 * time.Second)
				if calls := interceptor.recorded(); len(calls) != 2 || calls[1] != c.want {
					t.Errorf("interceptor calls = %v, want two, the second %q", calls, c.want)
				}
				client.Close()
				server.close()
				instance.close()
			})
		})
	}
}

// The interceptor learns the outcome if a client disconnects before or during its response, if a request fails, or if it
// is rejected because the front's limits are exceeded.
func TestInterceptorsFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"client disconnects during the response", testAnswerCutOff},
		{"no room", testNoRoomIntercepted},
		{"client gone, failed request", testGoneAndFailed},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// intercepted returns an instance with a recording interceptor.
func intercepted(backend func(net.Conn)) (*testInstance, *recordingInterceptor) {
	instance := newTestInstance(network{"app:1": backend}, NewSockets(0))
	interceptor := &recordingInterceptor{core: instance.core}
	instance.core.AddInterceptor(interceptor)
	return instance, interceptor
}

func testAnswerCutOff(t *testing.T) {
	big := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000))
	instance, interceptor := intercepted(big)
	server := instance.serve()
	client := server.dial()
	send(client, validRequest)
	// The pipe has no buffer, so the front is still writing the rest.
	begun := make([]byte, 200)
	if _, err := io.ReadFull(client.Conn, begun); err != nil || !strings.HasPrefix(string(begun), "HTTP/1.1 200 OK\r\n") {
		t.Fatalf("first bytes of the response = %q, error %v; want status 200", begun, err)
	}
	client.Close()
	synctest.Wait()
	if calls := interceptor.recorded(); len(calls) != 2 || calls[1] != "r1 false" {
		t.Errorf("interceptor calls = %v, want two, the second %q", calls, "r1 false")
	}
	server.close()
	instance.close()
}

func testNoRoomIntercepted(t *testing.T) {
	instance, interceptor := intercepted(answerOnce(""))
	instance.front.maxOpenRequests = -1 // every request exceeds the limit
	answer, _ := instance.roundTrip(t, validRequest)
	if answer.StatusCode != 503 {
		t.Fatalf("status = %d, want 503", answer.StatusCode)
	}
	synctest.Wait() // the handler returns after the client has the response
	if calls := interceptor.recorded(); len(calls) != 2 || !strings.Contains(calls[0], " room ") || calls[1] != "r1 true" {
		t.Errorf("interceptor calls = %v, want two, the first with reason %q, the second %q", calls, rejectNoRoom, "r1 true")
	}
	instance.close()
}

func testGoneAndFailed(t *testing.T) {
	instance, interceptor := intercepted(holdSilent)
	gone := instance.core.Accept(core.IncomingRequest{ID: "t", ArrivedAt: instance.core.Now(), TimeLeft: 500})
	gone.NextAction()
	gone.ClientGone()
	if gone.NextAction().Kind != core.ActionAbandon {
		t.Errorf("action after ClientGone is not ActionAbandon (%d)", core.ActionAbandon)
	}
	gone.Close()
	failed := instance.core.Accept(core.IncomingRequest{ID: "u", ArrivedAt: instance.core.Now(), TimeLeft: 500})
	failed.Fail()
	failed.ResponseWritten(true)
	failed.Close()
	if want := fmt.Sprintf("gone|u %d failed  0 1 |u true", core.ActionFail); strings.Join(interceptor.recorded(), "|") != want {
		t.Errorf("interceptor calls = %v, want %q", interceptor.recorded(), want)
	}
	if n := instance.core.Counts(); n.ClientGone != 1 || n.Failed != 1 {
		t.Errorf("counts = %+v, want one client gone and one failed request", n)
	}
	time.Sleep(time.Minute)
	instance.close()
}
