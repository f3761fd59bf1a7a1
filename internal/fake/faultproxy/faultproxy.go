// Package faultproxy is a TCP proxy on loopback for end-to-end tests. It passes bytes on unchanged and can hold back what the
// target sends, on connections that a test chooses by the first line of what the client sent. It never changes, reorders or
// drops a byte.
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
	maxFirstLine = 4 << 10 // bytes within which the first line has to end
)

// Proxy forwards connections to one target. Its methods may be called at any time and by anyone.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	changed     *sync.Cond                           // of matches
	matches     func(firstLine string) bool          // connections that are held; nil: none
	onPass      func(firstLine string, bytes []byte) // nil: nobody
	waiting     int                                  // connections on which bytes of the target are held now
	connections map[net.Conn]bool                    // open ones, of both sides
}

// New starts a proxy for a target on a port that the kernel chooses.
func New(target string) (*Proxy, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Hold keeps back what the target sends on connections whose first line matches, from now on and until Release.
func (p *Proxy) Hold(matches func(firstLine string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = matches
}

// Release passes on all that is held.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = nil
	p.changed.Broadcast()
}

// OnPass sets a function that sees the target's bytes just before they go to the client. It is set before the first connection
// and must not call the proxy.
func (p *Proxy) OnPass(onPass func(firstLine string, bytes []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPass = onPass
}

// Holding is the number of connections on which bytes are held now.
func (p *Proxy) Holding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.matches = nil
	p.changed.Broadcast()
	for c := range p.connections {
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := loopback.Dial(p.target, dialTimeout)
		if err != nil {
			near.Close()
			continue
		}
		s := &session{proxy: p, near: near, far: far, named: make(chan struct{})}
		p.mu.Lock()
		p.connections[near], p.connections[far] = true, true
		p.mu.Unlock()
		go s.forward()
		go s.backward()
	}
}

// session is one connection through the proxy.
type session struct {
	proxy     *Proxy
	near, far net.Conn // the client's and the target's
	once      sync.Once
	named     chan struct{} // closed once the first line is known
	firstLine string
}

func (s *session) close() {
	s.near.Close()
	s.far.Close()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	delete(s.proxy.connections, s.near)
	delete(s.proxy.connections, s.far)
}

// name sets the first line; only the first call counts.
func (s *session) name(line string) {
	s.once.Do(func() {
		s.firstLine = line
		close(s.named)
	})
}

// forward passes on what the client sends and takes the first line from it.
func (s *session) forward() {
	defer s.close()
	defer s.name("")
	buffer, head := make([]byte, bufferSize), []byte(nil)
	for {
		n, err := s.near.Read(buffer)
		if n > 0 {
			if len(head) < maxFirstLine {
				head = append(head, buffer[:n]...)
				if line, _, whole := bytes.Cut(head, []byte("\r\n")); whole {
					s.name(string(line))
				}
			}
			if _, err := s.far.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// backward passes on what the target sends, once it may go. It waits for the first line, by which connections are chosen.
func (s *session) backward() {
	defer s.close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := s.far.Read(buffer)
		if n > 0 {
			<-s.named
			if !s.wait(buffer[:n]) {
				return
			}
			if _, err := s.near.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when these bytes of the target may pass, and whether the client is still there. What was held while the client
// left is not shown to OnPass, since nobody reads it.
func (s *session) wait(bytes []byte) (open bool) {
	p := s.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	held := func() bool { return p.matches != nil && p.matches(s.firstLine) }
	if held() {
		p.waiting++
		for held() {
			p.changed.Wait()
		}
		p.waiting--
	}
	if !p.connections[s.near] {
		return false
	}
	if p.onPass != nil {
		p.onPass(s.firstLine, bytes)
	}
	return true
}
