package main

import (
	"bytes"
	"strings"
	"testing"

	"onyxgate/internal/sources"
	"onyxgate/internal/sources/host"
)

// testState is the state of an instance with two backends and one retired address.
func testState() host.State {
	return host.State{
		WrittenAt: 10_000,
		Doubt:     [2]string{"silent", ""},
		Backends: []host.BackendState{
			{
				ID: "a1", Address: "10.0.0.1:80", State: "running", Release: 7, Weight: 1, Rule: "listed",
				Statements: []sources.Statement{
					{Source: "discovery", Detail: "running, build 7", ReportedAt: 9_000},
					{Source: "srv", Detail: "named, priority 0, weight 1, missed 0 times", ReportedAt: 9_500},
				},
			},
			{
				ID: "srv:10.0.0.2:80", Address: "10.0.0.2:80", State: "running", Release: -1, Weight: 0.5, Rule: "named",
				Statements: []sources.Statement{{Source: "srv", Detail: "named, priority 0, weight 2, missed 1 times", ReportedAt: 8_000}},
			},
		},
		Merger: sources.MergerState{Retired: map[string]float64{"10.0.0.3:80": 4_000}},
	}
}

// The table must stay the same byte for byte, because operators' scripts may parse it.
func TestSourcesShow(t *testing.T) {
	const want = `written 2s ago; doubts of discovery: "silent", of SRV: ""
+-----------------+-------------+---------+-------+--------+--------+-----------+---------------------------------------------+-------+
| ID              | ADDRESS     | STATE   | BUILD | RATING | RULE   | SOURCE    | SAYS                                        |   AGE |
+-----------------+-------------+---------+-------+--------+--------+-----------+---------------------------------------------+-------+
| a1              | 10.0.0.1:80 | running | 7     | 1.00   | listed | discovery | running, build 7                            |    1s |
|                 |             |         |       |        |        | srv       | named, priority 0, weight 1, missed 0 times | 500ms |
| srv:10.0.0.2:80 | 10.0.0.2:80 | running | -1    | 0.50   | named  | srv       | named, priority 0, weight 2, missed 1 times |    2s |
+-----------------+-------------+---------+-------+--------+--------+-----------+---------------------------------------------+-------+
`
	var out bytes.Buffer
	if writeFleet(&out, testState(), 12_000); out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

func TestSourcesExplain(t *testing.T) {
	const first = "a1 at 10.0.0.1:80: running, build 7, rating 1.00, by the rule \"listed\"\n" +
		"  discovery, 1s ago: running, build 7\n  srv, 500ms ago: named, priority 0, weight 1, missed 0 times\n"
	for _, c := range []struct{ name, id, want, err string }{
		{"by id", "a1", first, ""},
		{"by address", "10.0.0.1:80", first, ""},
		{"a retired address", "10.0.0.3:80", "nobody in the fleet at 10.0.0.3:80: who was there drained or went 6s ago by discovery's word, and SRV can't undo that\n", ""},
		{"an unknown backend", "a9", "", "no source reports a backend with id or address a9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := sourcesExplain{ID: c.id}.write(&out, testState())
			if out.String() != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("got %q, %v; want %q, %q", out.String(), err, c.want, c.err)
			}
		})
	}
}
