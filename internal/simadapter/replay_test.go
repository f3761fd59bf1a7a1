package simadapter

import (
	"bufio"
	"io"
	"path/filepath"
	"testing"

	"onyxgate/internal/fake/replay"
)

// The adapter's replies to about an hour of simulated time are identical to the recordings, byte for byte. If moving
// code changes the behavior, the test reports the first effect that differs.
func TestReplay(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			recorder := replay.Open(t, filepath.Join("testdata", "replay", s.name+".txt"))
			lastEvents := ""
			newFleet(s).run(driver{
				answer: serve(t),
				effect: func(events, action string) bool {
					if events != lastEvents {
						lastEvents = events
						recorder.Event(events)
					}
					recorder.Effect(action)
					return !recorder.Differs()
				},
			})
			recorder.Close()
		})
	}
}

// serve runs Serve until the end of the test and returns a function that sends it a batch and returns the reply.
func serve(t *testing.T) (answer func(batch string) (reply string)) {
	t.Helper()
	in, batches := io.Pipe()
	replies, out := io.Pipe()
	served := make(chan error, 1)
	go func() {
		err := Serve(in, out)
		out.CloseWithError(io.EOF)
		served <- err
	}()
	t.Cleanup(func() {
		batches.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	lines := bufio.NewReader(replies)
	return func(batch string) string {
		if _, err := io.WriteString(batches, batch); err != nil {
			t.Fatalf("sending a batch: %v", err)
		}
		reply, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("reading a reply: %v", err)
		}
		return reply
	}
}
