package httpwire

import (
	"testing"

	"onyxgate/policy"
)

// A load report is accepted or rejected as a whole.
func TestParseLoadReport(t *testing.T) {
	for _, c := range []struct {
		report               string
		waiting, utilization float64
	}{
		{"q=3,busy=0.62,rate=140", 3, 0.62},
		{"rif=4,fail_rate=0", 4, -1},
		{"queue=3,util=0.5,qps=12", 3, 0.5},
		{"inflight=7,util=0.61", 7, 0.61},
		{"inflight=7,queue=2", 2, -1},
		{"qps=1", -1, -1},
		{"", -1, -1},
		{"queue=3,util=x", -1, -1},
		{"queue=NaN,util=0.5", -1, -1},
		{"queue=-3,util=0", -1, -1},
		{"queue=3;util=0.5", -1, -1},
		{"queue=3,", -1, -1},
		{"queue=1e300", -1, -1},
		{"queue=99999999", -1, -1},
		{"\x00\x01=4", -1, -1},
		{"queue=inf", -1, -1},
	} {
		t.Run(c.report, func(t *testing.T) {
			want := policy.LoadReport{Present: c.waiting >= 0 || c.utilization >= 0, Waiting: max(c.waiting, 0), Utilization: max(c.utilization, 0)}
			if got := parseLoadReport(c.report); got != want {
				t.Errorf("parseLoadReport(%q) = %+v, want %+v", c.report, got, want)
			}
		})
	}
}
