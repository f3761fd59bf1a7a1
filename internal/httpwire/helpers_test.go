package httpwire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// nopTransport drops every action of the decisions that belongs to no request.
type nopTransport struct{}

func (nopTransport) SendVote(policy.ReleaseID, policy.Verdict, int) {}
func (nopTransport) SendProbe(string)                               {}
func (nopTransport) WatchEndpoints()                                {}
func (nopTransport) FetchEndpoints()                                {}

// network dials in-memory pipes: the peer's side of a connection is served by the function at its address.
type network map[string]func(net.Conn)

func (n network) dial(ctx context.Context, address string) (net.Conn, error) {
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

// testInstance is a whole instance on a network: the classes look (safe), save (idempotent) and pay (non-idempotent), and one
// backend s at the address app:1.
type testInstance struct {
	core      *core.Core
	upstream  *Upstream
	front     *Front
	discovery *Discovery
}

func newTestInstance(n network, sockets *Sockets) *testInstance {
	a := &testInstance{core: core.New(nopTransport{})}
	products := []policy.RequestClass{{Semantics: policy.Safe}, {Semantics: policy.Idempotent}, {Semantics: policy.NonIdempotent}}
	for k := range products {
		products[k].LatencyObjective, products[k].Timeout, products[k].Value, products[k].DedupWindow = 1000, 4000, 1, 9000
	}
	a.core.Start(func(port policy.Port) *policy.Instance {
		return policy.New(port, policy.Config{
			Seed: 7, Instances: 1, Classes: products, MaxAttempts: 1, CancelAllowed: true,
			Exposure: policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{1}},
		})
	})
	a.discovery = NewDiscovery(a.core, n.dial, "list", []string{"z"}, []string{"k"}, false, 1)
	a.upstream = NewUpstream(a.core, n.dial, a.discovery.Address, sockets, 250, 30000, true, true)
	a.discovery.OnRemove(a.upstream.CloseAddress)
	a.front = NewFront(FrontConfig{
		Core: a.core, Upstream: a.upstream, Sockets: sockets, ClassNames: []string{"look", "save", "pay"}, Classes: products,
		CancelAllowed: true, MaxBodyBytes: 1 << 20,
	})
	a.discovery.Apply([]byte(listJSON(1, true, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)), FromConfiguration, func() {})
	return a
}

// listJSON is an endpoint list as discovery sends it.
func listJSON(version int, full bool, entries string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, entries)
}

// close ends what an instance keeps, so that a synctest bubble ends only if no other goroutine was left.
func (a *testInstance) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.upstream.Sweep(ctx)
	time.Sleep(time.Minute) // the last timers of the decisions
}

// answerOnce serves one connection: it reads one request whole, writes the given answer and closes.
func answerOnce(answer string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, answer)
	}
}

// answerAndHold does the same and leaves the connection open until the client closes it.
func answerAndHold(answer string) func(net.Conn) {
	return func(c net.Conn) {
		answerOnce(answer)(c)
		io.Copy(io.Discard, c)
	}
}

// pipeListener is a listener that accepts the connections sent on the channel.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// roundTrip sends text to the front on a new connection and returns the answer and its body.
func (a *testInstance) roundTrip(t *testing.T, text string) (*http.Response, string) {
	in := make(pipeListener, 1)
	server := a.front.Server()
	served := make(chan bool)
	go func() { server.Serve(Listener{in, a.front.sockets}); close(served) }()
	here, there := net.Pipe()
	in <- there
	defer func() { here.Close(); server.Close(); <-served }()
	go io.WriteString(here, text)
	resp, err := http.ReadResponse(bufio.NewReader(here), nil)
	if err != nil {
		t.Error(err)
		return &http.Response{Header: http.Header{}}, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(body)
}

// validRequest is a request of class look with nothing wrong in it.
const validRequest = "GET /look/k1?q=1 HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nX-Other: o\r\n\r\n"
