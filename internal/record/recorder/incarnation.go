package recorder

// Reading an incarnation for export.

import (
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// incarnationReader is an incarnation that is being exported.
type incarnationReader struct {
	incarnation, dirID string
	running            bool
	reader             *spool.Reader
	rows               []record.Row // read but not stored yet; at most one batch and one chunk
	through            uint64       // ordinal up to which everything read is final
	complete           bool         // no more rows will follow
	refused            bool         // the store has it from another spool directory
	loggedDefects      int          // number of replay defects already logged
}

// read reads rows until there is a full batch or nothing left to read for now.
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

// hasPending reports whether there is anything to export.
func (i *incarnationReader) hasPending() bool { return !i.refused && (len(i.rows) > 0 || !i.running) }

// pending returns the number of rows to export. The final batch, which marks the incarnation as complete, counts as one
// row if it is empty.
func (i *incarnationReader) pending() int {
	if i.complete && len(i.rows) == 0 {
		return 1
	}
	return len(i.rows)
}

func (i *incarnationReader) storedThrough() uint64 { return record.StoredThrough(i.through, i.rows) }
