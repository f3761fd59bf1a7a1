// Package faultproxy is a TCP proxy on loopback for rehearsals: it passes bytes on unchanged and can hold back what the far
// side sends, on the connections that a test chooses by their first line. It never changes, reorders or drops a byte.
package faultproxy

import (
	"bytes"
	"net"
	"sync"
)

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	changed  *sync.Cond
	held     func(firstLine string) bool
	passes   func(firstLine string, bytes []byte)
	heldNow  int // connections on which bytes of the target wait
	sessions map[net.Conn]bool
}

// New starts a proxy for a target on a port that the kernel chooses.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, sessions: map[net.Conn]bool{}}
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
	p.held = matches
}

// Release passes on all that is held.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = nil
	p.changed.Broadcast()
}

// OnPass names who sees the target's bytes just before they go to the near side; it is set before the first connection.
func (p *Proxy) OnPass(passes func(firstLine string, bytes []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passes = passes
}

// Holding is on how many connections bytes wait now.
func (p *Proxy) Holding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldNow
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = nil
	p.changed.Broadcast()
	for c := range p.sessions {
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		s := &session{proxy: p, near: near, far: far, named: make(chan struct{})}
		p.mu.Lock()
		p.sessions[near], p.sessions[far] = true, true
		p.mu.Unlock()
		go s.forward()
		go s.backward()
	}
}

// session is one connection through the proxy.
type session struct {
	proxy     *Proxy
	near, far net.Conn
	once      sync.Once
	named     chan struct{} // closed once the first line is known
	firstLine string
}

func (s *session) end() {
	s.near.Close()
	s.far.Close()
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	delete(s.proxy.sessions, s.near)
	delete(s.proxy.sessions, s.far)
}

func (s *session) name(line string) {
	s.once.Do(func() {
		s.firstLine = line
		close(s.named)
	})
}

// forward passes on what the near side sends.
func (s *session) forward() {
	defer s.end()
	defer s.name("")
	buffer, head := make([]byte, 32<<10), []byte(nil)
	for {
		n, err := s.near.Read(buffer)
		if n > 0 {
			if len(head) < 4<<10 {
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

// backward passes on what the far side sends, once it may go.
func (s *session) backward() {
	defer s.end()
	buffer := make([]byte, 32<<10)
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

// wait returns when these bytes of the target may pass, and whether anybody is there to read them: what was held while the near
// side left is told to nobody.
func (s *session) wait(bytes []byte) (there bool) {
	p := s.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil && p.held(s.firstLine) {
		p.heldNow++
		for p.held != nil && p.held(s.firstLine) {
			p.changed.Wait()
		}
		p.heldNow--
	}
	if !p.sessions[s.near] {
		return false
	}
	if p.passes != nil {
		p.passes(s.firstLine, bytes)
	}
	return true
}
