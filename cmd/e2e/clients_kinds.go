package main

// The kinds of misbehaving clients, and how each of their connections is watched.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/fake/loopback"
)

const (
	announcedBody  = 64 << 10 // bytes, the most that the protocol allows
	sentBody       = 60 << 10 // bytes of an announced body that are sent
	headRoom       = 15 << 10 // bytes of a large head, below the limit of 16 KiB
	trickleDelay   = 30 * time.Millisecond
	againDelay     = 10 * time.Millisecond // before a peer that was turned away comes again
	leaveAfter     = 100 * time.Millisecond
	maxBatch       = 200 // requests that are written at once
	leaverBody     = 8 << 10
	floodBatch     = 100
	longKey        = 12 << 10
	maxAnswerBytes = 16 << 20
)

// misbehavior is a kind of misbehaving client. play handles one connection.
type misbehavior struct {
	name     string
	maxPeers int // 0: no limit of its own
	play     func(p *peer, conn net.Conn)
}

var misbehaviors = []misbehavior{
	{"silent", 0, func(p *peer, conn net.Conn) { p.awaitEnd(conn) }},
	{"slow heads", 0, func(p *peer, conn net.Conn) { p.trickle(conn, p.head(announcedBody, "")) }},
	{"half bodies", 0, func(p *peer, conn net.Conn) {
		p.sendAndStay(conn, p.head(announcedBody, "")+"\r\n"+strings.Repeat("b", sentBody))
	}},
	{"short fields", 0, func(p *peer, conn net.Conn) { p.sendAndStay(conn, p.head(announcedBody, shortFields())) }},
	{"short fields, half bodies", 0, func(p *peer, conn net.Conn) {
		p.sendAndStay(conn, p.head(announcedBody, shortFields())+"\r\n"+strings.Repeat("b", sentBody))
	}},
	{"long fields, half bodies", 0, func(p *peer, conn net.Conn) {
		field := "X-Long: " + strings.Repeat("x", headRoom) + "\r\n"
		p.sendAndStay(conn, p.head(announcedBody, field)+"\r\n"+strings.Repeat("b", sentBody))
	}},
	{"slow readers", 0, (*peer).askWithoutReading},
	{"leave with requests unread", 0, (*peer).leaveUnread},
	{"flood of small requests", 2, func(p *peer, conn net.Conn) {
		p.flood(conn, func() string { return p.smallRequest("1000m") })
	}},
	{"flood of health checks", 2, func(p *peer, conn net.Conn) {
		p.flood(conn, func() string { return "GET /up HTTP/1.1\r\nHost: a\r\n\r\n" })
	}},
	{"flood of requests without time", 2, func(p *peer, conn net.Conn) {
		p.flood(conn, func() string { return p.smallRequest("1u") })
	}},
	{"flood of requests with a day's time", 60, func(p *peer, conn net.Conn) {
		p.flood(conn, func() string { return p.smallRequest("86400000m") })
	}},
	{"flood of new long keys", 8, (*peer).askForLongKeys},
	{"flood of unsound requests", 4, func(p *peer, conn net.Conn) { p.flood(conn, p.unsoundRequest) }},
}

// ends counts the connections of misbehaving clients by how they ended.
type ends map[string]int

// peerResults collects what the peers of one phase saw.
type peerResults struct {
	mu      sync.Mutex
	ends    ends
	overdue int
}

func (r *peerResults) add(end string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[end]++
	if took > misbehavingTimeout+misbehavingSlack {
		r.overdue++
	}
}

// peer is one misbehaving client. It opens one connection after the other until its phase is over.
type peer struct {
	name       string // prefix of its request ids
	address    string
	until      time.Time
	random     *rand.Rand
	results    *peerResults
	departures *departures
	lastID     int
	opened     time.Time // when the current connection was opened
}

func idPrefix(kind string, peer int) string {
	return fmt.Sprintf("%s-%d-", strings.ReplaceAll(strings.ReplaceAll(kind, " ", ""), ",", ""), peer)
}

// run plays connections until the phase is over.
func (p *peer) run(play func(*peer, net.Conn)) {
	time.Sleep(time.Duration(p.random.Int64N(int64(time.Second)))) // peers do not come all at once
	for time.Now().Before(p.until) {
		conn, err := loopback.Dial(p.address, misbehavingTimeout)
		if err != nil {
			p.results.add("not connected", 0)
			time.Sleep(againDelay)
			continue
		}
		p.opened = time.Now()
		play(p, conn)
		conn.Close()
		time.Sleep(againDelay)
	}
}

func (p *peer) nextID() string {
	p.lastID++
	return p.currentID()
}

func (p *peer) currentID() string { return fmt.Sprintf("%s%d", p.name, p.lastID) }

// head returns the head of a request that must not run twice, without its final empty line.
func (p *peer) head(length int, fields string) string {
	id := p.nextID()
	return fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 5000m\r\nContent-Length: %d\r\n%s", id, id, length, fields)
}

// shortFields returns thousands of fields with short names.
func shortFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < headRoom; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

// smallRequest returns a valid request under a new name, whose client would wait for the given time.
func (p *peer) smallRequest(deadline string) string {
	id := p.nextID()
	return fmt.Sprintf("GET /preview/%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: %s\r\n\r\n", id, id, deadline)
}

func (p *peer) unsoundRequest() string {
	id := p.nextID()
	switch p.random.IntN(4) {
	case 0:
		return fmt.Sprintf("GET /class%s/k HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 1000m\r\n\r\n", id, id)
	case 1:
		return fmt.Sprintf("GET /preview/%s HTTP/1.1\r\nHost: a\r\nReq-Deadline: 1000m\r\n\r\n", id)
	case 2:
		return fmt.Sprintf("%s\x01\r\n\r\n", id)
	}
	return fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: soon\r\nContent-Length: 3\r\n\r\nabc", id, id)
}

// write writes text until the connection breaks or the peer's time is over.
func (p *peer) write(conn net.Conn, text string) error {
	_ = conn.SetWriteDeadline(time.Now().Add(misbehavingTimeout))
	_, err := io.WriteString(conn, text)
	return err
}

// awaitEnd waits for an answer or a close, and counts which of them came and after what time.
func (p *peer) awaitEnd(conn net.Conn) {
	_ = conn.SetReadDeadline(p.opened.Add(misbehavingTimeout + 2*misbehavingSlack))
	status := make([]byte, len("HTTP/1.1 200"))
	n, err := io.ReadFull(conn, status)
	p.results.add(describeEnd(status[:n], err), time.Since(p.opened))
}

func describeEnd(status []byte, err error) string {
	switch {
	case err == nil:
		return "answered " + string(status[len("HTTP/1.1 "):])
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "neither answered nor closed"
	}
	return "closed"
}

// sendAndStay writes text and stays until the connection is answered or closed.
func (p *peer) sendAndStay(conn net.Conn, text string) {
	// A write that fails has met a close, or a full socket: awaitEnd finds out.
	_ = p.write(conn, text)
	p.awaitEnd(conn)
}

// trickle writes text byte by byte until the connection is answered or closed.
func (p *peer) trickle(conn net.Conn, text string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.awaitEnd(conn)
	}()
	for i := 0; i < len(text); i++ {
		if p.write(conn, text[i:i+1]) != nil {
			break
		}
		select {
		case <-done:
			return
		case <-time.After(trickleDelay):
		}
	}
	<-done
}

// askWithoutReading asks for large answers without reading them, and leaves when its time is over.
func (p *peer) askWithoutReading(conn net.Conn) {
	for range 20 {
		id := p.nextID()
		if p.write(conn, fmt.Sprintf("GET /preview/%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 2000m\r\n\r\n", fleet.LargeKey, id)) != nil {
			break
		}
	}
	time.Sleep(min(misbehavingTimeout, time.Until(p.until)))
	p.results.add("left", 0)
}

// askForLongKeys sends one request after the other, each with a long path that never comes again, and waits for the answers.
func (p *peer) askForLongKeys(conn net.Conn) {
	in := bufio.NewReader(conn)
	path := strings.Repeat("k", longKey)
	for time.Now().Before(p.until) {
		id := p.nextID()
		text := fmt.Sprintf("GET /preview/%s%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Deadline: 2000m\r\n\r\n", path, id, id)
		if p.write(conn, text) != nil {
			break
		}
		_ = conn.SetReadDeadline(time.Now().Add(misbehavingTimeout))
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, answer.Body) // a break shows at the next request
		answer.Body.Close()
	}
	p.results.add("flooded", 0)
}

// leaveUnread writes many requests at once and closes the connection while most of them are unread. Then it sends the
// last of them, with the same id, on a new connection.
func (p *peer) leaveUnread(conn net.Conn) {
	var ids []string
	var batch strings.Builder
	large := p.random.IntN(2) == 0
	var last string
	for range maxBatch/10 + p.random.IntN(maxBatch) {
		last = p.smallRequest("5000m")
		if large {
			last = p.head(leaverBody, "") + "\r\n" + strings.Repeat("b", leaverBody)
		}
		batch.WriteString(last)
		ids = append(ids, p.currentID())
	}
	written := make(chan struct{})
	go func() { // ends when everything is written or the connection is closed
		defer close(written)
		_ = p.write(conn, batch.String())
	}()
	time.Sleep(leaveAfter)
	// What the instance has answered is read first: a close with unread answers resets the connection.
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = io.CopyN(io.Discard, conn, maxAnswerBytes)
	conn.Close()
	p.departures.left(ids)
	<-written
	p.results.add("left", 0)
	p.comeAgain(last, p.currentID())
}

// comeAgain sends a request that was left unread once more on a new connection.
func (p *peer) comeAgain(request, id string) {
	again, err := loopback.Dial(p.address, misbehavingTimeout)
	if err != nil {
		return
	}
	defer again.Close()
	p.opened = time.Now()
	p.departures.back(id)
	p.sendAndStay(again, request)
}

// flood writes requests at full speed and reads the answers, until the connection is closed.
func (p *peer) flood(conn net.Conn, next func() string) {
	read := make(chan struct{})
	go func() { // ends when the connection is closed
		defer close(read)
		_, _ = io.Copy(io.Discard, conn)
	}()
	for time.Now().Before(p.until) {
		var batch strings.Builder
		for range floodBatch {
			batch.WriteString(next())
		}
		if p.write(conn, batch.String()) != nil {
			break
		}
	}
	conn.Close()
	<-read
	p.results.add("flooded", 0)
}
