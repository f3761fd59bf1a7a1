package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A watch that breaks or falls silent is opened again after the version held, and notices likewise.
func TestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []string
		var at []time.Time
		stream := func(c net.Conn, text string) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			asked, at = append(asked, r.RequestURI), append(at, time.Now())
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		}
		n := network{"list": func(c net.Conn) {
			switch len(asked) {
			case 0: // tells, then is silent
				stream(c, listJSON(5, false, `{"id":"u","addr":"b:1","state":"Ready","version_no":1}`)+"\n")
				io.Copy(io.Discard, c)
			case 1: // lives on by empty lines, then breaks
				stream(c, "\n")
				for range 5 {
					time.Sleep(2 * time.Second)
					io.WriteString(c, "1\r\n\n\r\n")
				}
			default:
				stream(c, "no list\n")
			}
		}}
		a := newTestInstance(n, NewSockets(0))
		ctx, cancel := context.WithCancel(context.Background())
		from := time.Now()
		go a.discovery.Run(ctx)
		time.Sleep(17 * time.Second)
		cancel()
		if len(asked) < 3 || asked[0] != "/discovery/hosts?watch=1&after=1" || asked[1] != "/discovery/hosts?watch=1&after=5" ||
			a.discovery.Address("u") != "b:1" {
			t.Fatalf("asked %q", asked)
		}
		if silent := at[1].Sub(from); silent < watchSilence || silent > watchSilence+time.Second {
			t.Errorf("opened again after %v", silent)
		}
		if lived := at[2].Sub(at[1]); lived < 10*time.Second || lived > 11*time.Second {
			t.Errorf("a watch that lives was left after %v", lived)
		}
		asked, at = nil, nil
		asked, at = nil, nil
		news := "event: stage\ndata: release=42&tranche=1&mode=canary&exposure=0.28&old_ms=310\n\n"
		n["control"] = func(c net.Conn) {
			stream(c, ":\nevent: other\ndata: y\n\n"+news)
			io.Copy(io.Discard, c)
		}
		p := a.newPlatform(n)
		ctx, cancel = context.WithCancel(context.Background())
		go p.Listen(ctx)
		time.Sleep(6 * time.Second)
		cancel()
		if len(asked) != 2 || asked[0] != "/notices" || at[1].Sub(at[0]) < noticeSilence {
			t.Errorf("asked %q at %v", asked, at)
		}
		a.close()
	})
}

// What can't be read ends the stream at once, and it is opened again after a pause.
func TestNoise(t *testing.T) {
	for _, text := range []string{"event: stage\ndata: release=x\n\n", "event: stage\ndata: release=42&tranche=1&mode=cxnary&" +
		"exposure=0.28&old_ms=310\n\n", "\x00\x01\x02\n", "event: stage\n\n", "no colon\n"} {
		synctest.Test(t, func(t *testing.T) {
			var opened atomic.Int64
			n := network{"control": func(c net.Conn) {
				http.ReadRequest(bufio.NewReader(c))
				opened.Add(1)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
				io.Copy(io.Discard, c)
			}}
			a := newTestInstance(network{}, NewSockets(0))
			p := a.newPlatform(n)
			ctx, cancel := context.WithCancel(context.Background())
			go p.Listen(ctx)
			time.Sleep(2 * time.Second)
			if k := opened.Load(); k < 3 || k > 9 {
				t.Errorf("%q: opened %d times in 2 s", text, k)
			}
			cancel()
			a.close()
		})
	}
}

// A move opens the new stream beside the old one, which stays until the new one tells something, however long that
// takes and however many moves follow.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		standing, silent := map[string]int{}, true
		n := network{}
		for _, name := range []string{"list", "b", "c", "control", "e"} {
			n[name] = func(c net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				count := func(by int) {
					mu.Lock()
					defer mu.Unlock()
					standing[name] += by
				}
				count(1)
				defer count(-1)
				if name != "b" || !silent {
					text := "\n"
					if r.RequestURI == "/notices" {
						text = ":\n\n"
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
				}
				io.Copy(io.Discard, c)
			}
		}
		a := newTestInstance(n, NewSockets(0))
		p := a.newPlatform(n)
		ctx, cancel := context.WithCancel(context.Background())
		go a.discovery.Run(ctx)
		go p.Listen(ctx)
		for _, c := range []struct {
			address string
			after   time.Duration
			want    string
		}{
			{"", controlConnectTimeout / 2, "map[b:0 c:0 control:1 e:0 list:1]"},
			{"b", controlConnectTimeout / 2, "map[b:1 c:0 control:1 e:0 list:1]"}, // accepts and tells nothing
			{"nowhere", controlConnectTimeout / 2, "map[b:0 c:0 control:1 e:0 list:1]"},
			{"c", controlConnectTimeout / 2, "map[b:0 c:1 control:1 e:0 list:0]"},
			{"e", controlConnectTimeout / 2, "map[b:0 c:1 control:0 e:1 list:0]"},
		} {
			if c.address == "e" {
				p.SetAddress(c.address)
			} else if c.address != "" {
				a.discovery.SetAddress(c.address)
			}
			time.Sleep(c.after)
			got := map[string]int{"list": 0, "b": 0, "c": 0, "control": 0, "e": 0}
			mu.Lock()
			maps.Copy(got, standing)
			mu.Unlock()
			if fmt.Sprint(got) != c.want {
				t.Errorf("after a move to %q: %v, want %v", c.address, got, c.want)
			}
		}
		cancel()
		a.close()
	})
}
