package httpwire

// This file parses the load reports that come with responses or as a probe's response: "queue=3,util=0.5".

import (
	"strconv"
	"strings"

	"onyxgate/policy"
)

const (
	maxLoadFigure = 1e6  // a larger figure is noise
	notReported   = -1.0 // a figure that the report does not hold
)

// parseLoadReport reads a load report, whole or not at all: of one that is malformed anywhere, nothing counts. The settings name
// the figures by the simulator's words, the protocol's example by its own: both are read.
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

// parseLoadFigure reads digits with at most one point, none of what else a float may be.
func parseLoadFigure(text string) (figure float64, ok bool) {
	hasOtherChars := strings.ContainsFunc(text, func(c rune) bool { return c != '.' && (c < '0' || c > '9') })
	figure, err := strconv.ParseFloat(text, 64)
	return figure, err == nil && !hasOtherChars && figure <= maxLoadFigure
}
