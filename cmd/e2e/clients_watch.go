package main

// What the clients scenario observes from outside: the memory of the instance, and attempts for clients that have left.

import (
	"sync"
	"time"
)

// memorySampleInterval is the time between two samples of an instance's memory.
const memorySampleInterval = 20 * time.Millisecond

// peakAnonymousMB samples the anonymous resident memory of a process until ended is closed, and returns the largest
// value in MB (2^20 bytes). A process that has exited counts as 0.
func peakAnonymousMB(p *process, ended <-chan struct{}) (peak float64) {
	ticker := time.NewTicker(memorySampleInterval)
	defer ticker.Stop()
	for {
		peak = max(peak, memoryMB(p.command.Process.Pid, anonymousMemory))
		select {
		case <-ended:
			return peak
		case <-ticker.C:
		}
	}
}

// departures records when clients left with requests unanswered, and which attempts of these requests arrived later.
type departures struct {
	mu     sync.Mutex
	leftAt map[string]time.Time     // by request id; absent once the client has come again
	late   map[string]time.Duration // latest attempt after the client had left, by request id
	count  int                      // requests left so far
}

func newDepartures() *departures {
	return &departures{leftAt: map[string]time.Time{}, late: map[string]time.Duration{}}
}

// left records that the client of requests has closed its connection.
func (d *departures) left(ids []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.leftAt[id] = now
	}
	d.count += len(ids)
}

// back records that a request is sent again.
func (d *departures) back(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.leftAt, id)
}

// attemptArrived records that an attempt of a request has reached a backend at the given time.
func (d *departures) attemptArrived(id string, arrivedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, left := d.leftAt[id]; left {
		d.late[id] = arrivedAt.Sub(at)
	}
}

// counts returns the number of requests that clients left, of those for which an attempt arrived later than slack after that,
// and how long after that the latest attempt arrived.
func (d *departures) counts(slack time.Duration) (left, late int, latest time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, after := range d.late {
		latest = max(latest, after)
		if after > slack {
			late++
		}
	}
	return d.count, late, latest
}
