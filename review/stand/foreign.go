package main

// Case: appliances send spoilt answers, and second answers some milliseconds late.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	foreignAgents = 30    // agents of the deployment; one of them is started
	foreignRate   = 100.0 // requests a second
	foreignFor    = 80 * time.Second
	spoiltShare   = 0.05 // of the answers have a length that doesn't fit
	copiedShare   = 0.20 // of the answers come a second time
	leastCopied   = 3 * time.Millisecond
	mostCopied    = 20 * time.Millisecond
	meanWork      = 30 * time.Millisecond
)

const loadReport = "queue=0,util=0.3,qps=12"

// rudeAppliance answers as appliances in trouble do. Answers are written whole and one after the other.
type rudeAppliance struct {
	trial    *trial
	id       string
	listener net.Listener
	trouble  bool

	mu  sync.Mutex
	rng *rand.Rand
}

func (a *rudeAppliance) draw(f func(*rand.Rand) float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return f(a.rng)
}

func (a *rudeAppliance) chance(share float64) bool {
	return a.trouble && a.draw((*rand.Rand).Float64) < share
}

func (a *rudeAppliance) run() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		c := &rudeConn{appliance: a, conn: conn}
		go c.run()
	}
}

// rudeConn is one connection to an appliance.
type rudeConn struct {
	appliance *rudeAppliance
	conn      net.Conn

	mu      sync.Mutex // one answer is written at a time
	waiting int        // requests without an answer
}

func (c *rudeConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		c.mu.Lock()
		c.waiting++
		c.mu.Unlock()
		if r.URL.Path == "/metrics/load" || r.URL.Path == "/alive" {
			c.answer("a probe", loadReport, false)
			continue
		}
		id := r.Header.Get("Req-Id")
		c.appliance.trial.note("appliance %s begins %s", c.appliance.id, id)
		time.Sleep(time.Duration(c.appliance.draw((*rand.Rand).ExpFloat64) * float64(meanWork)))
		spoilt := c.appliance.chance(spoiltShare)
		c.answer(id, "done "+id, spoilt)
		if spoilt { // the connection stays open and is of no further use
			_, _ = io.Copy(io.Discard, reader)
			return
		}
	}
}

// answer writes one answer, and sometimes the same once more some milliseconds later, if nothing else waits on the
// connection then. A spoilt answer says that it is longer than it is.
func (c *rudeConn) answer(what, body string, spoilt bool) {
	length := len(body)
	if spoilt {
		length += 1 + int(c.appliance.draw((*rand.Rand).Float64)*20)
		c.appliance.trial.note("appliance %s answers %s with a length of %d instead of %d", c.appliance.id, what, length, len(body))
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", length, body)
	c.mu.Lock()
	c.waiting--
	_, _ = io.WriteString(c.conn, text)
	c.mu.Unlock()
	if spoilt || !c.appliance.chance(copiedShare) {
		return
	}
	late := leastCopied + time.Duration(c.appliance.draw((*rand.Rand).Float64)*float64(mostCopied-leastCopied))
	time.AfterFunc(late, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting > 0 {
			return
		}
		_, _ = io.WriteString(c.conn, text)
	})
}

func runForeign(t *trial) int {
	w, err := t.newWorld(0, 0)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	for i := range 10 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return t.cannotRun("%v", err)
		}
		a := &rudeAppliance{trial: t, id: fmt.Sprintf("s-%08x", 0x51a0+i), listener: listener, trouble: t.trouble, rng: rand.New(rand.NewPCG(38, uint64(i)))}
		w.appliances = append(w.appliances, &appliance{trial: t, id: a.id, listener: listener})
		go a.run()
	}
	a, err := t.newAgent("n1")
	if err != nil {
		return t.cannotRun("%v", err)
	}
	settings := lahoreSettings()
	settings["balancers"] = foreignAgents
	settings["report"] = object{"source": "answers", "fields": []string{"q", "busy", "rate"}}
	if err := a.start(w.config(a, 1, settings)); err != nil {
		return t.cannotRun("%v", err)
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		return t.cannotRun("%v", err)
	}
	rng := rand.New(rand.NewPCG(38, 4))
	var (
		pool     connections
		mu       sync.Mutex
		wait     sync.WaitGroup
		answered int
		settled  int
		foreign  int
	)
	for end, n := time.Now().Add(foreignFor), 1; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / foreignRate * float64(time.Second)))
		r := &request{id: fmt.Sprintf("x%06d", n), class: renderProducts[rng.IntN(3)], deadline: time.Duration(2000+rng.IntN(3000)) * time.Millisecond}
		wait.Go(func() {
			conn, err := pool.take(a.address)
			if err != nil {
				return
			}
			r.exchange(conn, conn.reader, r.deadline+time.Second)
			t.note("client has %s %s: status %d, %v, %q", r.id, r.class.name, r.status, r.err, r.body)
			mu.Lock()
			if !r.answered.IsZero() {
				answered++
			}
			if r.status == http.StatusOK {
				settled++
				if r.body != "done "+r.id {
					foreign++
					t.note("FOREIGN %s: settled with %q, which no appliance answered to it", r.id, r.body)
				}
			}
			mu.Unlock()
			if r.err != nil {
				conn.Close()
				return
			}
			pool.put(conn)
		})
	}
	wait.Wait()
	t.say("answers %d, settled %d, settled with what no appliance answered %d", answered, settled, foreign)
	if settled < 500 {
		return t.cannotRun("too few settled")
	}
	if foreign > 0 {
		return broken
	}
	return held
}
