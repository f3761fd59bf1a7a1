package httpwire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
)

// recordingInterceptor is a part that writes down what it is told.
type recordingInterceptor struct {
	mu           sync.Mutex
	calls        []string
	rejectReason string
	delay        time.Duration // each answer
	overrun      []float64     // ms between the end of a hold and what was allowed
	core         *core.Core
}

func (f *recordingInterceptor) Admit(float64) (float64, string) { return 40, f.rejectReason }

func (f *recordingInterceptor) BeforeResponse(e core.Completion, until float64) any {
	wait := min(f.delay, time.Duration((until-f.core.Now())*1e6))
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overrun = append(f.overrun, f.core.Now()-until)
	f.calls = append(f.calls, fmt.Sprintf("%s %d %s %s %d %d %s", e.RequestID, e.Kind, e.Reason, e.Backend, e.Release, e.Attempts, e.Body))
	return e.RequestID
}

func (f *recordingInterceptor) AfterResponse(kept any, _ float64, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, fmt.Sprint(kept, " ", whole))
}

func (f *recordingInterceptor) Closed(float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "gone")
}

// A part sees each request's one end before its first byte, whatever the end, and then whether it went whole.
func TestParts(t *testing.T) {
	ok := answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	for _, c := range []struct {
		name    string
		peer    func(net.Conn)
		refuses string
		holds   time.Duration
		open    int
		want    string
		status  int
	}{
		{"settled", ok, "", 0, 0, fmt.Sprintf("r1 %d answered s 1 1 body|r1 true", core.ActionServe), 200},
		{"settled and held", ok, "", 500 * time.Millisecond, 0, fmt.Sprintf("r1 %d answered s 1 1 body|r1 true", core.ActionServe), 200},
		{"held for longer than the client waits", ok, "", time.Hour, 0, fmt.Sprintf("r1 %d answered s 1 1 body|r1 true", core.ActionServe), 200},
		{"errored", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), "", 0, 0, fmt.Sprintf("r1 %d errored  0 1 |r1 true", core.ActionReject), 503},
		{"nobody there", nil, "", 0, 0, fmt.Sprintf("r1 %d unconnected  0 1 |r1 true", core.ActionReject), 503},
		{"silence", func(c net.Conn) { io.Copy(io.Discard, c) }, "", 0, 0, fmt.Sprintf("r1 %d late  0 1 |r1 true", core.ActionReject), 503},
		{"turned away by a part", ok, "unrecorded", 0, 0, fmt.Sprintf("r1 %d unrecorded  0 0 |r1 true", core.ActionReject), 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestInstance(network{"app:1": c.peer}, NewSockets(0))
				f := &recordingInterceptor{rejectReason: c.refuses, delay: c.holds, core: a.core}
				a.core.AddInterceptor(f)
				a.discovery.Apply([]byte(listJSON(2, true, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)), FromWatch, func() {})
				from := time.Now()
				resp, body := a.roundTrip(t, validRequest)
				if took := time.Since(from); resp.StatusCode != c.status || took > 2*time.Second {
					t.Errorf("%d %q after %v", resp.StatusCode, body, took)
				}
				synctest.Wait()
				if got := strings.Join(f.calls, "|"); got != c.want {
					t.Errorf("told %q, want %q", got, c.want)
				}
				for _, over := range f.overrun {
					if over > 0.01 {
						t.Errorf("an answer may be held %v ms past its time", over)
					}
				}
				a.close()
			})
		})
	}
}

// A client that goes before its answer is told as gone, one that goes within it as not whole, a handler that fails is
// voided, and no room is an answer like any other.
func TestPartsBadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		big := strings.Repeat("x", 60000)
		a := newTestInstance(network{"app:1": func(c net.Conn) {
			answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + big)(c)
		}}, NewSockets(0))
		f := &recordingInterceptor{core: a.core}
		a.core.AddInterceptor(f)
		in := make(pipeListener, 1)
		server := a.front.Server()
		served := make(chan bool)
		go func() { server.Serve(Listener{in, a.front.sockets}); close(served) }()
		here, there := net.Pipe()
		in <- there
		io.WriteString(here, validRequest)
		r, err := http.ReadResponse(bufio.NewReaderSize(here, 16), nil)
		if err != nil {
			t.Fatal(err)
		}
		io.ReadFull(r.Body, make([]byte, 100))
		here.Close()
		synctest.Wait()
		if len(f.calls) != 2 || f.calls[1] != "r1 false" {
			t.Errorf("an answer cut off: %v", f.calls)
		}

		f.calls = nil
		here, there = net.Pipe()
		in <- there
		a.front.maxBodyBytes = -1 // no room
		go io.WriteString(here, validRequest)
		r, err = http.ReadResponse(bufio.NewReader(here), nil)
		if err != nil || r.StatusCode != 503 {
			t.Fatal(r, err)
		}
		here.Close()
		synctest.Wait()
		if len(f.calls) != 2 || !strings.Contains(f.calls[0], " room ") || f.calls[1] != "r1 true" {
			t.Errorf("no room: %v", f.calls)
		}
		server.Close()
		<-served
		a.close()
	})
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{"app:1": func(c net.Conn) { io.Copy(io.Discard, c) }}, NewSockets(0))
		f := &recordingInterceptor{core: a.core}
		a.core.AddInterceptor(f)
		x := a.core.Accept(core.Arrival{ID: "t", ArrivedAt: a.core.Now(), TimeLeft: 500})
		x.NextAction()
		x.ClientGone()
		if x.NextAction().Kind != core.ActionAbandon {
			t.Error("no end")
		}
		x.Close()
		y := a.core.Accept(core.Arrival{ID: "u", ArrivedAt: a.core.Now(), TimeLeft: 500})
		y.Fail()
		y.ResponseWritten(true)
		y.Close()
		if want := fmt.Sprintf("gone|u %d failed  0 1 |u true", core.ActionFail); strings.Join(f.calls, "|") != want {
			t.Errorf("told %v", f.calls)
		}
		if n := a.core.Counts(); n.ClientGone != 1 || n.Failed != 1 {
			t.Errorf("%+v", n)
		}
		time.Sleep(time.Minute)
		a.close()
	})
}
