package httpwire

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// newTestMemory returns a budget of the given size for requests, and as much again for responses, that does not limit
// connections.
func newTestMemory(limit int64) *Memory {
	m := NewMemory(0)
	m.limit, m.incoming = 2*limit, limit
	return m
}

// growFor reserves bytes and waits for them for the given time.
func growFor(r *reservation, bytes int64, wait time.Duration) error {
	return r.grow(bytes, false, time.Now().Add(wait), nil)
}

// A reservation that does not fit waits in its turn until others release theirs, and is refused when its time is over.
func TestReservationsWaitInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMemory(100)
		first := m.newReservation()
		if err := growFor(first, 60, 0); err != nil {
			t.Fatalf("reserving 60 of 100 bytes: %v", err)
		}
		ended := make(chan string, 4)
		wait := func(name string, bytes int64, urgent bool, limit time.Duration) {
			r := m.newReservation()
			err := r.grow(bytes, urgent, time.Now().Add(limit), nil)
			ended <- fmt.Sprintf("%s: refused %v", name, errors.Is(err, errNoRoom))
		}
		go wait("large", 70, false, time.Second)
		synctest.Wait()
		go wait("small, behind the large one", 10, false, time.Second)
		synctest.Wait()
		go wait("urgent", 30, true, time.Second)
		synctest.Wait()
		go wait("impatient", 10, false, time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		first.release()
		synctest.Wait()
		time.Sleep(2 * time.Second)
		for _, want := range []string{
			"urgent: refused false", "impatient: refused true", "large: refused false", "small, behind the large one: refused true",
		} {
			if got := <-ended; got != want {
				t.Errorf("next reservation = %q, want %q", got, want)
			}
		}
		if usage := m.Usage(); usage.Used != 100 || usage.Refused != 2 {
			t.Errorf("usage = %+v, want 100 bytes used and 2 refused", usage)
		}
	})
}

// What is held for the request that has been incomplete for longest is taken back after the grace period, if others wait, and
// no more than they need.
func TestEvictionOfOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMemory(100)
		var evicted []int
		for i := range 4 {
			r := m.newReservation()
			r.setEvictable(func() bool {
				evicted = append(evicted, i)
				if i == 0 {
					return false // more of the request has arrived
				}
				go r.release()
				return true
			})
			if err := growFor(r, 25, 0); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		from := time.Now()
		if err := growFor(m.newReservation(), 30, time.Minute); err != nil {
			t.Errorf("reserving 30 bytes: %v, want them taken back from others", err)
		}
		if waited := time.Since(from); waited > 2*evictionGrace {
			t.Errorf("waited %v, want at most %v", waited, 2*evictionGrace)
		}
		if got := fmt.Sprint(evicted); got != "[0 1 2]" {
			t.Errorf("evicted = %v, want the oldest ones, [0 1 2]", got)
		}
		time.Sleep(time.Minute)
		if len(evicted) > 3 {
			t.Errorf("evicted = %v while nobody waits", evicted)
		}
	})
}

// memoryModel plays random events on a budget and knows what is held.
type memoryModel struct {
	memory  *Memory
	held    []*reservation
	waiting []waitingReservation
}

// waitingReservation is a reservation in a queue, and its entry there.
type waitingReservation struct {
	waiter  *memoryWaiter
	element *list.Element
}

// pick draws one of the reservations that are held.
func (m *memoryModel) pick(t *rapid.T) (index int, r *reservation) {
	if len(m.held) == 0 {
		t.Skip("nothing is held")
	}
	index = rapid.IntRange(0, len(m.held)-1).Draw(t, "index")
	return index, m.held[index]
}

func (m *memoryModel) add(t *rapid.T) {
	r := m.memory.newReservation()
	if rapid.Bool().Draw(t, "evictable") {
		refuse := rapid.Bool().Draw(t, "refuse")
		r.setEvictable(func() bool { return !refuse })
	}
	m.held = append(m.held, r)
}

func (m *memoryModel) reserve(t *rapid.T) {
	_, r := m.pick(t)
	bytes := int64(rapid.IntRange(1, 600).Draw(t, "bytes"))
	r.involved.Store(true)
	if waiter, element := m.memory.reserve(r, bytes, rapid.Bool().Draw(t, "urgent")); waiter != nil {
		m.waiting = append(m.waiting, waitingReservation{waiter, element})
	}
}

func (m *memoryModel) stopWaiting(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip("nothing waits")
	}
	first := m.waiting[0]
	m.waiting = m.waiting[1:]
	if err := m.memory.stopWaiting(first.waiter, first.element); err != nil && !errors.Is(err, errNoRoom) {
		t.Fatalf("stopWaiting = %v, want nil or %v", err, errNoRoom)
	}
}

func (m *memoryModel) release(t *rapid.T) {
	index, r := m.pick(t)
	for _, w := range m.waiting {
		if w.waiter.holder == r {
			t.Skip("it waits for more")
		}
	}
	r.release()
	m.held = slices.Delete(m.held, index, index+1)
}

// evict takes reservations back as if the grace period of all were over.
func (m *memoryModel) evict(*rapid.T) {
	m.memory.mu.Lock()
	for _, r := range m.held {
		r.heldSince = r.heldSince.Add(-evictionGrace)
	}
	m.memory.mu.Unlock()
	m.memory.evict()
}

func (m *memoryModel) check(t *rapid.T) {
	m.memory.mu.Lock()
	defer m.memory.mu.Unlock()
	sum, evicting := int64(0), int64(0)
	for _, r := range m.held {
		sum += r.bytes
		evicting += r.evicting
	}
	if m.memory.used != sum || m.memory.evicting != evicting || sum > m.memory.limit {
		t.Fatalf("used %d and evicting %d, want %d and %d; limit %d", m.memory.used, m.memory.evicting, sum, evicting, m.memory.limit)
	}
	if next := m.memory.next(); next != nil && m.memory.lacks(next.Value.(*memoryWaiter).bytes, next.Value.(*memoryWaiter).urgent) <= 0 {
		t.Fatal("a reservation waits although it fits")
	}
}

// In any order of events no more than the limit is reserved, what is reserved is the sum of what is held, nothing is released
// twice, and nothing waits that fits.
func TestMemoryAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &memoryModel{memory: newTestMemory(700)}
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "reserve": m.reserve, "stop waiting": m.stopWaiting, "release": m.release, "evict": m.evict, "": m.check,
			"shrink": func(t *rapid.T) {
				_, r := m.pick(t)
				r.shrinkTo(int64(rapid.IntRange(0, 600).Draw(t, "bytes")))
			},
			"needed": func(t *rapid.T) {
				_, r := m.pick(t)
				r.setNeeded()
			},
		})
		for len(m.waiting) > 0 {
			m.stopWaiting(t)
		}
		for _, r := range m.held {
			r.release()
		}
		m.memory.mu.Lock()
		defer m.memory.mu.Unlock()
		if m.memory.used != 0 || m.memory.evicting != 0 || m.memory.evictable.Len() != 0 {
			t.Fatalf("after all releases: used %d, evicting %d, listed %d", m.memory.used, m.memory.evicting, m.memory.evictable.Len())
		}
	})
}

// largeRequest returns a request of class pay with the largest body.
func largeRequest(id string) (head, body string) {
	head = requestText("POST /pay/x", "Req-Id: "+id, "Req-Deadline: 3000m", fmt.Sprintf("Content-Length: %d", maxBodyBytes))
	return head, strings.Repeat("b", maxBodyBytes)
}

// Clients that announce large bodies and stop in the middle must not make the instance allocate them all: what does not fit
// into the budget waits at the sockets, and a client that sends its whole body is served nevertheless.
func TestIncompleteBodiesStayWithinBudget(t *testing.T) {
	const limit, clients = 1 << 20, 150
	backend := newFakeBackend(t)
	go func() { // ends with the listener of the backend
		for conn := range backend.conns {
			if _, _, err := conn.readRequest(); err == nil {
				conn.respond("x")
			}
			conn.Close()
		}
	}()
	sockets := NewSockets(0)
	sockets.LimitMemory(newTestMemory(limit))
	l := newLoopbackOn(t, sockets, backend.address(), dialTCP, true)
	before := heapBytes()
	for i := range clients {
		head, body := largeRequest(fmt.Sprintf("half%d", i))
		client := l.dialFront()
		send(client, head+body[:maxBodyBytes-1])
	}
	waitUntil(func() bool {
		return sockets.Usage().ReceivingClients+int(sockets.Usage().IncompleteRejected) >= clients
	})
	grown := heapBytes() - before
	if allowed := int64(limit + clients*connectionBytes); grown > allowed {
		t.Errorf("the heap grew by %d bytes for %d incomplete bodies, want at most %d", grown, clients, allowed)
	}
	client := l.dialFront()
	head, body := largeRequest("whole")
	go send(client, head+body) // ends when it is read or the connection is closed
	if status, _ := client.readResponse(t); status != 200 {
		t.Errorf("status of a whole request = %d, want 200", status)
	}
	if usage := sockets.memory.Usage(); usage.Peak > limit || usage.Evicted == 0 {
		t.Errorf("memory = %+v, want a peak of at most %d and reservations taken back", usage, limit)
	}
}

// Clients that do not read their responses must not hold the memory that the responses to others need.
func TestSlowReadersGiveMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("r", maxBodyBytes)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes, body)
		sockets := NewSockets(0)
		sockets.LimitMemory(newTestMemory(maxBodyBytes))
		instance := newTestInstance(network{"app:1": answerOnce(answer)}, sockets)
		server := instance.serve()
		for i := range 2 {
			slow := server.dial()
			defer slow.Close()
			send(slow, requestWithID(fmt.Sprintf("slow%d", i)))
		}
		time.Sleep(time.Millisecond)
		from := time.Now()
		client := server.dial()
		defer client.Close()
		send(client, requestWithID("reader"))
		if status, got := client.readResponse(t); status != 200 || got != body {
			t.Errorf("status = %d with %d bytes, want 200 with %d", status, len(got), len(body))
		}
		if waited := time.Since(from); waited > 2*evictionGrace {
			t.Errorf("the response came after %v, want at most %v", waited, 2*evictionGrace)
		}
		if usage := sockets.memory.Usage(); usage.Peak > usage.Limit || usage.Evicted == 0 {
			t.Errorf("memory = %+v, want a peak within the limit, and a response taken back", usage)
		}
		server.close()
		instance.close()
	})
}

// Taking memory back from a response that has just been written does not cut off the next response on its connection.
func TestAbortAfterResponse(t *testing.T) {
	client, accepted := connectedPair(t)
	conn := NewSockets(0).track(accepted, true)
	conn.setWriting(true)
	send(conn, "long response")
	conn.setWriting(false)
	if !conn.abortWrite() {
		t.Error("abortWrite = false, want true: the memory is released without it")
	}
	if _, err := io.WriteString(conn, "next response"); err != nil {
		t.Errorf("writing the next response: %v", err)
	}
	conn.setWriting(true)
	if released := conn.abortWrite(); !released {
		t.Error("abortWrite = false during a write, want true")
	}
	if _, err := io.WriteString(conn, "interrupted"); err == nil {
		t.Error("a write succeeded after it was interrupted")
	}
	client.Close()
}

// Requests whose bodies use up the memory for requests still get their responses: they keep that memory until they have them.
func TestRequestsAndResponsesDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients = 12
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("r", maxBodyBytes))
		sockets := NewSockets(0)
		memory := NewMemory(0)
		memory.setLimit(4 * maxBodyBytes)
		sockets.LimitMemory(memory)
		instance := newTestInstance(network{"app:1": answerOnce(answer)}, sockets)
		server := instance.serve()
		statuses := make(chan int, clients)
		for i := range clients {
			head, body := largeRequest(fmt.Sprint("r", i))
			go func() {
				client := server.dial()
				defer client.Close()
				go send(client, head+body) // ends when it is read
				status, _ := client.readResponse(t)
				statuses <- status
			}()
		}
		for range clients {
			if status := <-statuses; status != 200 {
				t.Errorf("status = %d, want 200", status)
			}
		}
		if usage := memory.Usage(); usage.Peak > usage.Limit || usage.Waited == 0 || usage.Refused > 0 {
			t.Errorf("memory = %+v, want a peak within the limit, reservations that waited and none refused", usage)
		}
		server.close()
		instance.close()
	})
}

// All memory is returned once requests have ended, whatever their end was.
func TestMemoryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sockets := NewSockets(0)
		sockets.LimitMemory(newTestMemory(1 << 20))
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("c", 4096)+"\r\n", 8) + "0\r\n\r\n"
		instance := newTestInstance(network{"app:1": answerAndHold(chunked)}, sockets)
		server := instance.serve()
		head, body := largeRequest("whole")
		fields := strings.Repeat("X-Field: "+strings.Repeat("f", 100)+"\r\n", 60)
		largeHead := strings.Replace(requestWithID("head"), "X-Other: o\r\n", fields, 1)
		for _, text := range []string{head + body, largeHead, head + body[:9000], largeHead[:5000]} {
			client := server.dial()
			go send(client, text) // ends when it is read or the connection is closed
			if answer, _, err := readAnswer(client.in); err != nil {
				t.Errorf("reading the answer to %.30q: %v, %v", text, answer, err)
			}
			client.Close()
			time.Sleep(time.Second)
		}
		if usage := sockets.memory.Usage(); usage.Used != 0 || usage.Peak < maxBodyBytes {
			t.Errorf("memory = %+v, want nothing used at the end", usage)
		}
		server.close()
		instance.close()
	})
}
