package main

import (
	"encoding/binary"
	"net"
	"strings"
	"sync"
)

// nameServer answers SRV queries over UDP (RFC 1035, RFC 2782) with the addresses of backends, each as a record of its own
// with its address included.
type nameServer struct {
	conn net.PacketConn
	mu   sync.Mutex
	addr []*net.TCPAddr
}

const srvName = "_map._tcp.fleet.example.org"

func (n *nameServer) serve() error {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.conn = conn
	go func() {
		buffer := make([]byte, 1500)
		for {
			size, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			if answer := n.answer(buffer[:size]); answer != nil {
				_, _ = conn.WriteTo(answer, from)
			}
		}
	}()
	return nil
}

func (n *nameServer) address() string { return n.conn.LocalAddr().String() }

func (n *nameServer) name(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		if a, err := net.ResolveTCPAddr("tcp", address); err == nil {
			n.addr = append(n.addr, a)
		}
	}
}

func encodeName(name string) (b []byte) {
	for label := range strings.SplitSeq(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

const (
	typeA, typeSRV = 1, 33
	classInternet  = 1
	ttlSeconds     = 2
)

// answer returns the answer to a query, or nil if the query can't be read.
func (n *nameServer) answer(query []byte) []byte {
	const head = 12
	end := head
	for end < len(query) && query[end] != 0 {
		end += int(query[end]) + 1
	}
	end += 5 // the end of the name, type and class
	if end > len(query) {
		return nil
	}
	question := query[head:end]
	isSRV := binary.BigEndian.Uint16(question[len(question)-4:]) == typeSRV
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	if isSRV {
		count = len(n.addr)
	}
	b := append([]byte{}, query[:2]...)
	b = binary.BigEndian.AppendUint16(b, 0x8580) // an authoritative answer, recursion available
	for _, records := range []int{1, count, 0, count} {
		b = binary.BigEndian.AppendUint16(b, uint16(records))
	}
	b = append(b, question...)
	if !isSRV {
		return b
	}
	target := func(i int) []byte { return encodeName("t" + string(rune('a'+i)) + ".example") }
	for i, a := range n.addr {
		data := binary.BigEndian.AppendUint16(nil, 1) // priority
		data = binary.BigEndian.AppendUint16(data, 1) // weight
		data = binary.BigEndian.AppendUint16(data, uint16(a.Port))
		data = append(data, target(i)...)
		b = appendRecord(b, []byte{0xc0, head}, typeSRV, data)
	}
	for i, a := range n.addr {
		b = appendRecord(b, target(i), typeA, a.IP.To4())
	}
	return b
}

func appendRecord(b, name []byte, kind uint16, data []byte) []byte {
	b = append(b, name...)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, classInternet)
	b = binary.BigEndian.AppendUint32(b, ttlSeconds)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}
