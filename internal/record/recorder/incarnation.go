package recorder

// This file owns the reading of one incarnation on its way to the store.

import (
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// incarnationReader is one incarnation on its way to the store.
type incarnationReader struct {
	incarnation, dirID string
	running            bool
	reader             *spool.Reader
	rows               []record.Row // read and not stored, at most a batch and a chunk
	through            uint64       // final through, of what was read
	complete           bool         // nothing more will come
	refused            bool         // the store has it from another place
	loggedDefects      int          // how many of the reading's were logged
}

// read fills rows up to a batch.
func (i *incarnationReader) read(batch int) error {
	for len(i.rows) < batch && !i.complete {
		rows, more, err := i.reader.Next()
		if err != nil {
			return err
		}
		i.rows = append(i.rows, rows...)
		i.through = i.reader.Replay.FinalThrough()
		if !more {
			i.complete = !i.running
			return nil
		}
	}
	return nil
}

// waits reports whether the store lacks something.
func (i *incarnationReader) hasPending() bool { return !i.refused && (len(i.rows) > 0 || !i.running) }

// waiting is how many rows are ready. That an incarnation is complete goes to the store as a row would.
func (i *incarnationReader) pending() int {
	if i.complete && len(i.rows) == 0 {
		return 1
	}
	return len(i.rows)
}

func (i *incarnationReader) storedThrough() uint64 { return record.StoredThrough(i.through, i.rows) }
