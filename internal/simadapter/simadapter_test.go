package simadapter

import (
	"bytes"
	"strings"
	"testing"
)

const hello = `{"now-us":1000,"agents":[{"who":"agent_0","happened":[` +
	`{"pool":{"slot":0,"items":[{"ver":1,"condition":"on","rating":1,"boot-time-us":null,"site":0,"appliance":"h:1","machine":0,"stripe":0}]}},` +
	`{"init":{"prng":9223372036854775807,"profile-data":{"balancers":1,"novelty":[1],"grades":[{"aim-us":1000000,"deadline-us":4000000,` +
	`"effect":"once","worth":1}],"limits":{"max-attempts":5}}}},{"backends-changed":{"serial":1,"form":"C","slot":0}}]}]}` + "\n"

const knock = `{"now-us":2000,"agents":[{"who":"agent_0","happened":[{"knock":{"request-id":"t/a","affinity":null,"kind":0,"time-budget-us":4000000,"extra":{}}}]}]}` + "\n"

func TestServe(t *testing.T) {
	for _, c := range []struct{ name, in, out, err string }{
		{"empty batch", `{"now-us":1,"agents":[]}` + "\n", `{"agents":[]}`, ""},
		{"a txn is placed", hello + knock, `{"place":{"request-id":"t/a","appliance":"h:1"`, ""},
		{"large labels are read", hello + `{"now-us":3000,"agents":[{"who":"agent_0","happened":[{"wakeup":{"label":9223372036854775808}}]}]}` + "\n", "", ""},
		{"an ended id is passed over", hello + `{"now-us":3000,"agents":[{"who":"agent_0","happened":[{"hangup":{"request-id":"t/z"}}]}]}` + "\n", "", ""},
		{"not JSON", "{\"now-us\":\n", "", "not a JSON value"},
		{"no clock", `{"agents":[]}` + "\n", "", "without now-us"},
		{"never started", knock, "", "never started"},
		{"unknown event", hello + `{"now-us":3000,"agents":[{"who":"agent_0","happened":[{"storm":{}}]}]}` + "\n", "", "unknown event"},
		{"a killed instance", hello + `{"now-us":3000,"agents":[{"who":"agent_0","happened":[{"killed":{}},{"wakeup":{"label":1}}]}]}` + "\n", "", "never started"},
		{"a panic is told", hello + strings.Replace(knock, `"kind":0`, `"kind":7`, 1), `{"panic":{"line":"runtime error`, ""},
	} {
		var out bytes.Buffer
		err := Serve(strings.NewReader(c.in), &out)
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.err)
		}
		if !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: wrote %s, want %s", c.name, out.String(), c.out)
		}
	}
}

// Instances share nothing: two with the same events act alike, whatever else the process hosts.
func TestApart(t *testing.T) {
	two := func(s string) string {
		i := strings.Index(s, `{"who"`)
		j := strings.LastIndex(s, "]}")
		g := s[i:j]
		return s[:j] + "," + strings.Replace(g, "agent_0", "agent_1", 1) + s[j:]
	}
	var one, both bytes.Buffer
	if err := Serve(strings.NewReader(hello+knock), &one); err != nil {
		t.Fatal(err)
	}
	if err := Serve(strings.NewReader(two(hello)+two(knock)), &both); err != nil {
		t.Fatal(err)
	}
	last := func(b bytes.Buffer) string {
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		return strings.TrimSuffix(lines[len(lines)-1], "]}")
	}
	if want := last(one) + "," + strings.Replace(strings.TrimPrefix(last(one), `{"agents":[`), "agent_0", "agent_1", 1); last(both) != want {
		t.Errorf("got %s, want %s", last(both), want)
	}
}
