// Package simadapter connects the decisions (policy.Instance) to the simulator's line protocol. Each input line is a
// JSON object with a batch of events for any number of instances, and the reply contains their actions. The package
// translates the protocol's names, numbers and microseconds to those of the decisions and back. It makes no
// decisions.
//
// simadapter.go reads lines and writes replies, batch.go dispatches a batch to its instances, events.go delivers
// events, values.go decodes their values and actions.go encodes the actions.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// bufferSize (bytes) is large enough for a typical batch or reply.
const bufferSize = 1 << 20

// Serve reads batches from r and writes a reply to each of them to w. It returns nil at the end of r and stops at the
// first error. The error names the line that could not be read or handled, unless a reply could not be written. With
// errors.Is and errors.As it matches ErrNotJSON, ErrIncompleteBatch, ErrNotStarted, ErrUnknownEvent, *ValueError or the
// error of r or w.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, bufferSize), bufio.NewWriterSize(w, bufferSize)
	h := newHost()
	for line := 1; ; line++ {
		batch, err := in.ReadBytes('\n')
		atEnd := errors.Is(err, io.EOF)
		if err != nil && !atEnd {
			return fmt.Errorf("reading line %d: %w", line, err)
		}
		if holdsBatch(batch, atEnd) {
			reply, err := h.handleBatch(batch)
			if err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
			if err := write(out, reply); err != nil {
				return fmt.Errorf("writing reply: %w", err)
			}
		}
		if atEnd {
			return nil
		}
	}
}

// holdsBatch reports whether a line has to be handled as a batch. A line that ends in a newline always is one; the
// remainder after the last newline is one only if it is longer than a byte.
func holdsBatch(line []byte, atEnd bool) bool {
	if atEnd {
		return len(line) > 1
	}
	return len(line) > 0
}

func write(out *bufio.Writer, reply []byte) error {
	if _, err := out.Write(reply); err != nil {
		return err
	}
	return out.Flush()
}
