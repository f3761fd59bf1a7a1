package dns

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/miekg/dns"

	"onyxgate/internal/sources"
)

// serviceName is the name that is looked up.
const serviceName = "_render._tcp.fleet.example.org."

// replyWith returns a server that sends one message, made by f, in response to each query.
func replyWith(f func(network string, q *dns.Msg) *dns.Msg) server {
	return func(network string, q *dns.Msg) []*dns.Msg { return []*dns.Msg{f(network, q)} }
}

// lookupTest is a look-up at a server and its expected result.
type lookupTest struct {
	name        string
	server      server
	want        []sources.Observation
	wantLen     int // number of observations, if want is not set
	ttl         time.Duration
	negative    bool
	err         error // errAny matches any error
	maxDuration time.Duration
}

var errAny = errors.New("any")

func (c lookupTest) run(t *testing.T) {
	r := New(c.server.dial, rand.New(rand.NewPCG(1, 2)), 500*time.Millisecond)
	from := time.Now()
	answer, err := r.Lookup(t.Context(), "s", serviceName)
	if took := time.Since(from); took > c.maxDuration {
		t.Errorf("Lookup took %v, want at most %v", took, c.maxDuration)
	}
	c.checkError(t, err)
	if err == nil {
		c.checkTTL(t, answer)
	}
	listMatches := c.wantLen > 0 || slices.Equal(answer.Observations, c.want)
	countMatches := c.wantLen == 0 || len(answer.Observations) == c.wantLen
	if !listMatches || !countMatches {
		t.Errorf("%d observations, the first: %v; want %v (or %d observations)", len(answer.Observations),
			answer.Observations[:min(len(answer.Observations), 5)], c.want, c.wantLen)
	}
}

func (c lookupTest) checkError(t *testing.T, err error) {
	t.Helper()
	matches := errors.Is(err, c.err)
	if errors.Is(c.err, errAny) {
		matches = err != nil
	}
	if !matches {
		t.Fatalf("Lookup error = %v, want %v", err, c.err)
	}
}

func (c lookupTest) checkTTL(t *testing.T, answer Answer) {
	t.Helper()
	anyTTL := c.negative && c.ttl == 0
	if !anyTTL && answer.TTL != c.ttl || answer.Negative != c.negative {
		t.Errorf("TTL %v, negative %v; want %v, %v", answer.TTL, answer.Negative, c.ttl, c.negative)
	}
}

// Results of look-ups for valid, truncated, negative, aliased and stray answers.
func TestLookup(t *testing.T) {
	for _, group := range [][]lookupTest{addressTests(t), truncationTests(t), negativeTests(t), cnameTests(t), strayTests(t)} {
		for _, c := range group {
			t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
		}
	}
	t.Run("no connection", func(t *testing.T) {
		r := New(server(nil).dial, rand.New(rand.NewPCG(1, 2)), time.Second)
		if _, err := r.Lookup(t.Context(), "nowhere", serviceName); err == nil {
			t.Error("Lookup at an unreachable server succeeded, want an error")
		}
	})
}

// service is the data of the test name server: two SRV records, the addresses of their targets, the SOA of the zone,
// and the observations expected from them.
type service struct {
	srv, hosts, soa []dns.RR
	observations    []sources.Observation
}

func newService(t *testing.T) service {
	t.Helper()
	return service{
		srv: records(t, serviceName+" 30 IN SRV 1 10 80 a.example.org.", serviceName+" 20 IN SRV 2 5 81 B.example.org."),
		hosts: records(t, "a.example.org. 40 IN A 10.0.0.1", "b.example.org. 10 IN A 10.0.0.2",
			"b.example.org. 50 IN AAAA fd00::2"),
		soa: records(t, "fleet.example.org. 50 IN SOA n. m. 1 2 3 4 7"),
		observations: []sources.Observation{
			{Address: "10.0.0.1:80", Priority: 1, Weight: 10},
			{Address: "10.0.0.2:81", Priority: 2, Weight: 5},
			{Address: "[fd00::2]:81", Priority: 2, Weight: 5},
		},
	}
}

// fullReply answers with the SRV records and the addresses of their targets.
func (s service) fullReply(q *dns.Msg) *dns.Msg { return reply(q, 0, s.srv, s.hosts, nil) }

// exactReply answers each query only with records of the queried name and type.
func (s service) exactReply(_ string, q *dns.Msg) *dns.Msg {
	var found []dns.RR
	for _, record := range append(slices.Clone(s.srv), s.hosts...) {
		header := record.Header()
		if header.Rrtype == q.Question[0].Qtype && strings.EqualFold(header.Name, q.Question[0].Name) {
			found = append(found, record)
		}
	}
	return reply(q, 0, found, nil, nil)
}

func addressTests(t *testing.T) []lookupTest {
	s := newService(t)
	return []lookupTest{
		{
			name:   "with addresses",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg { return s.fullReply(q) }),
			want:   s.observations, ttl: 10 * time.Second,
		},
		{name: "addresses queried separately", server: replyWith(s.exactReply), want: s.observations, ttl: 10 * time.Second},
		{
			name: "targets without addresses",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				if q.Question[0].Qtype == dns.TypeSRV {
					return reply(q, 0, s.srv, nil, nil)
				}
				return reply(q, 0, nil, nil, nil)
			}),
			err: ErrUnusable,
		},
	}
}

func truncationTests(t *testing.T) []lookupTest {
	s := newService(t)
	many := make([]dns.RR, 0, 2000)
	for i := range 2000 {
		many = append(many, records(t, fmt.Sprintf("%s 30 IN SRV 1 1 %d a.x.", serviceName, i+1))...)
	}
	return []lookupTest{
		{
			name: "truncated over UDP, complete over TCP",
			server: replyWith(func(network string, q *dns.Msg) *dns.Msg {
				m := s.fullReply(q)
				if network == "udp" {
					m.Answer, m.Extra, m.Truncated = m.Answer[:1], nil, true
				}
				return m
			}),
			want: s.observations, ttl: 10 * time.Second,
		},
		{
			name: "truncated over TCP",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				m := s.fullReply(q)
				m.Truncated = true
				return m
			}),
			err: ErrUnusable,
		},
		{
			name: "2,000 records",
			server: replyWith(func(network string, q *dns.Msg) *dns.Msg {
				m := reply(q, 0, many, records(t, "a.x. 30 IN A 10.0.0.1"), nil)
				if m.Compress = true; network == "udp" {
					m.Answer, m.Truncated = nil, true
				}
				return m
			}),
			wantLen: 2000, ttl: 30 * time.Second,
		},
	}
}

func negativeTests(t *testing.T) []lookupTest {
	s := newService(t)
	return []lookupTest{
		{
			name:   "no such name",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, dns.RcodeNameError, nil, nil, s.soa) }),
			ttl:    7 * time.Second, negative: true,
		},
		{
			name:   "no such records",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, 0, nil, nil, nil) }),
			ttl:    defaultNegativeTTL, negative: true,
		},
		{
			name: "target .",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				return reply(q, 0, records(t, serviceName+" 30 IN SRV 0 0 0 ."), nil, s.soa)
			}),
			ttl: 7 * time.Second, negative: true,
		},
		{
			name:   "server failure",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg { return reply(q, dns.RcodeServerFailure, nil, nil, nil) }),
			err:    ErrServerError,
		},
	}
}

func cnameTests(t *testing.T) []lookupTest {
	s := newService(t)
	return []lookupTest{
		{
			name: "a CNAME to the service",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				if strings.EqualFold(q.Question[0].Name, serviceName) {
					return reply(q, 0, records(t, serviceName+" 30 IN CNAME other.example.org."), nil, nil)
				}
				return reply(q, 0, records(t, "other.example.org. 30 IN SRV 1 10 80 a.example.org."), s.hosts[:1], nil)
			}),
			want: s.observations[:1], ttl: 30 * time.Second,
		},
		{
			name: "a loop of CNAMEs",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				return reply(q, 0, records(t, serviceName+" 30 IN CNAME x.example.org.", "x.example.org. 30 IN CNAME "+serviceName), nil, nil)
			}),
			negative: true,
		},
		{
			name: "endless CNAMEs",
			server: replyWith(func(_ string, q *dns.Msg) *dns.Msg {
				return reply(q, 0, records(t, q.Question[0].Name+" 30 IN CNAME x"+strings.ToLower(q.Question[0].Name)), nil, nil)
			}),
			err: ErrUnusable,
		},
	}
}

func strayTests(t *testing.T) []lookupTest {
	s := newService(t)
	return []lookupTest{
		{
			name: "a wrong id, the query itself and another letter case before the answer",
			server: func(_ string, q *dns.Msg) []*dns.Msg {
				wrong, other, upperCase, own := reply(q, 0, nil, nil, nil), reply(q, 0, nil, nil, nil), reply(q, 0, nil, nil, nil), q.Copy()
				wrong.Id++
				other.Question[0].Qtype = dns.TypeA
				upperCase.Question = slices.Clone(upperCase.Question)
				upperCase.Question[0].Name = strings.ToUpper(upperCase.Question[0].Name)
				other.Question = slices.Clone(other.Question)
				return []*dns.Msg{wrong, own, upperCase, s.fullReply(q)}
			},
			want: s.observations, ttl: 10 * time.Second,
		},
		{
			name: "only wrong ids",
			server: func(_ string, q *dns.Msg) (all []*dns.Msg) {
				for range 100 {
					m := s.fullReply(q)
					m.Id++
					all = append(all, m)
				}
				return all
			},
			err: ErrUnusable,
		},
		{
			name:   "no answer",
			server: func(string, *dns.Msg) []*dns.Msg { return nil },
			err:    errAny, maxDuration: 500 * time.Millisecond,
		},
	}
}
