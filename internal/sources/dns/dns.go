// Package dns asks name servers for SRV records: one look-up, from the first question to the last address. It does not decide
// when to ask, nor what an answer means for the fleet.
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

// Resolver looks names up. It is used by one goroutine at a time.
type Resolver struct {
	dial          Dial
	random        *rand.Rand
	timeout       time.Duration     // for one answer over UDP; over TCP twice that
	Trace         func(step string) // called with each step of a look-up; may be nil
	QuestionsSent uint64            // so far, over UDP and TCP
}

// New returns a resolver that waits this long for one answer over UDP, and twice as long over TCP.
func New(dial Dial, random *rand.Rand, timeout time.Duration) *Resolver {
	return &Resolver{dial: dial, random: random, timeout: timeout}
}

// Answer is what a look-up came to.
type Answer struct {
	Observations []sources.Observation
	TTL          time.Duration // the lowest of all records that the answer is made of
	Negative     bool          // the server says that there is no such name, or no such records, for TTL
}

// ErrUnusable is wrapped where an answer came that can't be used.
var ErrUnusable = errors.New("an answer that can't be used")

// ErrRefused is wrapped where the server answered that it can't or won't.
var ErrRefused = errors.New("the server refuses")

const (
	maxCNAMEs           = 8
	maxRecords          = 4096 // in one answer
	maxAddressQuestions = 64   // targets whose addresses did not come along, in one look-up
	// defaultNegativeTTL where a server that says no sends no SOA: RFC 2308 lets nothing be kept then; this bounds the asking.
	defaultNegativeTTL = time.Second
	maxTTLSeconds      = uint32(1<<32 - 1)
)

func (r *Resolver) trace(format string, args ...any) {
	if r.Trace != nil {
		r.Trace(fmt.Sprintf(format, args...))
	}
}

// lookup is one look-up at one server.
type lookup struct {
	*Resolver
	server           string
	addresses        map[string][]targetAddress // by target, in lower case; an empty one is known to have none
	addressQuestions int                        // targets that had to be asked for
}

// targetAddress is one address of a target.
type targetAddress struct {
	ip  string
	ttl uint32 // seconds
}

// Lookup asks one server for a service's records and the addresses of its targets. The error is the context's or the
// connection's, or wraps ErrUnusable or ErrRefused; the answer is empty then.
func (r *Resolver) Lookup(ctx context.Context, server, name string) (Answer, error) {
	l := &lookup{Resolver: r, server: server, addresses: map[string][]targetAddress{}}
	response, err := l.resolve(ctx, name, dnsmessage.TypeSRV)
	if err != nil {
		return Answer{}, err
	}
	records, ttl := response.srvRecords()
	if len(records) > maxRecords {
		return Answer{}, fmt.Errorf("%w: %d records", ErrUnusable, len(records))
	}
	// RFC 2782: a lone target "." says that the service is decidedly not available here.
	serviceDenied := len(records) == 1 && records[0].Target.String() == "."
	if len(records) == 0 || serviceDenied {
		return Answer{TTL: response.negativeTTL(), Negative: true}, nil
	}
	var answer Answer
	for _, record := range records {
		addresses, err := l.addressesOf(ctx, record.Target)
		if err != nil {
			return Answer{}, err
		}
		for _, address := range addresses {
			ttl = min(ttl, address.ttl)
			answer.Observations = append(answer.Observations, observe(record, address))
		}
	}
	if len(answer.Observations) == 0 {
		return Answer{}, fmt.Errorf("%w: no target has an address", ErrUnusable)
	}
	answer.TTL = time.Duration(ttl) * time.Second
	r.trace("%d records, %d addresses, lifetime %v", len(records), len(answer.Observations), answer.TTL)
	return answer, nil
}

func observe(record *dnsmessage.SRVResource, address targetAddress) sources.Observation {
	return sources.Observation{
		Address:  net.JoinHostPort(address.ip, strconv.Itoa(int(record.Port))),
		Priority: int(record.Priority),
		Weight:   int(record.Weight),
	}
}

// addressesOf returns a target's addresses: those that came along, and else asked for. A target without any is passed over,
// as RFC 2782 allows.
func (l *lookup) addressesOf(ctx context.Context, name dnsmessage.Name) ([]targetAddress, error) {
	target := strings.ToLower(name.String())
	if target == "." {
		return nil, nil
	}
	if addresses, known := l.addresses[target]; known {
		return addresses, nil
	}
	l.addressQuestions++
	if l.addressQuestions > maxAddressQuestions {
		return nil, fmt.Errorf("%w: more than %d targets without their addresses", ErrUnusable, maxAddressQuestions)
	}
	for _, kind := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
		if _, err := l.resolve(ctx, target, kind); err != nil {
			return nil, fmt.Errorf("%s: %w", target, err)
		}
	}
	addresses := l.addresses[target]
	l.addresses[target] = addresses // known from here on, also where there are none
	return addresses, nil
}

// resolve asks a question and goes after CNAMEs, which a server should not send here and some do. Addresses that come along
// are noted under the name that was asked for.
func (l *lookup) resolve(ctx context.Context, name string, kind dnsmessage.Type) (response, error) {
	queried := strings.ToLower(fqdn(name))
	owner := queried
	for range maxCNAMEs {
		answer, err := l.query(ctx, l.server, owner, kind)
		if err != nil {
			return answer, err
		}
		last, found := answer.followChain(owner, kind)
		l.recordAddresses(answer, func(owner string) string {
			if owner == last && kind != dnsmessage.TypeSRV {
				return queried
			}
			return owner
		})
		if found || last == owner {
			return answer, nil
		}
		owner = last
	}
	return response{}, fmt.Errorf("%w: more than %d CNAMEs", ErrUnusable, maxCNAMEs)
}

// noteAddresses keeps the addresses that an answer holds, each under the name that the function makes of its owner.
func (l *lookup) recordAddresses(answer response, nameFor func(owner string) string) {
	for _, section := range [][]dnsmessage.Resource{answer.answers, answer.additionals} {
		for _, record := range section {
			ip, ok := addressIn(record)
			if !ok {
				continue
			}
			name := nameFor(strings.ToLower(record.Header.Name.String()))
			l.addresses[name] = append(l.addresses[name], targetAddress{ip, record.Header.TTL})
		}
	}
}

func addressIn(record dnsmessage.Resource) (ip string, ok bool) {
	switch body := record.Body.(type) {
	case *dnsmessage.AResource:
		return net.IP(body.A[:]).String(), true
	case *dnsmessage.AAAAResource:
		return net.IP(body.AAAA[:]).String(), true
	}
	return "", false
}
