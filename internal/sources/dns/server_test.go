package dns

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/miekg/dns"
)

// server is a name server on in-memory pipes. It returns the messages to send in response to a query; nil sends none.
type server func(network string, q *dns.Msg) []*dns.Msg

func (s server) dial(_ context.Context, network, address string) (net.Conn, error) {
	if address == "nowhere" {
		return nil, errors.New("refused")
	}
	clientConn, serverConn := net.Pipe()
	go func() {
		defer serverConn.Close()
		b := make([]byte, 4096)
		n, err := serverConn.Read(b)
		if err != nil {
			return
		}
		q := new(dns.Msg)
		if network == "tcp" {
			b, n = b[2:], n-2
		}
		if q.Unpack(b[:n]) != nil {
			return
		}
		for _, m := range s(network, q) {
			packed, _ := m.Pack()
			if network == "tcp" {
				packed = append([]byte{byte(len(packed) >> 8), byte(len(packed))}, packed...)
			}
			if _, err := serverConn.Write(packed); err != nil {
				return // the client has closed the connection
			}
		}
		_, _ = serverConn.Read(b) // returns once the client closes the connection
	}()
	return clientConn, nil
}

// records parses records in zone file format.
func records(t *testing.T, lines ...string) (out []dns.RR) {
	t.Helper()
	for _, line := range lines {
		rr, err := dns.NewRR(line)
		if err != nil {
			t.Fatalf("zone file record %q: %v", line, err)
		}
		out = append(out, rr)
	}
	return out
}

func reply(q *dns.Msg, rcode int, answer, extra, ns []dns.RR) *dns.Msg {
	m := new(dns.Msg)
	m.SetRcode(q, rcode)
	m.Answer, m.Extra, m.Ns = answer, extra, ns
	return m
}
