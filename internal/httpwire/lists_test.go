package httpwire

// Tests of how lists reach the core: framing, silent watches, ordering and changes of discovery's address.

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// An indented list is applied, whether it comes from the watch or from a fetched snapshot.
func TestIndentedList(t *testing.T) {
	list := "{\n \"version\": 9,\n \"full\": true,\n \"servers\": [\n  {\"id\": \"u\", \"addr\": \"u:1\", \"state\": \"Ready\",\n" +
		"   \"version_no\": 1}\n ]\n}\n"
	for _, c := range []struct {
		name  string
		start func(*Discovery, context.Context)
	}{
		{"watch", (*Discovery).Run},
		{"fetch", (*Discovery).fetchSnapshot},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeBackend(t)
			instance := newTestInstance(network{}, NewSockets(0))
			instance.discovery.dial, instance.discovery.address = dialTCP, server.address()
			go c.start(instance.discovery, t.Context()) // ends with the test
			conn := <-server.conns
			t.Cleanup(func() { conn.Close() })
			conn.mustReadRequest(t)
			send(conn, streamHead+chunk(list))
			<-instance.discovery.FirstUpdate()
			if instance.discovery.BackendAddress("u") != "u:1" {
				t.Errorf("address of u = %q, want u:1", instance.discovery.BackendAddress("u"))
			}
		})
	}
}

// A change that a silent watch misses counts as known 6 s after the silence began. It must be received before that,
// even if the first reconnect fails or leads to another silent stream.
func TestWatchSilence(t *testing.T) {
	change := listJSON(6, false, `{"id":"u","addr":"u:1","state":"Ready","version_no":1}`) + "\n"
	for _, c := range []struct {
		name   string
		second func(net.Conn)
	}{
		{"second stream sends", nil},
		{"connection accepted and closed", func(net.Conn) {}},
		{"connection accepted, no response", holdSilent},
		{"response head only", answerAndHold(streamHead)},
		{"incomplete list", answerAndHold(streamHead + chunk(change[:30]))},
		{"incomplete response head", answerAndHold(streamHead[:9])},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened, silentAt := 0, time.Now()
				instance := newTestInstance(network{"list": func(conn net.Conn) {
					opened++
					switch {
					case opened == 1:
						answerAndHold(streamHead + chunk("\n"))(conn)
					case opened == 2 && c.second != nil:
						c.second(conn)
					default:
						answerAndHold(streamHead + chunk(change))(conn)
					}
				}}, NewSockets(0))
				ctx, cancel := context.WithCancel(t.Context())
				go instance.discovery.Run(ctx)
				<-instance.discovery.FirstUpdate()
				if late := time.Since(silentAt); late >= 5800*time.Millisecond {
					t.Errorf("first list received %v after the silence began, want less than 5.8s", late)
				}
				cancel()
				instance.close()
			})
		})
	}
}

// Lists are passed on in the order in which they were accepted, even if they are applied by different goroutines.
func TestListsPassedOnInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newTestInstance(network{}, NewSockets(0))
		var got []int
		inside, resume := make(chan bool, 1), make(chan bool)
		instance.discovery.OnUpdate(func(update policy.EndpointUpdate, _ []string) {
			release := int(update.Endpoints[0].Release)
			if release == 2 {
				inside <- true
				<-resume
			}
			got = append(got, release)
		}, func() {})
		entry := `{"id":"s","addr":"app:1","state":"Ready","version_no":%d}`
		done := make(chan error, 2)
		for version := 2; version <= 3; version++ {
			list := listJSON(version, false, fmt.Sprintf(entry, version))
			go func() { done <- instance.discovery.Apply([]byte(list), FromWatch, func() {}) }()
			synctest.Wait() // the first list is being passed on, and the second one waits
		}
		<-inside
		close(resume)
		for range 2 {
			if err := <-done; err != nil {
				t.Errorf("Apply: %v", err)
			}
		}
		if fmt.Sprint(got) != "[2 3]" {
			t.Errorf("releases of the lists passed on = %v, want [2 3]", got)
		}
		instance.close()
	})
}

// movedList is one list received after changes of discovery's address, with the expected result.
type movedList struct {
	generation int
	version    int
	snapshot   bool
	id         string // of the only backend in the list
	accepted   bool
	wantErr    bool
}

// After a change of discovery's address, lists of the old address are ignored once the new one has sent a list. The
// versions of the new address may be lower, or continue after a gap.
func TestListsAfterMove(t *testing.T) {
	for _, c := range []struct {
		name    string
		lists   []movedList
		current int64
	}{
		{"old address is used until the new one sends", []movedList{
			{0, 6, false, "u", true, false},
			{1, 7, false, "v", true, false},
			{0, 8, false, "w", false, false},
		}, 7},
		{"snapshot from the old address after the new one", []movedList{
			{1, 7, false, "v", true, false},
			{0, 9, true, "w", false, false},
		}, 7},
		{"new address starts with a snapshot of a lower version", []movedList{
			{1, 2, true, "v", true, false},
			{1, 3, false, "w", true, false},
			{0, 9, false, "x", false, false},
		}, 3},
		{"new address starts with a change of a lower version", []movedList{
			{1, 2, false, "v", true, true},
			{1, 3, true, "w", true, false},
		}, 3},
		{"two moves", []movedList{{2, 3, true, "v", true, false}, {1, 9, true, "w", false, false}}, 3},
		{"older change without a move", []movedList{{0, 3, false, "v", false, false}}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{}, NewSockets(0))
				if err := instance.discovery.Apply([]byte(listJSON(5, true, entryAt("s"))), FromWatch, func() {}); err != nil {
					t.Errorf("applying the first list: %v", err)
				}
				for _, l := range c.lists {
					l.apply(t, instance.discovery)
				}
				if version, _ := instance.discovery.Version(); version != c.current {
					t.Errorf("current version = %d, want %d", version, c.current)
				}
				instance.close()
			})
		})
	}
}

// entryAt returns the entry of a running backend.
func entryAt(id string) string {
	return `{"id":"` + id + `","addr":"` + id + `:1","state":"Ready","version_no":1}`
}

func (l movedList) apply(t *testing.T, d *Discovery) {
	t.Helper()
	err := d.apply([]byte(listJSON(l.version, l.snapshot, entryAt(l.id))), FromWatch, l.generation, func() {})
	if accepted := d.BackendAddress(l.id) != ""; accepted != l.accepted || (err != nil) != l.wantErr {
		t.Errorf("version %d of generation %d: accepted %v, want %v; error %v, want an error: %v",
			l.version, l.generation, accepted, l.accepted, err, l.wantErr)
	}
	if _, _, version := d.position(); l.wantErr && version != 0 {
		t.Errorf("next watch starts after version %d, want 0", version)
	}
}
