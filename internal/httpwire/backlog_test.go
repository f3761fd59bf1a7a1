package httpwire

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// The time that a request has waited unread, as in the listener's backlog, is part of its client's time: the backend is told
// what is left, and a request whose time is over is rejected and not sent.
func TestUnreadTimeIsClientsTime(t *testing.T) {
	body := requestText("POST /pay/x", "Req-Id: r1", "Req-Deadline: 2000m", "Content-Length: 3") + "abc"
	for _, c := range []unreadTimeTest{
		{"head", 700 * time.Millisecond, validRequest, 200, 1300},
		{"body", 700 * time.Millisecond, body, 200, 1300},
		{"time over", 2100 * time.Millisecond, validRequest, 503, 0},
		{"time over, body", 2100 * time.Millisecond, body, 503, 0},
		{"longer than a head may take", 2 * newConnHeadTimeout, validRequest, 503, 0},
		{"shorter than a tick of the kernel's clock", minUnreadWait - 1, validRequest, 200, 2000},
	} {
		t.Run(c.name, c.run)
	}
}

// unreadTimeTest describes a request that waited unread.
type unreadTimeTest struct {
	name   string
	waited time.Duration // as reported by the kernel
	text   string
	status int
	told   float64 // upper limit of the time left that the backend is told (ms); 0: it gets no request
}

func (c unreadTimeTest) run(t *testing.T) {
	backend := newFakeBackend(t)
	sockets := NewSockets(0)
	sockets.sinceLastData = func(int) (time.Duration, bool) { return c.waited, true }
	l := newLoopbackOn(t, sockets, backend.address(), dialTCP, true)
	told := make(chan string, 1)
	go func() { // ends with the listener of the backend
		conn, ok := <-backend.conns
		if !ok {
			return
		}
		defer conn.Close()
		if _, deadline, err := conn.readRequest(); err == nil {
			told <- deadline
			conn.respond("x")
		}
	}()
	client := l.dialFront()
	send(client, c.text)
	if status, _ := client.readResponse(t); status != c.status {
		t.Errorf("status = %d, want %d", status, c.status)
	}
	if c.told == 0 {
		if len(told) != 0 {
			t.Errorf("the backend got a request, attempts %v; want none", l.core.Counts().AttemptsByStatus)
		}
		return
	}
	if got, ok := parseTimeLeft(<-told); !ok || got > c.told {
		t.Errorf("time left told to the backend = %v ms, want at most %v", got, c.told)
	}
}

// If the kernel does not know for how long a request has been waiting, it counts as sent when accepting was blocked.
func TestBacklogWaitWithoutKernel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadlines := make(chan string, 1)
		instance := newTestInstance(network{"app:1": func(conn net.Conn) {
			backend := &peerConn{conn, bufio.NewReader(conn)}
			if _, deadline, err := backend.readRequest(); err == nil {
				deadlines <- deadline
				backend.respond("x")
			}
		}}, NewSockets(reservedSockets+10))
		sockets := instance.front.sockets
		occupied := sockets.ClientLimit()
		occupy := func(n int) {
			sockets.mu.Lock()
			defer sockets.mu.Unlock()
			sockets.clients += n
		}
		server := instance.serve()
		synctest.Wait() // the server waits for a connection
		occupy(occupied)
		first := server.dial()
		defer first.Close()
		synctest.Wait() // the server waits for room
		client := server.dial()
		go send(client, validRequest) // ends when it is read
		time.Sleep(300 * time.Millisecond)
		occupy(-occupied)
		if status, _ := client.readResponse(t); status != 200 {
			t.Errorf("status = %d, want 200", status)
		}
		if got, ok := parseTimeLeft(<-deadlines); !ok || got > 1700 {
			t.Errorf("time left told to the backend = %v ms, want at most 1700: accepting was blocked for 300 of 2000 ms", got)
		}
		client.Close()
		server.close()
		instance.close()
	})
}

// What arrives after a connection was accepted has not been in the backlog.
func TestBytesAfterAccept(t *testing.T) {
	client, socket := connectedPair(t)
	s := NewSockets(0)
	s.sinceLastData = func(int) (time.Duration, bool) { return 0, false }
	s.blockAccept()
	s.backlogSince = time.Now().Add(-time.Minute)
	conn := s.trackAccepted(socket, 0)
	defer conn.Close()
	if conn.maxBacklogWait < time.Minute {
		t.Errorf("maxBacklogWait = %v, want at least a minute", conn.maxBacklogWait)
	}
	read := make(chan error)
	go func() { // ends when a byte has been read
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	waitUntil(func() bool { // the reader has found nothing
		s.mu.Lock()
		defer s.mu.Unlock()
		return conn.maxBacklogWait == 0
	})
	send(client, "G")
	if err := <-read; err != nil {
		t.Errorf("Read: %v", err)
	}
	if age := s.RequestAge(conn); age >= time.Minute {
		t.Errorf("request age = %v, want less than the wait in the backlog", age)
	}
	if c := s.trackAccepted(conn.Conn, acceptRetry); c.maxBacklogWait != 0 {
		t.Errorf("maxBacklogWait after Accept found the backlog empty = %v, want 0", c.maxBacklogWait)
	}
}

// The kernel reports for how long nothing has arrived, whether or not the bytes have been read.
func TestSinceLastData(t *testing.T) {
	client, socket := connectedPair(t)
	conn := NewSockets(0).track(socket, true)
	defer conn.Close()
	const long = 40 * time.Millisecond // several ticks of the kernel's clock
	reported := func() time.Duration {
		since, known := conn.sinceLastData()
		if !known {
			t.Fatal("the kernel does not report when the last data arrived")
		}
		return since
	}
	waitUntil(func() bool { return reported() >= long })
	// On a busy host this goroutine may not run for longer than long, so the report is compared with the time since the send:
	// it would exceed that by long without the new byte.
	sentAt := time.Now()
	send(client, "G")
	waitUntil(func() bool {
		sinceSent := time.Since(sentAt)
		return reported() < sinceSent+long/2
	})
	waitUntil(func() bool { return reported() >= long })
	if hasNoUnreadData(conn) {
		t.Error("the byte was read, want it unread")
	}
}
