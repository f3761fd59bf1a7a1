package dns

// This file owns what goes over the network: one question and its answer, over UDP or TCP.

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

const (
	maxMessageBytes   = 64 << 10
	maxStrayDatagrams = 64 // datagrams that are no answer of ours, before one is
	frameHeaderBytes  = 2  // the length before a message over TCP
)

// query sends one question, over TCP too where the answer does not fit into a datagram.
func (r *Resolver) query(ctx context.Context, server, name string, kind dnsmessage.Type) (response, error) {
	question, packed, err := packQuestion(uint16(r.random.Uint32()), r.randomCase(fqdn(name)), kind)
	if err != nil {
		return response{}, err
	}
	answer, err := r.roundTrip(ctx, "udp", server, question, packed)
	if err == nil && answer.Truncated {
		r.trace("%s %s: truncated, asked again over TCP", name, kind)
		answer, err = r.roundTrip(ctx, "tcp", server, question, packed)
		if err == nil && answer.Truncated {
			err = fmt.Errorf("%w: truncated over TCP", ErrUnusable)
		}
	}
	refused := answer.RCode != dnsmessage.RCodeSuccess && answer.RCode != dnsmessage.RCodeNameError
	if err == nil && refused {
		err = fmt.Errorf("%w: %s", ErrRefused, answer.RCode)
	}
	return answer, err
}

// randomCase writes a name's letters in random case: a forger who has not read the question does not know it.
func (r *Resolver) randomCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if isLetter && r.random.Uint32()&1 == 1 {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

// roundTrip sends a packed question and reads until its answer comes.
func (r *Resolver) roundTrip(ctx context.Context, network, server string, question dnsmessage.Question, packed []byte) (response, error) {
	sentAt, timeout := time.Now(), r.timeout
	if network == "tcp" {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := r.dial(ctx, network, server)
	if err != nil {
		return response{}, err
	}
	defer conn.Close()
	// It fails only on a connection that is closed already, of which no read is left.
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	r.QuestionsSent++
	if _, err := conn.Write(frame(network, packed)); err != nil {
		return response{}, err
	}
	traceResult := func(outcome string) {
		r.trace("%s %s %s at %s: %s after %v", network, question.Name, question.Type, server, outcome,
			time.Since(sentAt).Round(time.Microsecond))
	}
	id := uint16(packed[0])<<8 | uint16(packed[1])
	buffer := make([]byte, maxMessageBytes)
	for range maxStrayDatagrams {
		n, err := readMessage(network, conn, buffer)
		if err != nil {
			traceResult(err.Error())
			return response{}, err
		}
		answer, err := parseResponse(buffer[:n])
		if err == nil && answer.answersQuestion(id, question) {
			traceResult(fmt.Sprintf("%s, %d answers", answer.RCode, len(answer.answers)))
			return answer, nil
		}
		if network == "tcp" {
			return answer, fmt.Errorf("%w: it answers another question, or none", ErrUnusable)
		}
		r.trace("a datagram that does not answer the question is passed over") // late, forged or broken: the true one may still come
	}
	return response{}, fmt.Errorf("%w: %d datagrams that do not answer the question", ErrUnusable, maxStrayDatagrams)
}

// frame puts the length before a message that goes over TCP.
func frame(network string, packed []byte) []byte {
	if network != "tcp" {
		return packed
	}
	return append([]byte{byte(len(packed) >> 8), byte(len(packed))}, packed...)
}

// readMessage reads one message: a datagram, or over TCP what follows a length.
func readMessage(network string, conn net.Conn, b []byte) (n int, err error) {
	if network == "tcp" {
		return readFrame(conn, b)
	}
	return conn.Read(b)
}

// readFrame reads a length and the message after it into the start of b.
func readFrame(conn net.Conn, b []byte) (n int, err error) {
	for want := frameHeaderBytes; n < want; {
		k, err := conn.Read(b[n:want])
		if n += k; err != nil {
			return 0, err
		}
		if n == frameHeaderBytes && want == frameHeaderBytes {
			want += int(b[0])<<8 + int(b[1])
			if want > len(b) {
				return 0, ErrUnusable
			}
		}
	}
	return copy(b, b[frameHeaderBytes:n]), nil
}
