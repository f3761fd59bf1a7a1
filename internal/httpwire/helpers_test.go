package httpwire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// nopTransport ignores all actions that belong to no request.
type nopTransport struct{}

func (nopTransport) SendVote(policy.ReleaseID, policy.Verdict, int) {}
func (nopTransport) SendProbe(string)                               {}
func (nopTransport) WatchEndpoints()                                {}
func (nopTransport) FetchEndpoints()                                {}

// network is a dialer of in-memory pipes. The function at an address serves the peer's end of its connections.
type network map[string]func(net.Conn)

func (n network) dial(_ context.Context, address string) (net.Conn, error) {
	peer := n[address]
	if peer == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		peer(there)
	}()
	return here, nil
}

// testInstance is an instance on an in-memory network. It has the classes look (safe), save (idempotent) and pay
// (non-idempotent) and the backend s at the address app:1.
type testInstance struct {
	core      *core.Core
	upstream  *Upstream
	front     *Front
	discovery *Discovery
}

func newTestInstance(n network, sockets *Sockets) *testInstance {
	instance := &testInstance{core: core.New(nopTransport{})}
	classes := []policy.RequestClass{{Semantics: policy.Safe}, {Semantics: policy.Idempotent}, {Semantics: policy.NonIdempotent}}
	for k := range classes {
		classes[k].LatencyObjective, classes[k].Timeout, classes[k].Value, classes[k].DedupWindow = 1000, 4000, 1, 9000
	}
	instance.core.Start(func(port policy.Port) *policy.Instance {
		return policy.New(port, policy.Config{
			Seed: 7, Instances: 1, Classes: classes, MaxAttempts: 1, CancelAllowed: true,
			Exposure: policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{1}},
		})
	})
	instance.discovery = NewDiscovery(DiscoveryConfig{
		Core: instance.core, Dial: n.dial, Address: "list", Zones: []string{"z"}, HardwareClasses: []string{"k"}, Seed: 1,
	})
	instance.upstream = NewUpstream(UpstreamConfig{
		Core: instance.core, Dial: n.dial, Sockets: sockets, BackendAddress: instance.discovery.BackendAddress,
		ConnectTimeout: 250 * time.Millisecond, BackendIdleTimeout: 30 * time.Second,
		LoadOnResponses: true, LoadOnProbes: true,
	})
	instance.discovery.OnAddressVacated(instance.upstream.CloseAddress)
	instance.front = NewFront(FrontConfig{
		Core: instance.core, Upstream: instance.upstream, Sockets: sockets, ClassNames: []string{"look", "save", "pay"}, Classes: classes,
		CancelAllowed: true,
	})
	list := listJSON(1, true, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)
	if err := instance.discovery.Apply([]byte(list), FromConfiguration, func() {}); err != nil {
		panic(err) // the list above is malformed
	}
	return instance
}

// newPlatform returns a client for a platform at the address "control".
func (instance *testInstance) newPlatform(n network) *Platform {
	return NewPlatform(PlatformConfig{Core: instance.core, Dial: n.dial, Address: "control", VoteTimeout: 800 * time.Millisecond, Seed: 1})
}

// listJSON returns an endpoint list in discovery's format.
func listJSON(version int, full bool, entries string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, entries)
}

// close closes the instance's connections and waits for its timers. Any other goroutine that is left then fails the
// synctest bubble.
func (instance *testInstance) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	instance.upstream.Sweep(ctx)
	time.Sleep(time.Minute) // until the core's last timers have fired
}

// answerOnce serves one connection: it reads one whole request, writes the given response and closes the connection.
func answerOnce(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		drain(request.Body)
		send(conn, answer)
	}
}

// answerAndHold is like answerOnce, but keeps the connection open until the other side closes it.
func answerAndHold(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		answerOnce(answer)(conn)
		drain(conn)
	}
}

// holdSilent serves one connection: it reads everything and never responds.
func holdSilent(conn net.Conn) { drain(conn) }

// send writes text. If the other side has already closed, the error is expected and the next read shows it.
func send(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// drain reads to the end of file or until the connection fails.
func drain(from io.Reader) { _, _ = io.Copy(io.Discard, from) }

// pipeListener accepts the connections sent on the channel.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// frontServer serves a front on in-memory connections.
type frontServer struct {
	listener pipeListener
	server   *http.Server
	ended    chan struct{} // closed when the server's goroutine has ended
}

// serve starts the front's server in a goroutine that runs until close.
func (instance *testInstance) serve() *frontServer {
	s := &frontServer{make(pipeListener, 1), instance.front.Server(), make(chan struct{})}
	go func() {
		defer close(s.ended)
		_ = s.server.Serve(Listener{s.listener, instance.front.sockets}) // always returns ErrServerClosed
	}()
	return s
}

// dial opens a client connection to the front.
func (s *frontServer) dial() *peerConn {
	client, conn := net.Pipe()
	s.listener <- conn
	return &peerConn{client, bufio.NewReader(client)}
}

func (s *frontServer) close() {
	s.server.Close()
	<-s.ended
}

// clientAnswer is the head of a response from the front.
type clientAnswer struct {
	StatusCode int
	Header     http.Header
	Close      bool // the front closes the connection after the response
}

// readAnswer reads one response and its body.
func readAnswer(from *bufio.Reader) (answer clientAnswer, body string, err error) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return clientAnswer{}, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return clientAnswer{response.StatusCode, response.Header, response.Close}, string(text), err
}

// roundTrip sends text to the front on a new connection and returns the response and its body.
func (instance *testInstance) roundTrip(t *testing.T, text string) (clientAnswer, string) {
	t.Helper()
	server := instance.serve()
	defer server.close()
	client := server.dial()
	defer client.Close()
	go send(client, text) // ends when the connection is closed
	answer, body, err := readAnswer(client.in)
	if err != nil {
		t.Errorf("reading the response to %q: %v", text, err)
	}
	return answer, body
}

// validRequest is a valid request of class look.
const validRequest = "GET /look/k1?q=1 HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nX-Other: o\r\n\r\n"

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
