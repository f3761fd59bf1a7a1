// Package dns asks name servers for SRV records: one look-up, from the first question to the last address. It must never
// decide when to ask, nor what an answer means for the fleet.
package dns

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"onyxgate/internal/sources"
)

// Dial opens a connection: network is udp or tcp.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Resolver looks names up.
type Resolver struct {
	dial   Dial
	chance *rand.Rand
	wait   time.Duration     // for one answer over UDP; over TCP twice that
	Tell   func(step string) // what is done, for whoever wants to see it; may be nil
	Asked  uint64            // questions sent
}

// New makes one; it is used by one goroutine at a time.
func New(dial Dial, chance *rand.Rand, wait time.Duration) *Resolver {
	return &Resolver{dial: dial, chance: chance, wait: wait}
}

// Answer is what a look-up came to.
type Answer struct {
	Claims   []sources.Claim
	TTL      time.Duration
	Negative bool // the server says that there is no such name, or no such records, for TTL
}

var (
	// ErrUnusable: an answer came and can't be used.
	ErrUnusable = errors.New("an answer that can't be used")
	// ErrRefused: the server answered that it can't or won't.
	ErrRefused = errors.New("the server refuses")
)

const (
	udpSize   = 1232 // what passes without fragments
	hopsMost  = 8    // of CNAMEs
	hostsMost = 4096 // targets in one answer
	asksMost  = 64   // questions for addresses that did not come along, in one look-up
	noiseMost = 64   // datagrams that are no answer of ours, before one is
	// negativeTTL where a server that says no sends no SOA: RFC 2308 lets nothing be kept then; this bounds the asking.
	negativeTTL = time.Second
)

func (r *Resolver) tell(format string, args ...any) {
	if r.Tell != nil {
		r.Tell(fmt.Sprintf(format, args...))
	}
}

// Lookup asks one server for a service's records and the addresses of its targets.
func (r *Resolver) Lookup(ctx context.Context, server, name string) (a Answer, err error) {
	known := map[string][]addressed{} // by target, in lower case
	m, err := r.follow(ctx, server, name, dns.TypeSRV, known)
	if err != nil {
		return a, err
	}
	ttl := uint32(1<<32 - 1)
	var records []*dns.SRV
	for _, rr := range m.Answer {
		if srv, ok := rr.(*dns.SRV); ok {
			records = append(records, srv)
			ttl = min(ttl, srv.Hdr.Ttl)
		}
	}
	if len(records) > hostsMost {
		return a, fmt.Errorf("%w: %d records", ErrUnusable, len(records))
	}
	if len(records) == 0 || len(records) == 1 && records[0].Target == "." { // RFC 2782: decidedly not available here
		return Answer{TTL: negative(m), Negative: true}, nil
	}
	asks := 0
	for _, srv := range records {
		target := strings.ToLower(srv.Target)
		if target == "." {
			continue
		}
		if _, ok := known[target]; !ok {
			if asks++; asks > asksMost {
				return a, fmt.Errorf("%w: more than %d targets without their addresses", ErrUnusable, asksMost)
			}
			for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
				if _, err := r.follow(ctx, server, target, kind, known); err != nil {
					return a, fmt.Errorf("%s: %w", target, err)
				}
			}
			if _, ok := known[target]; !ok {
				known[target] = nil // it has none: RFC 2782 lets it be passed over
			}
		}
		for _, host := range known[target] {
			ttl = min(ttl, host.ttl)
			a.Claims = append(a.Claims, sources.Claim{Address: net.JoinHostPort(host.ip, strconv.Itoa(int(srv.Port))),
				Priority: int(srv.Priority), Weight: int(srv.Weight)})
		}
	}
	if len(a.Claims) == 0 {
		return a, fmt.Errorf("%w: no target has an address", ErrUnusable)
	}
	a.TTL = time.Duration(ttl) * time.Second
	r.tell("%d records, %d addresses, lifetime %v", len(records), len(a.Claims), a.TTL)
	return a, nil
}

// addressed is one address of a target.
type addressed struct {
	ip  string
	ttl uint32
}

// follow asks a question and goes after CNAMEs, which a server should not send here and some do. Addresses that come along
// are noted under the name that was asked for.
func (r *Resolver) follow(ctx context.Context, server, name string, kind uint16, known map[string][]addressed) (*dns.Msg, error) {
	asked, owner := strings.ToLower(dns.Fqdn(name)), strings.ToLower(dns.Fqdn(name))
	for range hopsMost {
		m, err := r.ask(ctx, server, owner, kind)
		if err != nil {
			return nil, err
		}
		// One answer may hold a chain: walk it as far as it goes.
		next, found := owner, false
		for range hopsMost {
			before := next
			for _, rr := range m.Answer {
				if !strings.EqualFold(rr.Header().Name, next) {
					continue
				}
				if c, ok := rr.(*dns.CNAME); ok && kind != dns.TypeCNAME {
					next = strings.ToLower(c.Target)
					break
				}
				found = found || rr.Header().Rrtype == kind
			}
			if next == before || found {
				break
			}
		}
		for _, rr := range append(m.Answer[:len(m.Answer):len(m.Answer)], m.Extra...) {
			at := strings.ToLower(rr.Header().Name)
			if at == next && kind != dns.TypeSRV {
				at = asked
			}
			switch x := rr.(type) {
			case *dns.A:
				known[at] = append(known[at], addressed{x.A.String(), x.Hdr.Ttl})
			case *dns.AAAA:
				known[at] = append(known[at], addressed{x.AAAA.String(), x.Hdr.Ttl})
			}
		}
		if found || next == owner {
			return m, nil
		}
		owner = next
	}
	return nil, fmt.Errorf("%w: more than %d CNAMEs", ErrUnusable, hopsMost)
}

// negative is how long a no holds: RFC 2308, the lesser of the SOA's lifetime and its minimum.
func negative(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return time.Duration(min(soa.Hdr.Ttl, soa.Minttl)) * time.Second
		}
	}
	return negativeTTL
}

// ask sends one question, over TCP where the answer does not fit.
func (r *Resolver) ask(ctx context.Context, server, name string, kind uint16) (*dns.Msg, error) {
	q := new(dns.Msg)
	q.SetQuestion(r.mixed(dns.Fqdn(name)), kind)
	q.Id = uint16(r.chance.Uint32())
	q.SetEdns0(udpSize, false)
	m, err := r.exchange(ctx, "udp", server, q)
	if err == nil && m.Truncated {
		r.tell("%s %s: truncated, asked again over TCP", name, dns.TypeToString[kind])
		if m, err = r.exchange(ctx, "tcp", server, q); err == nil && m.Truncated {
			err = fmt.Errorf("%w: truncated over TCP", ErrUnusable)
		}
	}
	if err != nil {
		return nil, err
	}
	if m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError {
		return nil, fmt.Errorf("%w: %s", ErrRefused, dns.RcodeToString[m.Rcode])
	}
	return m, nil
}

// mixed writes a name's letters in cases by chance: whoever answers without having read the question does not know them.
func (r *Resolver) mixed(name string) string {
	b := []byte(name)
	for i, c := range b {
		if c|0x20 >= 'a' && c|0x20 <= 'z' && r.chance.Uint32()&1 == 1 {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

func (r *Resolver) exchange(ctx context.Context, network, server string, q *dns.Msg) (*dns.Msg, error) {
	from, wait := time.Now(), r.wait
	if network == "tcp" {
		wait *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, err := r.dial(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	packed, err := q.Pack()
	if err != nil {
		return nil, err
	}
	r.Asked++
	if network == "tcp" {
		packed = append([]byte{byte(len(packed) >> 8), byte(len(packed))}, packed...)
	}
	if _, err := c.Write(packed); err != nil {
		return nil, err
	}
	b := make([]byte, 64<<10)
	for range noiseMost {
		n := 0
		if network == "tcp" {
			n, err = framed(c, b)
		} else {
			n, err = c.Read(b)
		}
		if err != nil {
			r.tell("%s %s %s at %s: %v after %v", network, q.Question[0].Name, dns.TypeToString[q.Question[0].Qtype], server, err,
				time.Since(from).Round(time.Microsecond))
			return nil, err
		}
		m := new(dns.Msg)
		if m.Unpack(b[:n]) != nil || !answers(m, q) {
			if network == "tcp" {
				return nil, fmt.Errorf("%w: it answers another question, or none", ErrUnusable)
			}
			r.tell("a datagram that does not answer the question is passed over")
			continue // late, forged or broken: the true one may still come
		}
		r.tell("%s %s %s at %s: %s, %d answers after %v", network, q.Question[0].Name,
			dns.TypeToString[q.Question[0].Qtype], server, dns.RcodeToString[m.Rcode], len(m.Answer),
			time.Since(from).Round(time.Microsecond))
		return m, nil
	}
	return nil, fmt.Errorf("%w: %d datagrams that do not answer the question", ErrUnusable, noiseMost)
}

// answers tells that a message answers a question, to the letter.
func answers(m, q *dns.Msg) bool {
	return m.Response && m.Id == q.Id && m.Opcode == dns.OpcodeQuery && len(m.Question) == 1 && m.Question[0] == q.Question[0]
}

func framed(c net.Conn, b []byte) (n int, err error) {
	for want := 2; n < want; {
		k, err := c.Read(b[n:want])
		if n += k; err != nil {
			return 0, err
		}
		if n == 2 && want == 2 {
			want = 2 + int(b[0])<<8 + int(b[1])
			if want > len(b) {
				return 0, ErrUnusable
			}
		}
	}
	return copy(b, b[2:n]), nil
}
