package dns

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// maxUDPPayload (bytes) is the largest answer over UDP, announced to the server with EDNS0. A datagram of this size is
// not fragmented on common paths.
const maxUDPPayload = 1232

// response is a parsed DNS message. It is parsed with golang.org/x/net because that package allocates nothing at
// start-up in an instance that does no look-ups.
type response struct {
	dnsmessage.Header
	questions                []dnsmessage.Question
	answers, ns, additionals []dnsmessage.Resource
}

// parseResponse parses a message. Of a truncated message it parses only the header and the questions, because the
// rest may be cut off at any point.
func parseResponse(b []byte) (r response, err error) {
	var p dnsmessage.Parser
	if r.Header, err = p.Start(b); err != nil {
		return r, err
	}
	if r.questions, err = p.AllQuestions(); err != nil || r.Truncated {
		return r, err
	}
	if r.answers, err = p.AllAnswers(); err != nil {
		return r, err
	}
	if r.ns, err = p.AllAuthorities(); err != nil {
		return r, err
	}
	r.additionals, err = p.AllAdditionals()
	return r, err
}

// packQuestion returns a packed query with EDNS0.
func packQuestion(id uint16, name string, kind dnsmessage.Type) (dnsmessage.Question, []byte, error) {
	parsed, err := dnsmessage.NewName(name)
	if err != nil {
		return dnsmessage.Question{}, nil, fmt.Errorf("DNS name %.300q: %w", name, err)
	}
	question := dnsmessage.Question{Name: parsed, Type: kind, Class: dnsmessage.ClassINET}
	var opt dnsmessage.ResourceHeader
	if err := opt.SetEDNS0(maxUDPPayload, dnsmessage.RCodeSuccess, false); err != nil {
		return question, nil, err
	}
	message := dnsmessage.Message{
		Header:      dnsmessage.Header{ID: id, RecursionDesired: true},
		Questions:   []dnsmessage.Question{question},
		Additionals: []dnsmessage.Resource{{Header: opt, Body: &dnsmessage.OPTResource{}}},
	}
	packed, err := message.Pack()
	return question, packed, err
}

func fqdn(name string) string { return strings.TrimSuffix(name, ".") + "." }

// answersQuestion reports whether the message answers the question exactly, including the letter case of the name.
func (r response) answersQuestion(id uint16, q dnsmessage.Question) bool {
	isAnswer := r.Response && r.ID == id && r.OpCode == 0 && len(r.questions) == 1
	return isAnswer && r.questions[0].Type == q.Type && r.questions[0].Class == q.Class &&
		r.questions[0].Name.String() == q.Name.String()
}

// srvRecords returns the SRV records and their lowest TTL in seconds.
func (r response) srvRecords() (records []*dnsmessage.SRVResource, ttl uint32) {
	ttl = maxTTLSeconds
	for _, resource := range r.answers {
		if srv, ok := resource.Body.(*dnsmessage.SRVResource); ok {
			records = append(records, srv)
			ttl = min(ttl, resource.Header.TTL)
		}
	}
	return records, ttl
}

// negativeTTL returns how long a negative answer is valid: the lesser of the SOA record's TTL and its minimum field
// (RFC 2308).
func (r response) negativeTTL() time.Duration {
	for _, resource := range r.ns {
		if soa, ok := resource.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(resource.Header.TTL, soa.MinTTL)) * time.Second
		}
	}
	return defaultNegativeTTL
}

// followChain follows the CNAME chain within one answer and returns the last name, and whether the answer has records
// of the given type for it.
func (r response) followChain(owner string, kind dnsmessage.Type) (last string, found bool) {
	last = owner
	for range maxCNAMEs {
		next, found := r.followCNAME(last, kind)
		if found || next == last {
			return next, found
		}
		last = next
	}
	return last, false
}

// followCNAME returns the target of the owner's CNAME, or the owner itself if it has none, and whether the answer has
// records of the given type for the owner (before the CNAME, if there is one).
func (r response) followCNAME(owner string, kind dnsmessage.Type) (next string, found bool) {
	for _, resource := range r.answers {
		if !strings.EqualFold(resource.Header.Name.String(), owner) {
			continue
		}
		if cname, ok := resource.Body.(*dnsmessage.CNAMEResource); ok {
			return strings.ToLower(cname.CNAME.String()), found
		}
		found = found || resource.Header.Type == kind
	}
	return owner, found
}
