package spool_test

import (
	"fmt"
	"testing"

	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// smallLedger returns options with which a new segment starts every few entries.
func smallLedger(instance, incarnation string, spoolBytes int64) record.LedgerOptions {
	return record.LedgerOptions{
		Instance: instance, Incarnation: incarnation, Sync: true, MaxWriteBytes: 4096, MaxSegmentBytes: 2048,
		MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 18, CommitDelay: 100, StallAfter: 50, SpoolBytes: spoolBytes,
	}
}

// incarnation is an incarnation that a test writes.
type incarnation struct {
	spool  *spool.Spool
	writer *spool.Writer
	ledger *record.Ledger
	now    float64 // ms
}

// newIncarnation begins an incarnation of instance n1.
func newIncarnation(t *testing.T, files spool.FS) *incarnation {
	t.Helper()
	opened, err := spool.Open(files, "root", "n1")
	if err != nil {
		t.Fatal(err)
	}
	writer, err := opened.NewIncarnation()
	if err != nil {
		t.Fatal(err)
	}
	ledger := record.NewLedger(smallLedger("n1", writer.Incarnation, opened.Bytes()))
	return &incarnation{spool: opened, writer: writer, ledger: ledger}
}

// write performs all I/O that is due now.
func (i *incarnation) write() {
	for next := i.ledger.NextIO(i.now); !next.Idle(); next = i.ledger.NextIO(i.now) {
		wrote, err := i.writer.Execute(next)
		i.ledger.Completed(i.now, wrote, err == nil)
	}
}

// writeIncarnation writes n entries named x0, x1 and so on, completes all but the last, and leaves the spool as a
// killed process would. It returns which entries were durable.
func writeIncarnation(t *testing.T, files spool.FS, n int) (name string, durable map[string]bool) {
	t.Helper()
	i := newIncarnation(t, files)
	ordinals := map[string]uint64{}
	for k := range n {
		request := fmt.Sprint("x", k)
		ordinals[request], _ = i.ledger.AddEntry(i.now, record.Entry{RequestID: request, Outcome: record.OutcomeServed})
		for range 30 { // long enough for any backoff to pass
			i.write()
			i.now += 100
		}
		if k < n-1 {
			i.ledger.AddCompletion(i.now, ordinals[request], true)
		}
	}
	for range 5 {
		i.write()
		i.now += 300
	}
	durable = map[string]bool{}
	for request, ordinal := range ordinals {
		if i.ledger.Confirmed() >= ordinal {
			durable[request] = true
		}
	}
	return i.writer.Incarnation, durable
}

// readNext calls Next and fails the test on an error.
func readNext(t *testing.T, reader *spool.Reader) (rows []record.Row, more bool) {
	t.Helper()
	rows, more, err := reader.Next()
	if err != nil {
		t.Fatal(err)
	}
	return rows, more
}

// readAll reads an incarnation that is no longer written, and returns the final state of each request.
func readAll(t *testing.T, files spool.FS, name string) (*spool.Reader, map[string]record.State) {
	t.Helper()
	reader := spool.OpenReadOnly(files, "root", "n1").NewReader(name, true)
	states := map[string]record.State{}
	for more := true; more; {
		var rows []record.Row
		rows, more = readNext(t, reader)
		for _, row := range rows {
			if _, twice := states[row.Entry.RequestID]; twice && row.Gap == nil {
				t.Errorf("request %s was read more than once", row.Entry.RequestID)
			}
			states[row.Entry.RequestID] = row.State
		}
	}
	return reader, states
}

func crash(t *testing.T, files *memfs.FS, keep int) {
	t.Helper()
	if err := files.Crash(keep); err != nil {
		t.Fatal(err)
	}
}

func edit(t *testing.T, files *memfs.FS, name string, change func([]byte) []byte) {
	t.Helper()
	if err := files.Edit(name, change); err != nil {
		t.Fatal(err)
	}
}

// lastSegment returns the last segment file of an incarnation.
func lastSegment(t *testing.T, files spool.FS, name string) string {
	t.Helper()
	numbers := spool.SegmentNumbers(files, spool.Join("root", "n1", name))
	if len(numbers) == 0 {
		t.Fatalf("incarnation %s has no segments", name)
	}
	return spool.Join("root", "n1", name, spool.SegmentName(numbers[len(numbers)-1]))
}

func writeFile(t *testing.T, files spool.FS, name string, content []byte) {
	t.Helper()
	file, err := files.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}
