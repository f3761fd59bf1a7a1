// Package simadapter runs the decisions (policy.Instance) on the simulator's wire: one JSON object a line, a batch of events for
// any number of instances in, their actions out. It turns the wire's words, numbers and microseconds into the terms of the
// decisions and back, and decides nothing.
//
// The files: simadapter.go reads lines and writes replies, batch.go finds the instances of a batch, events.go hands over each
// event, values.go reads the values in them, actions.go writes the actions.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// bufferSize (bytes) holds the batch or the reply of a usual moment in one piece.
const bufferSize = 1 << 20

// Serve answers each batch that it reads from r on w, and returns nil where r ends. An error names the line that it could not read
// or answer, and ends the service; errors.Is and errors.As find ErrNotJSON, ErrIncompleteBatch, ErrNotStarted, ErrUnknownEvent,
// *ValueError or the error of r or w in it.
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
				return fmt.Errorf("writing: %w", err)
			}
		}
		if atEnd {
			return nil
		}
	}
}

// holdsBatch tells whether a line is more than what is left after the last newline.
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
