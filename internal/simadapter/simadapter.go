// Package simadapter drives decision modules over the simulator's wire: frames, units, words and instances.
package simadapter

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/internal/siteconfig"
	"onyxgate/policy"
)

// The wire's words and numbers, in the module's terms.
var (
	results = [...]policy.AttemptStatus{0, policy.StatusServed, policy.StatusErrored, policy.StatusRejected, policy.StatusTimedOut, policy.StatusConnectFailed, policy.StatusReset, policy.StatusCanceled, policy.StatusNotSent}
	replies = map[int64]policy.VoteResponse{1: policy.VoteCounted, 2: policy.VoteRefused, 3: policy.VoteRefused, 4: policy.VoteUnanswered, 8: policy.VoteOutdated}
	phases  = [...]policy.Phase{policy.RollingOut, policy.RollingBack, policy.Released, policy.Withdrawn}
	states  = map[string]policy.EndpointState{"on": policy.EndpointRunning, "fading": policy.EndpointDraining, "off": policy.EndpointRemoved}
)

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
	h := host{agents: map[string]*instance{}}
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", line, err)
		}
		if len(text) > 0 && err == nil || len(text) > 1 {
			if berr := h.batch(text); berr != nil {
				return fmt.Errorf("line %d: %w", line, berr)
			}
			if _, werr := out.Write(h.reply); werr != nil {
				return fmt.Errorf("writing: %w", werr)
			}
			if ferr := out.Flush(); ferr != nil {
				return fmt.Errorf("writing: %w", ferr)
			}
		}
		if err != nil {
			return nil
		}
	}
}

type host struct {
	agents map[string]*instance
	pools  [16][]policy.Endpoint
	reply  []byte
}

// instance is one agent's module and the port by which it writes actions.
type instance struct {
	agent *policy.Instance
	out   []byte
}

func (h *host) batch(text []byte) error {
	if !gjson.ValidBytes(text) {
		return errors.New("not a JSON value")
	}
	b := gjson.ParseBytes(text)
	clock := b.Get("now-us")
	if clock.Type != gjson.Number || !b.Get("agents").IsArray() {
		return errors.New("a batch without now-us or agents")
	}
	now := siteconfig.Milliseconds(clock)
	h.reply = append(h.reply[:0], `{"agents":[`...)
	var err error
	// A pool belongs to the process and may stand beside the instances or among their events.
	b.ForEach(func(k, v gjson.Result) bool {
		switch {
		case k.Str == "pool":
			err = h.pool(v)
		case k.Str == "agents":
			v.ForEach(func(_, g gjson.Result) bool {
				err = h.group(now, g)
				return err == nil
			})
		}
		return err == nil
	})
	h.reply = append(h.reply, "]}\n"...)
	return err
}

func (h *host) group(now float64, g gjson.Result) error {
	who := g.Get("who").Str
	in := h.agents[who]
	if in == nil {
		in = &instance{}
		h.agents[who] = in
	}
	in.out = in.out[:0]
	var err error
	g.Get("happened").ForEach(func(_, e gjson.Result) bool {
		e.ForEach(func(name, fields gjson.Result) bool {
			err = h.event(in, now, name.Str, fields)
			if err != nil {
				err = fmt.Errorf("%s, %s: %w", who, name.Str, err)
			}
			return err == nil
		})
		return err == nil
	})
	if err != nil {
		return err
	}
	if len(in.out) > 0 {
		if h.reply[len(h.reply)-1] != '[' {
			h.reply = append(h.reply, ',')
		}
		h.reply = append(h.reply, `{"who":`...)
		h.reply = strconv.AppendQuote(h.reply, who)
		h.reply = append(h.reply, `,"out":[`...)
		h.reply = append(h.reply, in.out...)
		h.reply = append(h.reply, "]}"...)
	}
	return nil
}

// event hands one event to the module. A panic there ends the day with its text instead of a guessed action.
func (h *host) event(in *instance, now float64, name string, f gjson.Result) (err error) {
	defer func() {
		if p := recover(); p != nil {
			in.act("panic", "line", fmt.Sprint(p))
		}
	}()
	switch name {
	case "pool":
		return h.pool(f)
	case "init":
		in.agent = policy.New(in, siteconfig.InstanceConfig(f.Get("profile-data"), f.Get("prng").Uint(), 0))
		return nil
	}
	a := in.agent
	if a == nil {
		return errors.New("an event for an instance that was never started")
	}
	id, app := f.Get("request-id").Str, f.Get("appliance").Str
	switch name {
	case "killed":
		in.agent = nil
	case "backends-changed":
		form := f.Get("form").Str
		if form == "X" {
			a.OnEndpointsFailed(now)
			return nil
		}
		slot := f.Get("slot").Int()
		if slot < 0 || slot >= int64(len(h.pools)) || form != "D" && form != "F" && form != "C" {
			return fmt.Errorf("list form %q, slot %d", form, slot)
		}
		a.OnEndpoints(now, policy.EndpointUpdate{Endpoints: h.pools[slot], Snapshot: form != "D", Cached: form == "C"})
	case "knock":
		a.OnRequest(now, policy.Request{
			ID: id, Key: f.Get("affinity").Str, Class: int(f.Get("kind").Int()), Tenant: int(f.Get("owner").Int()),
			Retry: f.Get("is-retry").Bool(), TimeLeft: siteconfig.Milliseconds(f.Get("time-budget-us")),
			Work: siteconfig.Milliseconds(f.Get("hint-us")),
		})
	case "head-received":
		a.OnStreamStarted(now, id, int(f.Get("copy").Int()))
	case "done":
		how := f.Get("how").Int()
		if how < 1 || how >= int64(len(results)) {
			return fmt.Errorf("outcome %d", how)
		}
		a.OnAttemptResult(now, policy.AttemptResult{
			RequestID: id, Attempt: int(f.Get("copy").Int()), Status: results[how], Final: f.Get("final").Bool(),
			Took: siteconfig.Milliseconds(f.Get("took-us")), Load: load(f.Get("feedback")),
		})
	case "hangup":
		a.OnClientGone(now, id)
	case "wakeup":
		a.OnTimer(now, f.Get("label").Uint())
	case "checked":
		a.OnProbeResult(now, policy.ProbeResult{
			Backend: app, OK: f.Get("how").Int() == 1, Took: siteconfig.Milliseconds(f.Get("took-us")), Load: load(f.Get("feedback")),
		})
	case "mail":
		if raw, err := base64.StdEncoding.DecodeString(f.Get("raw").Str); err == nil {
			a.OnMessage(now, raw)
		}
	case "promotion":
		phase := f.Get("standing").Int()
		if phase < 0 || phase >= int64(len(phases)) {
			return fmt.Errorf("standing %d", phase)
		}
		reply := policy.NotAVote
		if f.Get("how").Int() == 1 {
			reply = replies[f.Get("status").Int()]
		}
		a.OnReleaseUpdate(now, policy.ReleaseUpdate{
			Release: policy.ReleaseID(f.Get("ver").Int()), Stage: int(f.Get("wave").Int()), Phase: phases[phase],
			Cap: f.Get("ceiling").Num, Age: siteconfig.Milliseconds(f.Get("old-us")), Response: reply, Known: f.Get("status").Int() == 1,
		})
	case "counts-by-build":
		a.OnPlatformCounts(now)
	case "reported-wrong":
		a.OnWrongAnswer(now, app, int(f.Get("kind").Int()), siteconfig.Milliseconds(f.Get("old-us")))
	default:
		return errors.New("unknown event")
	}
	return nil
}

func (h *host) pool(f gjson.Result) error {
	slot := f.Get("slot").Int()
	if slot < 0 || slot >= int64(len(h.pools)) {
		return fmt.Errorf("slot %d", slot)
	}
	var list []policy.Endpoint
	f.Get("items").ForEach(func(_, e gjson.Result) bool {
		list = append(list, policy.Endpoint{
			ID: e.Get("appliance").Str, Release: policy.ReleaseID(e.Get("ver").Num), State: states[e.Get("condition").Str],
			Weight: e.Get("rating").Num, StartedAt: siteconfig.Milliseconds(e.Get("boot-time-us")), Zone: int(e.Get("site").Int()),
			HardwareClass: int(e.Get("machine").Int()), Cell: int(e.Get("stripe").Int()),
		})
		return true
	})
	h.pools[slot] = list
	return nil
}

// load reads what a load report may tell.
func load(f gjson.Result) policy.LoadReport {
	waiting, busy := -1.0, -1.0 // -1: it is not there
	if v := f.Get("q"); v.Type == gjson.Number {
		waiting = v.Num
	} else if v := f.Get("rif"); v.Type == gjson.Number {
		waiting = v.Num
	}
	if v := f.Get("busy"); v.Type == gjson.Number {
		busy = v.Num
	}
	return policy.LoadReport{Present: waiting >= 0 || busy >= 0, Waiting: max(waiting, 0), Busy: max(busy, 0)}
}

// act writes one action; fields come as name and value in turn.
func (in *instance) act(name string, fields ...any) {
	if len(in.out) > 0 {
		in.out = append(in.out, ',')
	}
	in.out = append(in.out, `{"`+name+`":{`...)
	for i := 0; i+1 < len(fields); i += 2 {
		if i > 0 {
			in.out = append(in.out, ',')
		}
		in.out = append(in.out, `"`+fields[i].(string)+`":`...)
		switch v := fields[i+1].(type) {
		case string:
			in.out = gjson.AppendJSONString(in.out, v)
		case float64: // milliseconds; the wire counts whole microseconds
			in.out = strconv.AppendInt(in.out, int64(v*1000+0.5), 10)
		case int:
			in.out = strconv.AppendInt(in.out, int64(v), 10)
		case uint64:
			in.out = strconv.AppendUint(in.out, v, 10)
		case bool:
			in.out = strconv.AppendBool(in.out, v)
		}
	}
	in.out = append(in.out, "}}"...)
}

func (in *instance) SendAttempt(txn, appliance string, limit float64) {
	in.act("place", "request-id", txn, "appliance", appliance, "limit-us", limit)
}

func (in *instance) Reject(txn string, wait float64) {
	in.act("deny", "request-id", txn, "wait-us", wait)
}

func (in *instance) Fail(txn string) { in.act("surrender", "request-id", txn) }

func (in *instance) CancelAttempt(txn string, submission int) {
	in.act("revoke", "request-id", txn, "copy", submission)
}

func (in *instance) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	word := map[policy.Verdict]int{policy.Promote: 1, policy.Hold: 2, policy.Rollback: 3}[verdict]
	in.act("say-so", "ver", int(release), "how", word, "wave", stage)
}

func (in *instance) SendProbe(appliance string) { in.act("probe", "appliance", appliance) }

func (in *instance) SendMessage(agent int, note []byte) {
	in.act("signal", "recipient", agent, "raw", base64.StdEncoding.EncodeToString(note))
}

func (in *instance) SetTimer(after float64, token uint64) {
	in.act("notify-me", "after-us", after, "label", token)
}

func (in *instance) WatchEndpoints() { in.act("stream-changes", "active", true) }

func (in *instance) FetchEndpoints() { in.act("read-list") }

func (in *instance) Log(line string) { in.act("log", "line", line) }
