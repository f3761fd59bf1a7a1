// Package dnsserver fakes a name server on loopback, over UDP and TCP. It serves the SRV records of one service, and
// fails in the mode that a test sets.
package dnsserver

import (
	"net"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/miekg/dns"

	"onyxgate/internal/fake/loopback"
)

// Service is the name for which the server has SRV records.
const Service = "_render._tcp.fleet.example.org."

const (
	domain        = ".fleet.example.org."
	ttlSeconds    = 2
	maxUDPSize    = dns.MinMsgSize * 2
	garbageReply  = "this is no answer to anything"
	failSilent    = "silent"
	failServfail  = "servfail"
	failNXDomain  = "nxdomain"
	failEmpty     = "empty"
	failTruncated = "truncated"
	failHalf      = "half"
	failGarbage   = "garbage"
	failWrongID   = "wrong id"
	failZeroTTL   = "lifetime 0"
)

// FailureModes lists the modes of failure. The first one, the empty string, is normal operation.
var FailureModes = []string{
	"", failSilent, failServfail, failNXDomain, failEmpty, failTruncated, failHalf, failGarbage, failWrongID, failZeroTTL,
}

// Server is a fake name server. Its methods are safe for concurrent use.
type Server struct {
	Address string       // for both UDP and TCP
	Queries atomic.Int64 // queries received so far

	mode      atomic.Value // a string, one of FailureModes
	addresses func() []string
	udp, tcp  *dns.Server
}

// New starts a server with an SRV record for each address that the function returns. The function is called for each
// query that is answered, possibly from several goroutines at once.
func New(addresses func() []string) (*Server, error) {
	s := &Server{addresses: addresses}
	s.mode.Store("")
	packets, listener, err := loopback.ListenPair()
	if err != nil {
		return nil, err
	}
	s.Address = packets.LocalAddr().String()
	s.udp, s.tcp = &dns.Server{PacketConn: packets, Handler: s}, &dns.Server{Listener: listener, Handler: s}
	go func() { _ = s.udp.ActivateAndServe() }() // both return once Close is called
	go func() { _ = s.tcp.ActivateAndServe() }()
	return s, nil
}

// Fail sets the failure mode from the next query on; mode is one of FailureModes.
func (s *Server) Fail(mode string) { s.mode.Store(mode) }

// Close stops the server.
func (s *Server) Close() {
	// Shutdown fails only if serving hasn't begun or has ended, when there is nothing to close.
	_ = s.udp.Shutdown()
	_ = s.tcp.Shutdown()
}

// ServeDNS answers a query according to the current failure mode.
func (s *Server) ServeDNS(w dns.ResponseWriter, query *dns.Msg) {
	s.Queries.Add(1)
	mode := s.mode.Load().(string)
	switch mode {
	case failSilent:
		return
	case failGarbage:
		_, _ = w.Write([]byte(garbageReply)) // an error means that the client is gone
		return
	}
	message := s.answer(query, mode)
	overUDP := w.LocalAddr().Network() == "udp"
	if mode == failTruncated || overUDP && message.Len() > maxUDPSize {
		message.Answer, message.Extra, message.Truncated = nil, nil, true
	}
	_ = w.WriteMsg(message) // an error means that the client is gone, and it retries
}

func (s *Server) answer(query *dns.Msg, mode string) *dns.Msg {
	message := new(dns.Msg)
	message.SetReply(query)
	ttl := uint32(ttlSeconds)
	addresses := s.addresses()
	switch mode {
	case failServfail:
		message.SetRcode(query, dns.RcodeServerFailure)
		addresses = nil
	case failNXDomain:
		message.SetRcode(query, dns.RcodeNameError)
		addresses = nil
	case failEmpty:
		addresses = nil
	case failHalf:
		addresses = addresses[:len(addresses)/2]
	case failWrongID:
		message.Id++
	case failZeroTTL:
		ttl = 0
	}
	name := query.Question[0].Name
	if !strings.EqualFold(name, Service) {
		return message
	}
	for i, address := range addresses {
		service, host := records(name, i, address, ttl)
		message.Answer, message.Extra = append(message.Answer, service), append(message.Extra, host)
	}
	return message
}

// records returns the SRV record of the i-th backend and the address record of its target.
func records(name string, i int, address string, ttl uint32) (service *dns.SRV, host *dns.A) {
	// The addresses are those of this process's listeners, so they always consist of an IP address and a port.
	ip, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	target := "h" + strconv.Itoa(i) + domain
	service = &dns.SRV{
		Hdr:      dns.RR_Header{Name: name, Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: ttl},
		Priority: 1, Weight: 1, Port: uint16(port), Target: target,
	}
	host = &dns.A{
		Hdr: dns.RR_Header{Name: target, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: ttl},
		A:   net.ParseIP(ip),
	}
	return service, host
}
