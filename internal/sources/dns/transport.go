package dns

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

const (
	maxMessageBytes   = 64 << 10
	maxStrayDatagrams = 64 // datagrams read per query before it fails because none of them answers it
	frameHeaderBytes  = 2  // length prefix of a message over TCP
)

// query sends one question over UDP, and again over TCP if the answer is truncated.
func (r *Resolver) query(ctx context.Context, server, name string, kind dnsmessage.Type) (response, error) {
	question, packed, err := packQuestion(uint16(r.random.Uint32()), r.randomCase(fqdn(name)), kind)
	if err != nil {
		return response{}, err
	}
	answer, err := r.roundTrip(ctx, "udp", server, question, packed)
	if err == nil && answer.Truncated {
		r.trace("%s %s: truncated, retrying over TCP", name, kind)
		answer, err = r.roundTrip(ctx, "tcp", server, question, packed)
		if err == nil && answer.Truncated {
			err = fmt.Errorf("%w: %s %s: truncated over TCP", ErrUnusable, name, kind)
		}
	}
	failed := answer.RCode != dnsmessage.RCodeSuccess && answer.RCode != dnsmessage.RCodeNameError
	if err == nil && failed {
		err = fmt.Errorf("%w: %s %s: %s", ErrServerError, name, kind, answer.RCode)
	}
	return answer, err
}

// randomCase randomizes the letter case of a name, which an answer has to repeat. An off-path attacker, who does not
// see the query, would have to guess it.
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

// roundTrip sends a packed question and reads messages until its answer arrives.
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
	// SetDeadline fails only on a closed connection, where no read is in progress.
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
			return answer, fmt.Errorf("%w: %s over TCP sent a message that does not answer %s %s", ErrUnusable, server, question.Name, question.Type)
		}
		// The datagram is late, forged or malformed; the real answer may still arrive.
		r.trace("ignored a datagram that does not answer the question")
	}
	return response{}, fmt.Errorf("%w: none of %d datagrams from %s answers %s %s", ErrUnusable, maxStrayDatagrams, server, question.Name, question.Type)
}

// frame adds the length prefix to a message sent over TCP.
func frame(network string, packed []byte) []byte {
	if network != "tcp" {
		return packed
	}
	return append([]byte{byte(len(packed) >> 8), byte(len(packed))}, packed...)
}

// readMessage reads one message: a datagram over UDP, or a length-prefixed message over TCP.
func readMessage(network string, conn net.Conn, b []byte) (n int, err error) {
	if network == "tcp" {
		return readFrame(conn, b)
	}
	return conn.Read(b)
}

// readFrame reads a length prefix and the message that follows it, and places the message at the start of b.
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
