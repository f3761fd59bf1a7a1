package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"
)

func init() { cases["big-bodies"] = playBigBodies }

// playBigBodies: bad clients, by the hundreds at once, send a request with a body of 64 KiB, stop in the middle of it and
// stay, and do the same again as soon as they are turned away. The instance must stay within its limit of memory, over
// which it is killed.
func playBigBodies(w *world) (broken int, err error) {
	const (
		places   = 9
		memoryMB = 64
		sockets  = 1024
		bad      = 900
		length   = 30 * time.Second
	)
	var entries []entry
	for i := range places {
		b := &backend{world: w, id: fmt.Sprintf("box-%d", i+1)}
		b.onReply = func(b *backend, a attempt) reply {
			return reply{status: 200, body: bodyFor(a.id), work: between(25*time.Millisecond, 60*time.Millisecond)}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "lhr-dc1", Kind: "three-core", State: "Ready", Weight: 1, Build: 41})
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 4, mode: "stable", exposure: 1}}
	world.sockets, world.memoryMB = sockets, memoryMB
	instances, err := world.startInstances(1, func(me int) map[string]any { return lahore(me, 3) }, "")
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(length)
	var background sync.WaitGroup
	turnedAway := &tally{}
	if w.trouble {
		for i := range bad {
			background.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				for n := 0; time.Now().Before(end); n++ {
					stopInTheMiddle(instances[0].listen, fmt.Sprintf("bad-%d-%d", i, n), turnedAway)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	peak := 0
	background.Go(func() {
		for time.Now().Before(end) {
			anon, all := memoryOf(instances[0].cmd.Process.Pid)
			if anon > peak {
				peak = anon
				w.note("memory: %.1f MB of the process's own, %.1f MB in all", float64(anon)/1024, float64(all)/1024)
			}
			if anon > memoryMB*1024 {
				broken++
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	all := world.sendTo(instances, 40, lahoreClasses, end)
	background.Wait()
	w.note("answers by status: %v; bad clients: %v; peak %.1f MB, limit %d MB", count(all), turnedAway.all(), float64(peak)/1024, memoryMB)
	return broken, nil
}

func stopInTheMiddle(address, id string, ends *tally) {
	c, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		ends.add("not connected")
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "%s /pdf-export/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline: 5000m\r\nIdempotency-Key: %s\r\nContent-Length: 65536\r\n\r\n",
		http.MethodPost, id, id, id)
	_, _ = c.Write(make([]byte, 60<<10))
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := io.ReadAll(c)
	switch {
	case len(answer) > 12:
		ends.add("answered " + string(answer[9:12]))
	case err != nil:
		ends.add("no answer")
	default:
		ends.add("closed")
	}
}

// memoryOf returns the resident memory of a process in KiB: its own pages, and all.
func memoryOf(pid int) (anon, all int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int {
		found := regexp.MustCompile(name + `:\s+(\d+)`).FindSubmatch(text)
		if found == nil {
			return 0
		}
		n, _ := strconv.Atoi(string(found[1]))
		return n
	}
	return field("RssAnon"), field("VmRSS")
}
