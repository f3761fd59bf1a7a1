package simadapter

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"onyxgate/policy"
)

const initBatch = `{"now-us":1000,"agents":[{"who":"agent_0","happened":[` +
	`{"pool":{"slot":0,"items":[{"ver":1,"condition":"on","rating":1,"boot-time-us":null,"site":0,"appliance":"h:1","machine":0,"stripe":0}]}},` +
	`{"init":{"prng":9223372036854775807,"profile-data":{"balancers":1,"novelty":[1],"grades":[{"aim-us":1000000,"deadline-us":4000000,` +
	`"effect":"once","worth":1}],"limits":{"max-attempts":5}}}},{"backends-changed":{"serial":1,"form":"C","slot":0}}]}]}` + "\n"

const requestBatch = `{"now-us":2000,"agents":[{"who":"agent_0","happened":[{"knock":{"request-id":"t/a","affinity":null,"kind":0,"time-budget-us":4000000,"extra":{}}}]}]}` + "\n"

// eventBatch returns a batch with these events for the instance that initBatch starts.
func eventBatch(events string) string {
	return `{"now-us":3000,"agents":[{"who":"agent_0","happened":[` + events + `]}]}` + "\n"
}

// TestServe checks the replies to valid batches and the errors for invalid ones.
func TestServe(t *testing.T) {
	for _, c := range []struct{ name, in, out, err string }{
		{"empty batch", `{"now-us":1,"agents":[]}` + "\n", `{"agents":[]}`, ""},
		{"request placed", initBatch + requestBatch, `{"place":{"request-id":"t/a","appliance":"h:1"`, ""},
		{"large label", initBatch + eventBatch(`{"wakeup":{"label":9223372036854775808}}`), "", ""},
		{"unknown request ID ignored", initBatch + eventBatch(`{"hangup":{"request-id":"t/z"}}`), "", ""},
		{"not JSON", "{\"now-us\":\n", "", "not valid JSON"},
		{"no clock", `{"agents":[]}` + "\n", "", "lacks now-us"},
		{"not started", requestBatch, "", "not started"},
		{"unknown event", initBatch + eventBatch(`{"storm":{}}`), "", "unknown event"},
		{"killed instance", initBatch + eventBatch(`{"killed":{}},{"wakeup":{"label":1}}`), "", "not started"},
		{"panic reported", initBatch + strings.Replace(requestBatch, `"kind":0`, `"kind":7`, 1), `{"panic":{"line":"runtime error`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Serve(strings.NewReader(c.in), &out)
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("Serve error = %v, want one containing %q", err, c.err)
			}
			if !strings.Contains(out.String(), c.out) {
				t.Errorf("Serve wrote %s, want output containing %s", out.String(), c.out)
			}
		})
	}
}

// Errors state the location and the problem in full, and callers can determine their kind.
func TestServeErrors(t *testing.T) {
	for _, c := range []struct {
		name, in, text string
		kind           error // for errors.Is; nil if a ValueError is expected
		value          ValueError
	}{
		{"not JSON", "{\n", "line 1: batch is not valid JSON", ErrNotJSON, ValueError{}},
		{"no instances", `{"now-us":1}` + "\n", "line 1: batch lacks now-us or agents", ErrIncompleteBatch, ValueError{}},
		{"not started", requestBatch, "line 1: agent_0, knock: event for an instance that is not started", ErrNotStarted, ValueError{}},
		{"unknown event", initBatch + eventBatch(`{"storm":{}}`), "line 2: agent_0, storm: unknown event", ErrUnknownEvent, ValueError{}},
		{"unknown event, not started", eventBatch(`{"storm":{}}`), "line 1: agent_0, storm: event for an instance that is not started", ErrNotStarted, ValueError{}},
		{"outcome", initBatch + eventBatch(`{"done":{"how":9}}`), "line 2: agent_0, done: outcome not defined by the protocol: 9", nil, ValueError{"outcome", "9"}},
		{"no outcome", initBatch + eventBatch(`{"done":{}}`), "line 2: agent_0, done: outcome not defined by the protocol: 0", nil, ValueError{"outcome", "0"}},
		{"phase", initBatch + eventBatch(`{"promotion":{"standing":4}}`), "line 2: agent_0, promotion: standing not defined by the protocol: 4", nil, ValueError{"standing", "4"}},
		{"pool's slot", initBatch + eventBatch(`{"pool":{"slot":16}}`), "line 2: agent_0, pool: slot not defined by the protocol: 16", nil, ValueError{"slot", "16"}},
		{
			"list's slot", initBatch + eventBatch(`{"backends-changed":{"form":"D","slot":-1}}`),
			`line 2: agent_0, backends-changed: list form or slot not defined by the protocol: "D", slot -1`, nil,
			ValueError{"list form or slot", `"D", slot -1`},
		},
		{
			"list's form", initBatch + eventBatch(`{"backends-changed":{"form":"Z","slot":3}}`),
			`line 2: agent_0, backends-changed: list form or slot not defined by the protocol: "Z", slot 3`, nil,
			ValueError{"list form or slot", `"Z", slot 3`},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Serve(strings.NewReader(c.in), io.Discard)
			if err == nil || err.Error() != c.text {
				t.Fatalf("Serve error = %v, want %q", err, c.text)
			}
			var value *ValueError
			if c.kind != nil && !errors.Is(err, c.kind) {
				t.Errorf("errors.Is(%q, %q) = false, want true", err, c.kind)
			}
			if c.kind == nil && (!errors.As(err, &value) || *value != c.value) {
				t.Errorf("ValueError in %q = %+v, want %+v", err, value, c.value)
			}
		})
	}
}

// TestActions checks the encoding of each effect of the decisions.
func TestActions(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect func(policy.Port)
		want   string
	}{
		{"attempt", func(p policy.Port) { p.SendAttempt("t/\"", "h:1", 1.2346) }, `{"place":{"request-id":"t/\"","appliance":"h:1","limit-us":1235}}`},
		{"reject", func(p policy.Port) { p.Reject("t", 2) }, `{"deny":{"request-id":"t","wait-us":2000}}`},
		{"fail", func(p policy.Port) { p.Fail("t") }, `{"surrender":{"request-id":"t"}}`},
		{"cancel", func(p policy.Port) { p.CancelAttempt("t", 1) }, `{"revoke":{"request-id":"t","copy":1}}`},
		{"promote", func(p policy.Port) { p.SendVote(7, policy.Promote, 2) }, `{"say-so":{"ver":7,"how":1,"wave":2}}`},
		{"hold", func(p policy.Port) { p.SendVote(7, policy.Hold, 2) }, `{"say-so":{"ver":7,"how":2,"wave":2}}`},
		{"rollback", func(p policy.Port) { p.SendVote(7, policy.Rollback, 2) }, `{"say-so":{"ver":7,"how":3,"wave":2}}`},
		{"probe", func(p policy.Port) { p.SendProbe("h:1") }, `{"probe":{"appliance":"h:1"}}`},
		{"message", func(p policy.Port) { p.SendMessage(3, []byte{0xff, 0}) }, `{"signal":{"recipient":3,"raw":"/wA="}}`},
		{"timer", func(p policy.Port) { p.SetTimer(0.5, 1<<63) }, `{"notify-me":{"after-us":500,"label":9223372036854775808}}`},
		{"stream", func(p policy.Port) { p.WatchEndpoints() }, `{"stream-changes":{"active":true}}`},
		{"list", func(p policy.Port) { p.FetchEndpoints() }, `{"read-list":{}}`},
		{"log", func(p policy.Port) { p.Log("x") }, `{"log":{"line":"x"}}`},
		{"two", func(p policy.Port) { p.Fail("a"); p.Fail("b") }, `{"surrender":{"request-id":"a"}},{"surrender":{"request-id":"b"}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := &instance{}
			c.effect(in)
			if got := string(in.actions); got != c.want {
				t.Errorf("encoded actions = %s, want %s", got, c.want)
			}
		})
	}
}

// Instances share no state: two instances with the same events act the same way, whatever else the process hosts.
func TestInstancesAreIndependent(t *testing.T) {
	two := func(batch string) string {
		from, to := strings.Index(batch, `{"who"`), strings.LastIndex(batch, "]}")
		return batch[:to] + "," + strings.Replace(batch[from:to], "agent_0", "agent_1", 1) + batch[to:]
	}
	var one, both bytes.Buffer
	if err := Serve(strings.NewReader(initBatch+requestBatch), &one); err != nil {
		t.Fatalf("Serve for one instance: %v", err)
	}
	if err := Serve(strings.NewReader(two(initBatch)+two(requestBatch)), &both); err != nil {
		t.Fatalf("Serve for two instances: %v", err)
	}
	last := func(out bytes.Buffer) string {
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		return strings.TrimSuffix(lines[len(lines)-1], "]}")
	}
	if want := last(one) + "," + strings.Replace(strings.TrimPrefix(last(one), `{"agents":[`), "agent_0", "agent_1", 1); last(both) != want {
		t.Errorf("reply for two instances = %s, want %s", last(both), want)
	}
}
