package main

// Statistics of the clients' log.

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxgate/internal/fake/fleet"
)

const (
	maxLatency       = time.Minute // highest value in a histogram
	latencyPrecision = 3           // significant digits of a histogram
	medianQuantile   = 50
	tailQuantile     = 99
)

// latencies is a histogram of the latencies of served requests.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)}
}

// add adds the latency of a served request.
func (l latencies) add(response fleet.Response) {
	micros := max(response.Done.Sub(response.Sent).Microseconds(), 1)
	// RecordValue fails only for values above maxLatency, and a client stops waiting long before that.
	_ = l.histogram.RecordValue(micros)
}

// quantileMs returns a quantile, given in percent, in milliseconds.
func (l latencies) quantileMs(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
}

// servedRequests is the result of servedBetween.
type servedRequests struct {
	share    float64 // fraction of the requests that were served
	p99Ms    float64 // of the latencies of served requests
	requests int
}

// servedBetween summarizes the responses to requests sent between two times.
func servedBetween(log []fleet.Response, from, to time.Time) (s servedRequests) {
	times, served := newLatencies(), 0
	for _, response := range log {
		if response.Sent.Before(from) || response.Sent.After(to) {
			continue
		}
		s.requests++
		if response.Outcome == fleet.OutcomeServed {
			served++
			times.add(response)
		}
	}
	s.share = float64(served) / float64(max(s.requests, 1))
	s.p99Ms = times.quantileMs(tailQuantile)
	return s
}

// describeStage formats a stage as a line of a report. Its time is relative to began, when clients began to send.
func describeStage(stage fleet.Stage, began time.Time) string {
	return fmt.Sprintf("%5.1f s  release %d stage %d %s, cap %.0f%%",
		max(stage.At.Sub(began).Seconds(), 0), stage.Release, stage.Stage, stage.Mode, 100*stage.Cap)
}
