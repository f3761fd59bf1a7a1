package httpwire

// What crosses on the way of a list: frames, silences, order, moves.

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// Lists come in one line or indented, on streams that cut them anywhere; empty lines between them are signs of life, and a
// list that stops half way is none.
func TestFramed(t *testing.T) {
	line := `{"a":"}\"{","b":[1,{"c":2}]}`
	for _, c := range []struct{ text, want string }{
		{line + "\n\n" + line + "\n", line + "|||" + line + "||"},
		{"\n\r\n{\n  \"a\": [\n\n    1\n  ]\n}\n\n", "||{\n  \"a\": [\n\n    1\n  ]\n}|||"},
		{"  " + line + line, line + "|" + line + "|"},
		{line + "\n{\"a\":\n", line + "||unexpected EOF"},
		{"no list\n", `something other than a list: "no list\n"`},
		{"[1]\n", `something other than a list: "[1]\n"`},
		{"\n" + line[:len(line)-1], "|unexpected EOF"},
	} {
		for _, step := range []int{1, 3, 1000} {
			lists, got := newListScanner(&chopped{c.text, step}), ""
			for lists.Scan() {
				got += lists.Text() + "|"
			}
			if err := lists.Err(); err != nil {
				got += err.Error()
			}
			if want := c.want; got != want && !(step < 1000 && strings.HasPrefix(want, "something") && strings.HasPrefix(got, want[:27])) {
				t.Errorf("%q by %d: %q, want %q", c.text, step, got, want)
			}
		}
	}
}

type chopped struct {
	text string
	step int
}

func (c *chopped) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	n := copy(b, c.text[:min(c.step, len(c.text))])
	c.text = c.text[n:]
	return n, nil
}

// An indented list reaches the agent by the watch, also where the whole list is fetched.
func TestIndented(t *testing.T) {
	list := "{\n \"version\": 9,\n \"full\": true,\n \"servers\": [\n  {\"id\": \"u\", \"addr\": \"u:1\", \"state\": \"Ready\",\n" +
		"   \"version_no\": 1}\n ]\n}\n"
	for _, whole := range []bool{false, true} {
		d := newFakeBackend(t)
		a := newTestInstance(network{}, NewSockets(0))
		a.discovery.dial, a.discovery.address = dialTCP, d.address()
		ctx, cancel := context.WithCancel(context.Background())
		if whole {
			go a.discovery.fetchSnapshot(ctx)
		} else {
			go a.discovery.Run(ctx)
		}
		p := <-d.conns
		p.readRequest()
		fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
		<-a.discovery.FirstUpdate()
		if a.discovery.Address("u") != "u:1" {
			t.Error("not taken")
		}
		cancel()
		p.Close()
	}
}

// What a silent watch misses counts as told 6 s after the silence began. It is made up before that, also where the first
// reopening fails, or where it comes up and is as silent.
func TestSilence(t *testing.T) {
	change := listJSON(6, false, `{"id":"u","addr":"u:1","state":"Ready","version_no":1}`) + "\n"
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, c := range []struct {
		name   string
		second func(net.Conn)
	}{
		{"stands at once", nil},
		{"refused", func(c net.Conn) {}},
		{"takes the call and says nothing", func(c net.Conn) { io.Copy(io.Discard, c) }},
		{"a head and nothing more", func(c net.Conn) { answerAndHold(head)(c) }},
		{"half a list", func(c net.Conn) { answerAndHold(head + chunk(change[:30]))(c) }},
		{"a part of a head", func(c net.Conn) { answerAndHold(head[:9])(c) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened, silentAt := 0, time.Now()
				n := network{"list": func(p net.Conn) {
					opened++
					switch {
					case opened == 1:
						answerAndHold(head + chunk("\n"))(p)
					case opened == 2 && c.second != nil:
						c.second(p)
					default:
						answerAndHold(head + chunk(change))(p)
					}
				}}
				a := newTestInstance(n, NewSockets(0))
				ctx, cancel := context.WithCancel(context.Background())
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

// Lists reach the module in the order in which they were taken, whoever took them.
func TestListOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{}, NewSockets(0))
		var got []int
		inside, on := make(chan bool, 1), make(chan bool)
		a.discovery.OnUpdate(func(update policy.EndpointUpdate, _ []string) {
			entries := update.Endpoints
			if entries[0].Release == 2 {
				inside <- true
				<-on
			}
			got = append(got, int(entries[0].Release))
		}, func() {})
		entry := `{"id":"s","addr":"app:1","state":"Ready","version_no":%d}`
		done := make(chan bool, 2)
		for version := 2; version <= 3; version++ {
			go func() {
				a.discovery.Apply([]byte(listJSON(version, false, fmt.Sprintf(entry, version))), FromWatch, func() {})
				done <- true
			}()
			synctest.Wait() // the first is on its way to the module, and the second has come as far as it can
		}
		<-inside
		close(on)
		<-done
		<-done
		if fmt.Sprint(got) != "[2 3]" {
			t.Errorf("the module got %v", got)
		}
		a.close()
	})
}

// Discovery moves: what the address that was left still tells, a count that starts lower, and one that skips.
func TestMovedLists(t *testing.T) {
	entry := func(id string) string {
		return `{"id":"` + id + `","addr":"` + id + `:1","state":"Ready","version_no":1}`
	}
	type one struct {
		moves   int
		version int
		whole   bool
		id      string
		taken   bool
		failed  bool
	}
	for _, c := range []struct {
		name  string
		lists []one
		held  int64
	}{
		{"the old one goes on until the new one tells", []one{
			{0, 6, false, "u", true, false},
			{1, 7, false, "v", true, false},
			{0, 8, false, "w", false, false},
		}, 7},
		{"a whole list of the old one after the new one", []one{{1, 7, false, "v", true, false}, {0, 9, true, "w", false, false}}, 7},
		{"the new one starts lower, whole", []one{
			{1, 2, true, "v", true, false},
			{1, 3, false, "w", true, false},
			{0, 9, false, "x", false, false},
		}, 3},
		{"the new one starts lower with a change: all is asked for", []one{
			{1, 2, false, "v", true, true},
			{1, 3, true, "w", true, false},
		}, 3},
		{"twice moved", []one{{2, 3, true, "v", true, false}, {1, 9, true, "w", false, false}}, 3},
		{"no move, an older change", []one{{0, 3, false, "v", false, false}}, 5},
	} {
		synctest.Test(t, func(t *testing.T) {
			a := newTestInstance(network{}, NewSockets(0))
			a.discovery.Apply([]byte(listJSON(5, true, entry("s"))), FromWatch, func() {})
			for _, l := range c.lists {
				err := a.discovery.apply([]byte(listJSON(l.version, l.whole, entry(l.id))), FromWatch, l.moves, func() {})
				if taken := a.discovery.Address(l.id) != ""; taken != l.taken || (err != nil) != l.failed {
					t.Errorf("%s: version %d of move %d taken %v, %v", c.name, l.version, l.moves, taken, err)
				}
				if _, _, version := a.discovery.position(); l.failed && version != 0 {
					t.Errorf("%s: the next watch asks from %d on", c.name, version)
				}
			}
			if version, _ := a.discovery.Version(); version != c.held {
				t.Errorf("%s: version %d held", c.name, version)
			}
			a.close()
		})
	}
}
