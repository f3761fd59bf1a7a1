package main

// Trial: clients connect by the hundreds and say nothing, while usual clients send the head of a request in two pieces.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	halvesSockets = 256
	halvesSilent  = 300                    // clients that connect and say nothing, and connect again once they are closed
	silentPause   = 50 * time.Millisecond  // before a silent client connects again
	piecesGap     = 100 * time.Millisecond // between the two pieces of a head
	halvesSent    = 400                    // requests
	halvesEvery   = 20 * time.Millisecond  // between two requests
)

func runHalves(t *trial) int {
	w, err := t.newWorld(15, 30*time.Millisecond)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	a, err := t.newAgent("n1")
	if err != nil {
		return t.cannotRun("%v", err)
	}
	config := w.config(a, 1, cuencaSettings())
	config["limits"] = object{"cores": 1.0, "memory_mb": 128, "sockets": halvesSockets}
	if err := a.start(config); err != nil {
		return t.cannotRun("%v", err)
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		return t.cannotRun("%v", err)
	}
	var silent, usual sync.WaitGroup
	var stop atomic.Bool
	if t.trouble {
		for range halvesSilent {
			silent.Go(func() { connectSilently(a.address, &stop) })
		}
	}
	time.Sleep(time.Second)
	var answered, unanswered atomic.Int64
	for i := range halvesSent {
		time.Sleep(halvesEvery)
		usual.Go(func() {
			r := &request{id: fmt.Sprintf("h%06d", i), class: factoring[i%len(factoring)].class, deadline: 2 * time.Second}
			switch err := sendInPieces(r, a.address); {
			case err == nil:
				answered.Add(1)
			default:
				unanswered.Add(1)
				t.note("%s %s: the last byte was written, the connection ended without an answer: %v", r.id, r.class.name, err)
			}
		})
	}
	usual.Wait()
	stop.Store(true)
	a.kill()
	silent.Wait()
	t.say("requests %d, answered %d, connection closed without an answer %d", halvesSent, answered.Load(), unanswered.Load())
	if unanswered.Load() > 0 {
		return broken
	}
	return held
}

// connectSilently connects, says nothing, and connects again once it is closed.
func connectSilently(address string, stop *atomic.Bool) {
	for !stop.Load() {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
		time.Sleep(silentPause)
	}
}

// sendInPieces sends a request on a new connection, its head in two pieces, and waits for the answer.
func sendInPieces(r *request, address string) error {
	conn, err := dialKept(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	text := r.text()
	if _, err := io.WriteString(conn, text[:40]); err != nil {
		return err
	}
	time.Sleep(piecesGap)
	if _, err := io.WriteString(conn, text[40:]); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	return err
}
