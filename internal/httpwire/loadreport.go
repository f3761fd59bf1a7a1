package httpwire

// Backends send load reports such as "queue=3,util=0.5" with their responses or as responses to probes.

import (
	"strconv"
	"strings"

	"onyxgate/policy"
)

const (
	maxLoadFigure = 1e6  // larger figures indicate corruption
	notReported   = -1.0 // the report lacks this figure
)

// parseLoadReport parses a load report, or returns the zero report if any part of it is malformed. The settings use the
// simulator's names of figures and the protocol's example uses other ones; both are accepted.
func parseLoadReport(report string) policy.LoadReport {
	waiting, utilization, inFlight := notReported, notReported, notReported
	for part := range strings.SplitSeq(report, ",") {
		name, text, _ := strings.Cut(part, "=")
		figure, ok := parseLoadFigure(text)
		if !ok || !isHeaderName([]byte(name)) {
			return policy.LoadReport{}
		}
		switch name {
		case "q", "queue":
			waiting = figure
		case "rif", "inflight":
			inFlight = figure
		case "busy", "util":
			utilization = figure
		}
	}
	if waiting < 0 {
		waiting = inFlight
	}
	return policy.LoadReport{Present: waiting >= 0 || utilization >= 0, Waiting: max(waiting, 0), Utilization: max(utilization, 0)}
}

// parseLoadFigure parses digits with at most one decimal point. Other forms of floating-point numbers are invalid.
func parseLoadFigure(text string) (figure float64, ok bool) {
	hasOtherChars := strings.ContainsFunc(text, func(c rune) bool { return c != '.' && (c < '0' || c > '9') })
	figure, err := strconv.ParseFloat(text, 64)
	return figure, err == nil && !hasOtherChars && figure <= maxLoadFigure
}
