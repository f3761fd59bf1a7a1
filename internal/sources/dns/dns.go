// Package dns queries name servers for SRV records. One look-up covers all queries, from the SRV query to the address
// queries for its targets. When to look up, and what an answer means for the fleet, is decided by the caller.
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

// Dial opens a connection. network is "udp" or "tcp".
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Resolver performs look-ups. It must be used by one goroutine at a time.
type Resolver struct {
	dial          Dial
	random        *rand.Rand
	timeout       time.Duration     // per query over UDP; doubled over TCP
	Trace         func(step string) // called for each step of a look-up; may be nil
	QuestionsSent uint64            // since the start, over UDP and TCP
}

// New returns a Resolver that waits for timeout per query over UDP, and twice as long over TCP.
func New(dial Dial, random *rand.Rand, timeout time.Duration) *Resolver {
	return &Resolver{dial: dial, random: random, timeout: timeout}
}

// Answer is the result of a look-up.
type Answer struct {
	Observations []sources.Observation
	TTL          time.Duration // the lowest TTL of the SRV and address records used
	Negative     bool          // the server stated that the name or its records do not exist; valid for TTL
}

// ErrUnusable is wrapped by errors for answers that cannot be used.
var ErrUnusable = errors.New("unusable DNS answer")

// ErrServerError is wrapped by errors for answers with a response code that reports a failure.
var ErrServerError = errors.New("DNS server returned an error")

const (
	maxCNAMEs           = 8    // followed per answer; also the limit of queries per name
	maxRecords          = 4096 // per answer
	maxAddressQuestions = 64   // targets per look-up whose addresses were not included in the SRV answer
	// defaultNegativeTTL is used if a negative answer has no SOA record. RFC 2308 forbids caching such an answer;
	// this TTL only limits the query rate.
	defaultNegativeTTL = time.Second
	maxTTLSeconds      = uint32(1<<32 - 1)
)

func (r *Resolver) trace(format string, args ...any) {
	if r.Trace != nil {
		r.Trace(fmt.Sprintf(format, args...))
	}
}

// lookup is the state of one look-up at one server.
type lookup struct {
	*Resolver
	server           string
	addresses        map[string][]targetAddress // by target in lower case; empty: it has none
	addressQuestions int                        // targets whose addresses were queried separately
}

// targetAddress is an address of a target.
type targetAddress struct {
	ip  string
	ttl uint32 // seconds
}

// Lookup queries one server for the SRV records of a service and the addresses of their targets. If it fails, the
// answer is empty. The error wraps ErrUnusable or ErrServerError, or comes from the context or the connection, or
// states that a name cannot be encoded.
func (r *Resolver) Lookup(ctx context.Context, server, name string) (Answer, error) {
	l := &lookup{Resolver: r, server: server, addresses: map[string][]targetAddress{}}
	response, err := l.resolve(ctx, name, dnsmessage.TypeSRV)
	if err != nil {
		return Answer{}, err
	}
	records, ttl := response.srvRecords()
	if len(records) > maxRecords {
		return Answer{}, fmt.Errorf("%w: %d SRV records, at most %d are allowed", ErrUnusable, len(records), maxRecords)
	}
	// RFC 2782: a single record with the target "." means that the service is not available at this domain.
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
		return Answer{}, fmt.Errorf("%w: none of the targets of %d SRV records has an address", ErrUnusable, len(records))
	}
	answer.TTL = time.Duration(ttl) * time.Second
	r.trace("%d records, %d addresses, TTL %v", len(records), len(answer.Observations), answer.TTL)
	return answer, nil
}

func observe(record *dnsmessage.SRVResource, address targetAddress) sources.Observation {
	return sources.Observation{
		Address:  net.JoinHostPort(address.ip, strconv.Itoa(int(record.Port))),
		Priority: int(record.Priority),
		Weight:   int(record.Weight),
	}
}

// addressesOf returns the addresses of a target. It queries for them only if no answer of this look-up contained any.
// It returns none for a target without addresses, which is then skipped, as RFC 2782 allows.
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
		return nil, fmt.Errorf("%w: more than %d targets without included addresses", ErrUnusable, maxAddressQuestions)
	}
	for _, kind := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
		if _, err := l.resolve(ctx, target, kind); err != nil {
			return nil, fmt.Errorf("%s: %w", target, err)
		}
	}
	addresses := l.addresses[target]
	l.addresses[target] = addresses // also caches that a target has no addresses
	return addresses, nil
}

// resolve sends a query and follows CNAMEs. Servers should not send CNAMEs here, but some do. Addresses at the end of a
// CNAME chain are recorded under the name that was queried, all others under the name of their own record.
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
	return response{}, fmt.Errorf("%w: the CNAME chain of %s did not end within %d queries", ErrUnusable, queried, maxCNAMEs)
}

// recordAddresses stores the addresses contained in an answer, each under the name that nameFor returns for its
// owner.
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
