package dns

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/miekg/dns"

	"onyxgate/internal/sources"
)

// server answers each question as it is told, over pipes; nil is silence.
type server func(network string, q *dns.Msg) []*dns.Msg

func (s server) dial(_ context.Context, network, address string) (net.Conn, error) {
	if address == "nowhere" {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	go func() {
		defer there.Close()
		b := make([]byte, 4096)
		n, err := there.Read(b)
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
			there.Write(packed)
		}
		there.Read(b) // until the other side is done
	}()
	return here, nil
}

func records(t *testing.T, lines ...string) (out []dns.RR) {
	for _, line := range lines {
		rr, err := dns.NewRR(line)
		if err != nil {
			t.Fatal(err)
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

// What a server sends, and what is made of it.
func TestLookup(t *testing.T) {
	name := "_render._tcp.fleet.example.org."
	srv := records(t, name+" 30 IN SRV 1 10 80 a.example.org.", name+" 20 IN SRV 2 5 81 B.example.org.")
	hosts := records(t, "a.example.org. 40 IN A 10.0.0.1", "b.example.org. 10 IN A 10.0.0.2", "b.example.org. 50 IN AAAA fd00::2")
	soa := records(t, "fleet.example.org. 50 IN SOA n. m. 1 2 3 4 7")
	both := []sources.Observation{
		{Address: "10.0.0.1:80", Priority: 1, Weight: 10},
		{Address: "10.0.0.2:81", Priority: 2, Weight: 5},
		{Address: "[fd00::2]:81", Priority: 2, Weight: 5},
	}
	one := func(f func(network string, q *dns.Msg) *dns.Msg) server {
		return func(network string, q *dns.Msg) []*dns.Msg { return []*dns.Msg{f(network, q)} }
	}
	many := make([]dns.RR, 0, 2000)
	for i := range 2000 {
		many = append(many, records(t, fmt.Sprintf("%s 30 IN SRV 1 1 %d a.x.", name, i+1))...)
	}
	for _, c := range []struct {
		name   string
		s      server
		want   []sources.Observation
		n      int // claims, where they are not listed
		ttl    time.Duration
		no     bool
		err    error
		within time.Duration
	}{
		{"with addresses", one(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, 0, srv, hosts, nil) }), both, 0, 10 * time.Second, false, nil, 0},
		{"addresses asked for", one(func(_ string, q *dns.Msg) *dns.Msg {
			var found []dns.RR
			for _, rr := range append(srv[:2:2], hosts...) {
				if rr.Header().Rrtype == q.Question[0].Qtype && strings.EqualFold(rr.Header().Name, q.Question[0].Name) {
					found = append(found, rr)
				}
			}
			return reply(q, 0, found, nil, nil)
		}), both, 0, 10 * time.Second, false, nil, 0},
		{"truncated, and whole over TCP", one(func(network string, q *dns.Msg) *dns.Msg {
			m := reply(q, 0, srv, hosts, nil)
			if network == "udp" {
				m.Answer, m.Extra, m.Truncated = m.Answer[:1], nil, true
			}
			return m
		}), both, 0, 10 * time.Second, false, nil, 0},
		{"truncated for ever", one(func(_ string, q *dns.Msg) *dns.Msg {
			m := reply(q, 0, srv, hosts, nil)
			m.Truncated = true
			return m
		}), nil, 0, 0, false, ErrUnusable, 0},
		{"2,000 records", one(func(network string, q *dns.Msg) *dns.Msg {
			m := reply(q, 0, many, records(t, "a.x. 30 IN A 10.0.0.1"), nil)
			if m.Compress = true; network == "udp" {
				m.Answer, m.Truncated = nil, true
			}
			return m
		}), nil, 2000, 30 * time.Second, false, nil, 0},
		{"no such name", one(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, dns.RcodeNameError, nil, nil, soa) }), nil, 0, 7 * time.Second, true, nil, 0},
		{"no such records", one(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, 0, nil, nil, nil) }), nil, 0, defaultNegativeTTL, true, nil, 0},
		{"target .", one(func(_ string, q *dns.Msg) *dns.Msg {
			return reply(q, 0, records(t, name+" 30 IN SRV 0 0 0 ."), nil, soa)
		}), nil, 0, 7 * time.Second, true, nil, 0},
		{"it fails", one(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, dns.RcodeServerFailure, nil, nil, nil) }), nil, 0, 0, false, ErrRefused, 0},
		{"a CNAME to it", one(func(_ string, q *dns.Msg) *dns.Msg {
			if strings.EqualFold(q.Question[0].Name, name) {
				return reply(q, 0, records(t, name+" 30 IN CNAME other.example.org."), nil, nil)
			}
			return reply(q, 0, records(t, "other.example.org. 30 IN SRV 1 10 80 a.example.org."), hosts[:1], nil)
		}), both[:1], 0, 30 * time.Second, false, nil, 0},
		{"a loop of CNAMEs", one(func(_ string, q *dns.Msg) *dns.Msg {
			return reply(q, 0, records(t, name+" 30 IN CNAME x.example.org.", "x.example.org. 30 IN CNAME "+name), nil, nil)
		}), nil, 0, 0, true, nil, 0},
		{"CNAMEs without end", one(func(_ string, q *dns.Msg) *dns.Msg {
			return reply(q, 0, records(t, q.Question[0].Name+" 30 IN CNAME x"+strings.ToLower(q.Question[0].Name)), nil, nil)
		}), nil, 0, 0, false, ErrUnusable, 0},
		{"a wrong id, another question and another case before the true one", func(_ string, q *dns.Msg) []*dns.Msg {
			wrong, other, flat, own := reply(q, 0, nil, nil, nil), reply(q, 0, nil, nil, nil), reply(q, 0, nil, nil, nil), q.Copy()
			wrong.Id++
			other.Question[0].Qtype = dns.TypeA
			flat.Question = slices.Clone(flat.Question)
			flat.Question[0].Name = strings.ToUpper(flat.Question[0].Name)
			other.Question = slices.Clone(other.Question)
			return []*dns.Msg{wrong, own, flat, reply(q, 0, srv, hosts, nil)}
		}, both, 0, 10 * time.Second, false, nil, 0},
		{"a wrong id for ever", func(_ string, q *dns.Msg) (all []*dns.Msg) {
			for range 100 {
				m := reply(q, 0, srv, hosts, nil)
				m.Id++
				all = append(all, m)
			}
			return all
		}, nil, 0, 0, false, ErrUnusable, 0},
		{"silence", func(string, *dns.Msg) []*dns.Msg { return nil }, nil, 0, 0, false, errAny, 500 * time.Millisecond},
		{"targets without addresses", one(func(_ string, q *dns.Msg) *dns.Msg {
			if q.Question[0].Qtype == dns.TypeSRV {
				return reply(q, 0, srv, nil, nil)
			}
			return reply(q, 0, nil, nil, nil)
		}), nil, 0, 0, false, ErrUnusable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New(c.s.dial, rand.New(rand.NewPCG(1, 2)), 500*time.Millisecond)
				from := time.Now()
				a, err := r.Lookup(t.Context(), "s", name)
				if took := time.Since(from); took > c.within {
					t.Errorf("it took %v", took)
				}
				if c.err == nil && err != nil || c.err == errAny && err == nil || c.err != nil && c.err != errAny && !errors.Is(err, c.err) {
					t.Fatalf("%v, want %v", err, c.err)
				}
				if c.err == nil && (a.TTL != c.ttl && !(c.no && c.ttl == 0) || a.Negative != c.no) {
					t.Errorf("lifetime %v, negative %v", a.TTL, a.Negative)
				}
				if c.n == 0 && !slices.Equal(a.Observations, c.want) || c.n > 0 && len(a.Observations) != c.n {
					t.Errorf("%d claims: %v", len(a.Observations), a.Observations[:min(len(a.Observations), 5)])
				}
			})
		})
	}
	if _, err := New(server(nil).dial, rand.New(rand.NewPCG(1, 2)), time.Second).Lookup(t.Context(), "nowhere", name); err == nil {
		t.Error("nobody answers, and it is an answer")
	}
}

var errAny = errors.New("any")

// Whatever bytes come, a look-up ends and names nothing that was not in them.
func FuzzAnswer(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion("_r._tcp.x.", dns.TypeSRV)
	packed, _ := reply(q, 0, nil, nil, nil).Pack()
	f.Add(packed, false)
	f.Add(packed[:9], true)
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, answer []byte, tcp bool) {
		r := New(func(_ context.Context, network, _ string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				b := make([]byte, 4096)
				n, err := there.Read(b)
				if err != nil {
					return
				}
				a := slices.Clone(answer)
				if network == "tcp" {
					a = append([]byte{byte(len(a) >> 8), byte(len(a))}, a...)
				} else if copy(a, b[:min(2, n)]); tcp && len(a) > 2 {
					a[2] |= 2 // truncated
				}
				there.Write(a)
			}()
			return here, nil
		}, rand.New(rand.NewPCG(1, 2)), time.Second)
		a, err := r.Lookup(t.Context(), "s", "_r._tcp.x")
		if err == nil && !a.Negative && len(a.Observations) == 0 {
			t.Fatal("neither claims nor a no")
		}
	})
}
