package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["record-left"] = playRecordLeft }

// playRecordLeft: two of three instances, with the store of record, stand still for 460 to 930 ms every 2.2 to 3.6 s, for 35 s.
// Some clients leave before their time. The record may not claim an answer as given that began after the client had closed
// its connection and that nobody received.
func playRecordLeft(w *world) (broken int, err error) {
	const (
		places  = 14
		bound   = 100*time.Millisecond + 50*time.Millisecond
		length  = 35 * time.Second // of the stalls and of the leaving: stalls may last 40 s, leaving 35 s
		stopped = 2                // of the three instances
	)
	var entries []entry
	for i := range places {
		b := &backend{world: w, id: fmt.Sprintf("node-%d", i+1)}
		b.onReply = func(b *backend, a attempt) reply {
			return reply{status: 200, body: bodyFor(a.id), work: between(50*time.Millisecond, 110*time.Millisecond)}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "totoracocha", Kind: "full-node", State: "Ready", Weight: 1, Build: 41})
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 2, mode: "stable", exposure: 1}}
	own := fmt.Sprintf("[record]\nmode = \"spool\"\ndirectory = %q\n[record.store]\nkind = \"sqlite\"\npath = %q\n",
		filepath.Join(w.dir, "spool"), filepath.Join(w.dir, "record.db"))
	instances, err := world.startInstances(3, func(me int) map[string]any { return cuenca(me, 3) }, own)
	if err != nil {
		return 0, err
	}
	var background sync.WaitGroup
	for i, p := range instances {
		if i < stopped && w.trouble {
			background.Go(func() { w.stall(p, time.Now().Add(length)) })
		}
	}
	var leaving []class
	for _, c := range cuencaClasses {
		aim := 800 * time.Millisecond
		if c.name == "advance-order" {
			aim = 1000 * time.Millisecond
		}
		c.leaves, c.leaveFrom, c.leaveTo = 0.8, aim*33/100, aim*80/100
		leaving = append(leaving, c)
	}
	all := world.sendTo(instances, 150, leaving, time.Now().Add(length))
	background.Wait()
	recorded, err := w.readRecord(instances)
	if err != nil {
		return 0, err
	}
	received, missing, left := 0, 0, 0
	for _, a := range all {
		r, ok := recorded[a.id]
		if a.status != 0 {
			received++
			if !ok {
				missing++
			}
			continue
		}
		if a.left.IsZero() {
			continue
		}
		left++
		late := time.Duration((r.Answered - float64(a.left.UnixNano())/1e6) * 1e6)
		if ok && r.State == "given" && late > bound {
			broken++
			w.note("BROKEN: %s: the record says %q, %q, answered %.0f ms after its client had closed and received nothing", a.id, r.Outcome, r.State,
				float64(late)/1e6)
		}
	}
	w.note("answers by status: %v; received %d, of these not in the record %d; clients that left without an answer %d", count(all), received, missing, left)
	return broken, nil
}

// recordEntry is an entry of the record as exported.
type recordEntry struct {
	Txn      string  `json:"txn"`
	Outcome  string  `json:"outcome"`
	State    string  `json:"state"`
	Answered float64 `json:"answered_ms"`
}

// readRecord ends the instances and returns the entries of the record by request.
func (w *world) readRecord(instances []*process) (map[string]recordEntry, error) {
	settings := "ONYXGATE_SETTINGS=" + filepath.Join(w.dir, instances[0].name+".toml")
	run := func(args ...string) ([]byte, error) {
		cmd := exec.Command("bin/onyxgate", append([]string{"record"}, args...)...)
		cmd.Env = append(cmd.Environ(), settings)
		var errors bytes.Buffer
		cmd.Stderr = &errors
		out, err := cmd.Output()
		if err != nil {
			return nil, fmt.Errorf("record %v: %w: %s", args, err, errors.Bytes())
		}
		return out, nil
	}
	for _, p := range instances {
		w.mu.Lock()
		for i, other := range w.processes {
			if other == p {
				w.processes = append(w.processes[:i], w.processes[i+1:]...)
				break
			}
		}
		w.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.ended:
		case <-time.After(10 * time.Second):
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
		if _, err := run("ship", "--agent", p.name); err != nil {
			return nil, err
		}
	}
	out, err := run("export")
	if err != nil {
		return nil, err
	}
	entries := map[string]recordEntry{}
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		var e recordEntry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		entries[e.Txn] = e
	}
	return entries, lines.Err()
}
