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

// nothing is what the module calls beside its requests, not carried out.
type nothing struct{}

func (nothing) SendVote(policy.ReleaseID, policy.Verdict, int) {}
func (nothing) SendProbe(string)                               {}
func (nothing) WatchEndpoints()                                {}
func (nothing) FetchEndpoints()                                {}

// network is a loopback of pipes: who answers is named by address.
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

// agent is a whole agent on a network: products look (inquiry-like), save (referenced) and pay (once-only) and one
// appliance s at address app.
type agent struct {
	core  *core.Core
	up    *Upstream
	front *Front
	disc  *Discovery
}

func newAgent(n network, sockets *Sockets) *agent {
	a := &agent{core: core.New(nothing{})}
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
	a.disc = NewDiscovery(a.core, n.dial, "list", []string{"z"}, []string{"k"}, false, 1)
	a.up = NewUpstream(a.core, n.dial, a.disc.Address, sockets, 250, 30000, true, true)
	a.disc.OnRemove(a.up.CloseAddress)
	a.front = NewFront(a.core, a.up, sockets, []string{"look", "save", "pay"}, products, true, 0, 1<<20)
	a.disc.Apply([]byte(told(1, true, `{"id":"s","addr":"app:1","state":"Ready","weight":1,"version_no":1}`)), FromConfiguration, func() {})
	return a
}

func told(version int, full bool, entries string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, entries)
}

// close ends what an agent keeps, so that a bubble ends only if nothing else was left.
func (a *agent) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.up.Sweep(ctx)
	time.Sleep(time.Minute) // the module's last alarms
}

// once reads one call whole and writes what is given.
func once(answer string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, answer)
	}
}

// stays writes what is given and leaves the connection open.
func stays(answer string) func(net.Conn) {
	return func(c net.Conn) {
		once(answer)(c)
		io.Copy(io.Discard, c)
	}
}

// pipes is a listener whose connections are handed in.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// ask sends text on a new connection to the front and returns the answer, its body, and what is told by done.
func (a *agent) ask(t *testing.T, text string) (*http.Response, string) {
	in := make(pipes, 1)
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

const good = "GET /look/k1?q=1 HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nX-Other: o\r\n\r\n"
