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
	matchesChanged     *sync.Cond                           // of matches
	matches     func(firstLine string) bool          // connections that are held; nil: none
	onPass      func(firstLine string, bytes []byte) // nil: nobody
	holding     int                                  // connections on which bytes of the target are held now
	connections map[net.Conn]bool                    // open ones, of both sides
}

// New starts a proxy for a target on a port that the kernel chooses.
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
	p.matchesChanged.Broadcast()
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
	return p.holding
}

// Close ends the proxy and all its connections.
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
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := loopback.Dial(p.target, dialTimeout)
		if err != nil {
			near.Close()
			continue
		}
		s := &session{proxy: p, client: near, target: far, firstLineKnown: make(chan struct{})}
		p.mu.Lock()
		p.connections[near], p.connections[far] = true, true
		p.mu.Unlock()
		go s.copyToTarget()
		go s.copyToClient()
	}
}

// session is one connection through the proxy.
type session struct {
	proxy     *Proxy
	client, target net.Conn // the client's and the target's
	once      sync.Once
	firstLineKnown     chan struct{} // closed once the first line is known
	firstLine string
}

func (s *session) close() {
	s.client.Close()
	s.target.Close()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	delete(s.proxy.connections, s.client)
	delete(s.proxy.connections, s.target)
}

// setFirstLine sets the first line; only the first call counts.
func (s *session) setFirstLine(line string) {
	s.once.Do(func() {
		s.firstLine = line
		close(s.firstLineKnown)
	})
}

// copyToTarget passes on what the client sends and takes the first line from it.
func (s *session) copyToTarget() {
	defer s.close()
	defer s.setFirstLine("")
	buffer, head := make([]byte, bufferSize), []byte(nil)
	for {
		n, err := s.client.Read(buffer)
		if n > 0 {
			if len(head) < maxFirstLine {
				head = append(head, buffer[:n]...)
				if line, _, whole := bytes.Cut(head, []byte("\r\n")); whole {
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

// copyToClient passes on what the target sends, once it may go. It waits for the first line, by which connections are chosen.
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

// awaitRelease returns when these bytes of the target may pass, and whether the client is still there. What was held while the client
// left is not shown to OnPass, since nobody reads it.
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
