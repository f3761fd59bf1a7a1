// Package faultproxy is a TCP proxy on loopback for end-to-end tests. It forwards bytes unchanged, and can delay what
// the target sends on connections that a test selects by the first line sent by the client. It never changes or
// reorders bytes, and drops none while both sides of a connection are open.
package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"time"

	"onyxgate/internal/fake/loopback"
)

const (
	dialTimeout  = 5 * time.Second
	bufferSize   = 32 << 10
	maxFirstLine = 4 << 10 // bytes after which the first line is no longer looked for
)

// Proxy forwards connections to one target. Its methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu             sync.Mutex
	matchesChanged *sync.Cond                           // signaled when matches becomes nil
	matches        func(firstLine string) bool          // selects the connections to hold; nil holds none
	onPass         func(firstLine string, bytes []byte) // may be nil
	holding        int                                  // number of connections with bytes from the target held now
	connections    map[net.Conn]bool                    // open connections on both sides
}

// New starts a proxy for a target, on a port chosen by the kernel.
func New(target string) (*Proxy, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	p.matchesChanged = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Hold delays what the target sends on connections whose first line matches, until Release is called. It
// replaces the function of an earlier call.
func (p *Proxy) Hold(matches func(firstLine string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = matches
}

// Release forwards everything that is held.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = nil
	p.matchesChanged.Broadcast()
}

// OnPass sets a function that is called with the target's bytes just before they are forwarded to the client. It must
// be set before the first connection, and the function must not call the proxy.
func (p *Proxy) OnPass(onPass func(firstLine string, bytes []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPass = onPass
}

// Holding returns the number of connections on which bytes are held now.
func (p *Proxy) Holding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holding
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = nil
	p.matchesChanged.Broadcast()
	for c := range p.connections {
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := loopback.Dial(p.target, dialTimeout)
		if err != nil {
			client.Close()
			continue
		}
		s := &session{proxy: p, client: client, target: target, firstLineKnown: make(chan struct{})}
		p.mu.Lock()
		p.connections[client], p.connections[target] = true, true
		p.mu.Unlock()
		go s.copyToTarget()
		go s.copyToClient()
	}
}

// session is a connection through the proxy.
type session struct {
	proxy          *Proxy
	client, target net.Conn
	once           sync.Once
	firstLineKnown chan struct{} // closed once the first line is known
	firstLine      string
}

func (s *session) close() {
	s.client.Close()
	s.target.Close()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	delete(s.proxy.connections, s.client)
	delete(s.proxy.connections, s.target)
}

// setFirstLine sets the first line; only the first call has an effect.
func (s *session) setFirstLine(line string) {
	s.once.Do(func() {
		s.firstLine = line
		close(s.firstLineKnown)
	})
}

// copyToTarget forwards what the client sends, and reads the first line from it.
func (s *session) copyToTarget() {
	defer s.close()
	defer s.setFirstLine("")
	buffer, head := make([]byte, bufferSize), []byte(nil)
	for {
		n, err := s.client.Read(buffer)
		if n > 0 {
			if len(head) < maxFirstLine {
				head = append(head, buffer[:n]...)
				if line, _, found := bytes.Cut(head, []byte("\r\n")); found {
					s.setFirstLine(string(line))
				}
			}
			if _, err := s.target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyToClient forwards what the target sends, once it need not be held. It waits for the first line, which selects
// the connections to hold.
func (s *session) copyToClient() {
	defer s.close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := s.target.Read(buffer)
		if n > 0 {
			<-s.firstLineKnown
			if !s.awaitRelease(buffer[:n]) {
				return
			}
			if _, err := s.client.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitRelease returns once bytes from the target may be forwarded, and reports whether the connection is
// still open. If it was closed in the meantime OnPass does not see the bytes, since nobody reads them.
func (s *session) awaitRelease(bytes []byte) (open bool) {
	p := s.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	held := func() bool { return p.matches != nil && p.matches(s.firstLine) }
	if held() {
		p.holding++
		for held() {
			p.matchesChanged.Wait()
		}
		p.holding--
	}
	if !p.connections[s.client] {
		return false
	}
	if p.onPass != nil {
		p.onPass(s.firstLine, bytes)
	}
	return true
}
