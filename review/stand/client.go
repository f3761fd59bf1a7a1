package main

// A client: one connection, one request at a time.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// class is a product as clients ask for it.
type class struct {
	name   string
	effect string // as in the settings: repeatable, by_key or once
}

// request is one try of a client and what became of it.
type request struct {
	id       string
	class    class
	deadline time.Duration
	sent     time.Time // when its last byte was written; zero: it was not sent
	answered time.Time // when the last byte of the answer was read; zero: never
	left     time.Time // when it closed its connection with no answer; zero: it did not
	status   int
	body     string // of the answer
	err      error
}

// text returns the request as written.
func (r *request) text() string {
	head := fmt.Sprintf("Host: api.internal\r\nReq-Id: %s\r\nReq-Deadline: %dm\r\n", r.id, r.deadline.Milliseconds())
	path := "/" + r.class.name + "/k" + r.id
	if r.class.effect == "repeatable" {
		return "GET " + path + " HTTP/1.1\r\n" + head + "\r\n"
	}
	if r.class.effect == "by_key" {
		head += "Idempotency-Key: mark-" + r.id + "\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\n" + head + "Content-Length: 5\r\n\r\norder"
}

// exchange sends the request on a connection and waits for the whole answer until the given time after the sending.
func (r *request) exchange(conn net.Conn, reader *bufio.Reader, patience time.Duration) {
	if _, r.err = io.WriteString(conn, r.text()); r.err != nil {
		return
	}
	r.sent = time.Now()
	_ = conn.SetReadDeadline(r.sent.Add(patience))
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.err = err
		return
	}
	r.body = string(body)
	r.answered, r.status = time.Now(), answer.StatusCode
	_ = conn.SetReadDeadline(time.Time{})
	if answer.Close {
		r.err = io.EOF
	}
}
