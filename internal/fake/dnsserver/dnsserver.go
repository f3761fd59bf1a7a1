// Package dnsserver stands in for a name server on loopback, UDP and TCP, for one service, and fails as it is told.
package dnsserver

import (
	"net"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/miekg/dns"
)

// Service is the name that is served.
const Service = "_render._tcp.fleet.example.org."

// Modes are the ways to fail; the first is none.
var Modes = []string{"", "silent", "servfail", "nxdomain", "empty", "truncated", "half", "garbage", "wrong id", "lifetime 0"}

// Server is one.
type Server struct {
	Address   string
	mode      atomic.Value
	addresses func() []string
	Queries   atomic.Int64
	udp, tcp  *dns.Server
}

// New starts a server that names these addresses, anew at each question.
func New(addresses func() []string) (*Server, error) {
	s := &Server{addresses: addresses}
	s.mode.Store("")
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = c.LocalAddr().String()
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, err
	}
	s.udp, s.tcp = &dns.Server{PacketConn: c, Handler: s}, &dns.Server{Listener: l, Handler: s}
	go s.udp.ActivateAndServe()
	go s.tcp.ActivateAndServe()
	return s, nil
}

// Fail sets the mode.
func (s *Server) Fail(mode string) { s.mode.Store(mode) }

// Close ends it.
func (s *Server) Close() {
	s.udp.Shutdown()
	s.tcp.Shutdown()
}

// ServeDNS answers a question.
func (s *Server) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	s.Queries.Add(1)
	mode, udp := s.mode.Load().(string), w.LocalAddr().Network() == "udp"
	m := new(dns.Msg)
	m.SetReply(q)
	ttl := uint32(2)
	all := s.addresses()
	switch mode {
	case "silent":
		return
	case "servfail":
		m.SetRcode(q, dns.RcodeServerFailure)
		all = nil
	case "nxdomain":
		m.SetRcode(q, dns.RcodeNameError)
		all = nil
	case "empty":
		all = nil
	case "half":
		all = all[:len(all)/2]
	case "garbage":
		w.Write([]byte("this is no answer to anything"))
		return
	case "wrong id":
		m.Id++
	case "lifetime 0":
		ttl = 0
	}
	for i, a := range all {
		host, port, _ := net.SplitHostPort(a)
		n, _ := strconv.Atoi(port)
		target := "h" + strconv.Itoa(i) + ".fleet.example.org."
		m.Answer = append(m.Answer, &dns.SRV{Hdr: dns.RR_Header{
			Name: q.Question[0].Name, Rrtype: dns.TypeSRV,
			Class: dns.ClassINET, Ttl: ttl,
		}, Priority: 1, Weight: 1, Port: uint16(n), Target: target})
		m.Extra = append(m.Extra, &dns.A{
			Hdr: dns.RR_Header{Name: target, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: ttl},
			A:   net.ParseIP(host),
		})
	}
	if !strings.EqualFold(q.Question[0].Name, Service) {
		m.Answer, m.Extra = nil, nil
	}
	if mode == "truncated" || udp && m.Len() > dns.MinMsgSize*2 {
		m.Answer, m.Extra, m.Truncated = nil, nil, true
	}
	w.WriteMsg(m)
}
