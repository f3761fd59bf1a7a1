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

	"golang.org/x/net/dns/dnsmessage"

	"onyxgate/internal/sources"
)

// Dial opens a connection: network is udp or tcp.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Resolver looks names up.
type Resolver struct {
	dial          Dial
	random        *rand.Rand
	timeout       time.Duration     // for one answer over UDP; over TCP twice that
	Trace         func(step string) // what is done, for whoever wants to see it; may be nil
	QuestionsSent uint64            // questions sent
}

// New makes one; it is used by one goroutine at a time.
func New(dial Dial, chance *rand.Rand, wait time.Duration) *Resolver {
	return &Resolver{dial: dial, random: chance, timeout: wait}
}

// Answer is what a look-up came to.
type Answer struct {
	Observations []sources.Observation
	TTL          time.Duration
	Negative     bool // the server says that there is no such name, or no such records, for TTL
}

var (
	// ErrUnusable: an answer came and can't be used.
	ErrUnusable = errors.New("an answer that can't be used")
	// ErrRefused: the server answered that it can't or won't.
	ErrRefused = errors.New("the server refuses")
)

const (
	maxUDPPayload       = 1232 // what passes without fragments
	maxCNAMEs           = 8    // of CNAMEs
	maxRecords          = 4096 // targets in one answer
	maxAddressQuestions = 64   // questions for addresses that did not come along, in one look-up
	maxStrayDatagrams   = 64   // datagrams that are no answer of ours, before one is
	// defaultNegativeTTL where a server that says no sends no SOA: RFC 2308 lets nothing be kept then; this bounds the asking.
	defaultNegativeTTL = time.Second
)

func (r *Resolver) trace(format string, args ...any) {
	if r.Trace != nil {
		r.Trace(fmt.Sprintf(format, args...))
	}
}

// Lookup asks one server for a service's records and the addresses of its targets.
func (r *Resolver) Lookup(ctx context.Context, server, name string) (a Answer, err error) {
	known := map[string][]targetAddress{} // by target, in lower case
	m, err := r.resolve(ctx, server, name, dnsmessage.TypeSRV, known)
	if err != nil {
		return a, err
	}
	ttl := uint32(1<<32 - 1)
	var records []*dnsmessage.SRVResource
	for _, rr := range m.answers {
		if srv, ok := rr.Body.(*dnsmessage.SRVResource); ok {
			records = append(records, srv)
			ttl = min(ttl, rr.Header.TTL)
		}
	}
	if len(records) > maxRecords {
		return a, fmt.Errorf("%w: %d records", ErrUnusable, len(records))
	}
	// RFC 2782: a lone target "." says that the service is decidedly not available here.
	if len(records) == 0 || len(records) == 1 && records[0].Target.String() == "." {
		return Answer{TTL: negativeTTLOf(m), Negative: true}, nil
	}
	asks := 0
	for _, srv := range records {
		target := strings.ToLower(srv.Target.String())
		if target == "." {
			continue
		}
		if _, ok := known[target]; !ok {
			if asks++; asks > maxAddressQuestions {
				return a, fmt.Errorf("%w: more than %d targets without their addresses", ErrUnusable, maxAddressQuestions)
			}
			for _, kind := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
				if _, err := r.resolve(ctx, server, target, kind, known); err != nil {
					return a, fmt.Errorf("%s: %w", target, err)
				}
			}
			if _, ok := known[target]; !ok {
				known[target] = nil // it has none: RFC 2782 lets it be passed over
			}
		}
		for _, host := range known[target] {
			ttl = min(ttl, host.ttl)
			a.Observations = append(a.Observations, sources.Observation{
				Address:  net.JoinHostPort(host.ip, strconv.Itoa(int(srv.Port))),
				Priority: int(srv.Priority), Weight: int(srv.Weight),
			})
		}
	}
	if len(a.Observations) == 0 {
		return a, fmt.Errorf("%w: no target has an address", ErrUnusable)
	}
	a.TTL = time.Duration(ttl) * time.Second
	r.trace("%d records, %d addresses, lifetime %v", len(records), len(a.Observations), a.TTL)
	return a, nil
}

// response is an answer taken apart, by x/net's package: it makes nothing at the start of an agent that looks no names up.
type response struct {
	dnsmessage.Header
	questions                []dnsmessage.Question
	answers, ns, additionals []dnsmessage.Resource
}

func parseResponse(b []byte) (m response, err error) {
	var p dnsmessage.Parser
	if m.Header, err = p.Start(b); err != nil {
		return m, err
	}
	if m.questions, err = p.AllQuestions(); err != nil || m.Truncated { // what follows may be cut anywhere
		return m, err
	}
	if m.answers, err = p.AllAnswers(); err != nil {
		return m, err
	}
	if m.ns, err = p.AllAuthorities(); err != nil {
		return m, err
	}
	m.additionals, err = p.AllAdditionals()
	return m, err
}

// packQuestion packs one, with EDNS0.
func packQuestion(id uint16, name string, kind dnsmessage.Type) (dnsmessage.Question, []byte, error) {
	n, err := dnsmessage.NewName(name)
	if err != nil {
		return dnsmessage.Question{}, nil, fmt.Errorf("%.300q: %w", name, err)
	}
	q := dnsmessage.Question{Name: n, Type: kind, Class: dnsmessage.ClassINET}
	var opt dnsmessage.ResourceHeader
	if err := opt.SetEDNS0(maxUDPPayload, dnsmessage.RCodeSuccess, false); err != nil {
		return q, nil, err
	}
	m := dnsmessage.Message{
		Header: dnsmessage.Header{ID: id, RecursionDesired: true}, Questions: []dnsmessage.Question{q},
		Additionals: []dnsmessage.Resource{{Header: opt, Body: &dnsmessage.OPTResource{}}},
	}
	packed, err := m.Pack()
	return q, packed, err
}

func fqdn(name string) string { return strings.TrimSuffix(name, ".") + "." }

// targetAddress is one address of a target.
type targetAddress struct {
	ip  string
	ttl uint32
}

// resolve asks a question and goes after CNAMEs, which a server should not send here and some do. Addresses that come along
// are noted under the name that was asked for.
func (r *Resolver) resolve(ctx context.Context, server, name string, kind dnsmessage.Type, known map[string][]targetAddress) (response,
	error,
) {
	asked := strings.ToLower(fqdn(name))
	owner := asked
	for range maxCNAMEs {
		m, err := r.query(ctx, server, owner, kind)
		if err != nil {
			return m, err
		}
		// One answer may hold a chain: walk it as far as it goes.
		next, found := owner, false
		for range maxCNAMEs {
			before := next
			for _, rr := range m.answers {
				if !strings.EqualFold(rr.Header.Name.String(), next) {
					continue
				}
				if c, ok := rr.Body.(*dnsmessage.CNAMEResource); ok {
					next = strings.ToLower(c.CNAME.String())
					break
				}
				found = found || rr.Header.Type == kind
			}
			if next == before || found {
				break
			}
		}
		for _, rr := range append(m.answers[:len(m.answers):len(m.answers)], m.additionals...) {
			at := strings.ToLower(rr.Header.Name.String())
			if at == next && kind != dnsmessage.TypeSRV {
				at = asked
			}
			switch x := rr.Body.(type) {
			case *dnsmessage.AResource:
				known[at] = append(known[at], targetAddress{net.IP(x.A[:]).String(), rr.Header.TTL})
			case *dnsmessage.AAAAResource:
				known[at] = append(known[at], targetAddress{net.IP(x.AAAA[:]).String(), rr.Header.TTL})
			}
		}
		if found || next == owner {
			return m, nil
		}
		owner = next
	}
	return response{}, fmt.Errorf("%w: more than %d CNAMEs", ErrUnusable, maxCNAMEs)
}

// negativeTTLOf is how long a no holds: RFC 2308, the lesser of the SOA's lifetime and its minimum.
func negativeTTLOf(m response) time.Duration {
	for _, rr := range m.ns {
		if soa, ok := rr.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(rr.Header.TTL, soa.MinTTL)) * time.Second
		}
	}
	return defaultNegativeTTL
}

// query sends one question, over TCP where the answer does not fit.
func (r *Resolver) query(ctx context.Context, server, name string, kind dnsmessage.Type) (response, error) {
	q, packed, err := packQuestion(uint16(r.random.Uint32()), r.randomCase(fqdn(name)), kind)
	if err != nil {
		return response{}, err
	}
	m, err := r.roundTrip(ctx, "udp", server, q, packed)
	if err == nil && m.Truncated {
		r.trace("%s %s: truncated, asked again over TCP", name, kind)
		if m, err = r.roundTrip(ctx, "tcp", server, q, packed); err == nil && m.Truncated {
			err = fmt.Errorf("%w: truncated over TCP", ErrUnusable)
		}
	}
	if err == nil && m.RCode != dnsmessage.RCodeSuccess && m.RCode != dnsmessage.RCodeNameError {
		err = fmt.Errorf("%w: %s", ErrRefused, m.RCode)
	}
	return m, err
}

// randomCase writes a name's letters in cases by chance: whoever answers without having read the question does not know them.
func (r *Resolver) randomCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		if c|0x20 >= 'a' && c|0x20 <= 'z' && r.random.Uint32()&1 == 1 {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

func (r *Resolver) roundTrip(ctx context.Context, network, server string, q dnsmessage.Question, packed []byte) (m response,
	err error,
) {
	from, wait := time.Now(), r.timeout
	if network == "tcp" {
		wait *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, err := r.dial(ctx, network, server)
	if err != nil {
		return m, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })()
	r.QuestionsSent++
	id := uint16(packed[0])<<8 | uint16(packed[1])
	if network == "tcp" {
		packed = append([]byte{byte(len(packed) >> 8), byte(len(packed))}, packed...)
	}
	if _, err := c.Write(packed); err != nil {
		return m, err
	}
	b := make([]byte, 64<<10)
	for range maxStrayDatagrams {
		n := 0
		if network == "tcp" {
			n, err = readFrame(c, b)
		} else {
			n, err = c.Read(b)
		}
		if err != nil {
			r.trace("%s %s %s at %s: %v after %v", network, q.Name, q.Type, server, err,
				time.Since(from).Round(time.Microsecond))
			return m, err
		}
		if m, err = parseResponse(b[:n]); err != nil || !answersQuestion(m, id, q) {
			if network == "tcp" {
				return m, fmt.Errorf("%w: it answers another question, or none", ErrUnusable)
			}
			r.trace("a datagram that does not answer the question is passed over")
			continue // late, forged or broken: the true one may still come
		}
		r.trace("%s %s %s at %s: %s, %d answers after %v", network, q.Name, q.Type, server, m.RCode, len(m.answers),
			time.Since(from).Round(time.Microsecond))
		return m, nil
	}
	return m, fmt.Errorf("%w: %d datagrams that do not answer the question", ErrUnusable, maxStrayDatagrams)
}

// answersQuestion tells that a message answers a question, to the letter.
func answersQuestion(m response, id uint16, q dnsmessage.Question) bool {
	return m.Response && m.ID == id && m.OpCode == 0 && len(m.questions) == 1 && m.questions[0].Type == q.Type &&
		m.questions[0].Class == q.Class && m.questions[0].Name.String() == q.Name.String()
}

func readFrame(c net.Conn, b []byte) (n int, err error) {
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
