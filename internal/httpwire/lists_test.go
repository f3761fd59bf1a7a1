package httpwire

// What crosses on the way of a list: frames, silences, order, moves.

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// An indented list reaches the instance by the watch, also where a snapshot is fetched.
func TestIndentedList(t *testing.T) {
	list := "{\n \"version\": 9,\n \"full\": true,\n \"servers\": [\n  {\"id\": \"u\", \"addr\": \"u:1\", \"state\": \"Ready\",\n" +
		"   \"version_no\": 1}\n ]\n}\n"
	for _, c := range []struct {
		name string
		ask  func(*Discovery, context.Context)
	}{
		{"watch", (*Discovery).Run},
		{"fetch", (*Discovery).fetchSnapshot},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeBackend(t)
			a := newTestInstance(network{}, NewSockets(0))
			a.discovery.dial, a.discovery.address = dialTCP, server.address()
			go c.ask(a.discovery, t.Context()) // ends with the test
			conn := <-server.conns
			t.Cleanup(func() { conn.Close() })
			conn.mustReadRequest(t)
			send(conn, streamHead+chunk(list))
			<-a.discovery.FirstUpdate()
			if a.discovery.BackendAddress("u") != "u:1" {
				t.Error("not accepted")
			}
		})
	}
}

// What a silent watch misses counts as known 6 s after the silence began. It is made up before that, also where the first
// reconnect fails, or where it comes up and is as silent.
func TestWatchSilence(t *testing.T) {
	change := listJSON(6, false, `{"id":"u","addr":"u:1","state":"Ready","version_no":1}`) + "\n"
	for _, c := range []struct {
		name   string
		second func(net.Conn)
	}{
		{"connected at once", nil},
		{"refused", func(net.Conn) {}},
		{"takes the call and says nothing", holdSilent},
		{"a head and nothing more", answerAndHold(streamHead)},
		{"half a list", answerAndHold(streamHead + chunk(change[:30]))},
		{"a part of a head", answerAndHold(streamHead[:9])},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened, silentAt := 0, time.Now()
				a := newTestInstance(network{"list": func(conn net.Conn) {
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
				go a.discovery.Run(ctx)
				<-a.discovery.FirstUpdate()
				if late := time.Since(silentAt); late >= 5800*time.Millisecond {
					t.Errorf("made up after %v", late)
				}
				cancel()
				a.close()
			})
		})
	}
}

// Lists reach the decisions in the order in which they were taken, whoever took them.
func TestListsPassedOnInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{}, NewSockets(0))
		var got []int
		inside, resume := make(chan bool, 1), make(chan bool)
		a.discovery.OnUpdate(func(update policy.EndpointUpdate, _ []string) {
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
			go func() { done <- a.discovery.Apply([]byte(list), FromWatch, func() {}) }()
			synctest.Wait() // the first is on its way to the decisions, and the second has come as far as it can
		}
		<-inside
		close(resume)
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if fmt.Sprint(got) != "[2 3]" {
			t.Errorf("the decisions got %v", got)
		}
		a.close()
	})
}

// movedList is one list that comes after moves of discovery, and what becomes of it.
type movedList struct {
	generation int
	version    int
	snapshot   bool
	id         string // of the one backend in it
	accepted   bool
	wantErr    bool
}

// Discovery moves: what the address that was left still sends, a count that starts lower, and one that skips.
func TestListsAfterMove(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists []movedList
		held  int64
	}{
		{"the old one goes on until the new one sends", []movedList{
			{0, 6, false, "u", true, false},
			{1, 7, false, "v", true, false},
			{0, 8, false, "w", false, false},
		}, 7},
		{"a whole list of the old one after the new one", []movedList{
			{1, 7, false, "v", true, false},
			{0, 9, true, "w", false, false},
		}, 7},
		{"the new one starts lower, whole", []movedList{
			{1, 2, true, "v", true, false},
			{1, 3, false, "w", true, false},
			{0, 9, false, "x", false, false},
		}, 3},
		{"the new one starts lower with a change: all is asked for", []movedList{
			{1, 2, false, "v", true, true},
			{1, 3, true, "w", true, false},
		}, 3},
		{"twice moved", []movedList{{2, 3, true, "v", true, false}, {1, 9, true, "w", false, false}}, 3},
		{"no move, an older change", []movedList{{0, 3, false, "v", false, false}}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestInstance(network{}, NewSockets(0))
				if err := a.discovery.Apply([]byte(listJSON(5, true, entryAt("s"))), FromWatch, func() {}); err != nil {
					t.Error(err)
				}
				for _, l := range c.lists {
					l.apply(t, a.discovery)
				}
				if version, _ := a.discovery.Version(); version != c.held {
					t.Errorf("version %d held", version)
				}
				a.close()
			})
		})
	}
}

// entryAt is the entry of a running backend.
func entryAt(id string) string {
	return `{"id":"` + id + `","addr":"` + id + `:1","state":"Ready","version_no":1}`
}

func (l movedList) apply(t *testing.T, d *Discovery) {
	t.Helper()
	err := d.apply([]byte(listJSON(l.version, l.snapshot, entryAt(l.id))), FromWatch, l.generation, func() {})
	if accepted := d.BackendAddress(l.id) != ""; accepted != l.accepted || (err != nil) != l.wantErr {
		t.Errorf("version %d of generation %d accepted %v, %v", l.version, l.generation, accepted, err)
	}
	if _, _, version := d.position(); l.wantErr && version != 0 {
		t.Errorf("the next watch asks from %d on", version)
	}
}
