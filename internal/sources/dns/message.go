package dns

// This file owns the messages: packing questions, taking answers apart.

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// maxUDPPayload (bytes) is what passes without fragments; EDNS0 tells the server.
const maxUDPPayload = 1232

// response is an answer taken apart, by x/net's package: it allocates nothing at the start of an instance that looks no names
// up.
type response struct {
	dnsmessage.Header
	questions                []dnsmessage.Question
	answers, ns, additionals []dnsmessage.Resource
}

// parseResponse takes a message apart; of a truncated one only the head and the questions, for what follows may be cut
// anywhere.
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

// packQuestion packs one question, with EDNS0.
func packQuestion(id uint16, name string, kind dnsmessage.Type) (dnsmessage.Question, []byte, error) {
	parsed, err := dnsmessage.NewName(name)
	if err != nil {
		return dnsmessage.Question{}, nil, fmt.Errorf("%.300q: %w", name, err)
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

// answersQuestion reports whether a message answers a question, to the letter.
func (r response) answersQuestion(id uint16, q dnsmessage.Question) bool {
	isAnswer := r.Response && r.ID == id && r.OpCode == 0 && len(r.questions) == 1
	return isAnswer && r.questions[0].Type == q.Type && r.questions[0].Class == q.Class &&
		r.questions[0].Name.String() == q.Name.String()
}

// srvRecords returns the SRV records and the lowest lifetime of them, in seconds.
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

// negativeTTL is how long a no holds: RFC 2308, the lesser of the SOA's lifetime and its minimum.
func (r response) negativeTTL() time.Duration {
	for _, resource := range r.ns {
		if soa, ok := resource.Body.(*dnsmessage.SOAResource); ok {
			return time.Duration(min(resource.Header.TTL, soa.MinTTL)) * time.Second
		}
	}
	return defaultNegativeTTL
}

// followChain walks the chain of CNAMEs that one answer may hold, as far as it goes, and reports whether there are records of
// the kind at its end.
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

// next returns where a name's CNAME leads, the name itself where it has none, and whether there are records of the kind before
// that.
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
