package dns

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// A look-up returns whatever bytes the server sends. If it succeeds, its answer is negative or has observations.
func FuzzAnswer(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion("_r._tcp.x.", dns.TypeSRV)
	packed, _ := reply(q, 0, nil, nil, nil).Pack()
	f.Add(packed, false)
	f.Add(packed[:9], true)
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, answer []byte, tcp bool) {
		r := New(func(_ context.Context, network, _ string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go func() {
				defer serverConn.Close()
				b := make([]byte, 4096)
				n, err := serverConn.Read(b)
				if err != nil {
					return
				}
				a := slices.Clone(answer)
				if network == "tcp" {
					a = append([]byte{byte(len(a) >> 8), byte(len(a))}, a...)
				} else if copy(a, b[:min(2, n)]); tcp && len(a) > 2 {
					a[2] |= 2 // truncated
				}
				_, _ = serverConn.Write(a) // the client may have closed the connection
			}()
			return clientConn, nil
		}, rand.New(rand.NewPCG(1, 2)), time.Second)
		a, err := r.Lookup(t.Context(), "s", "_r._tcp.x")
		if err == nil && !a.Negative && len(a.Observations) == 0 {
			t.Fatalf("Lookup = %+v without error, want observations or a negative answer", a)
		}
	})
}
