package main

// This file owns what is read from the clients' log.

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxgate/internal/fake/fleet"
)

const (
	maxLatency      = time.Minute // that a histogram holds
	latencyPrecision   = 3           // significant ones that a histogram keeps
	medianQuantile  = 50
	highestQuantile = 99
)

// latencies holds the latencies of served requests.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)}
}

// add notes the latency of a served request.
func (l latencies) add(response fleet.Response) {
	micros := max(response.Done.Sub(response.Sent).Microseconds(), 1)
	// A client gives up long before maxLatency, the only value that the histogram refuses.
	_ = l.histogram.RecordValue(micros)
}

// quantileMs is a quantile, in percent, in milliseconds.
func (l latencies) quantileMs(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
}

// servedRequests is what the requests sent in a span came to.
type servedRequests struct {
	share    float64 // of the responses
	p99Ms    float64
	requests int
}

// servedBetween counts the responses to what was sent in a span.
func servedBetween(log []fleet.Response, from, to time.Time) (s servedRequests) {
	times, n := newLatencies(), 0
	for _, response := range log {
		if response.Sent.Before(from) || response.Sent.After(to) {
			continue
		}
		s.requests++
		if response.Outcome == fleet.OutcomeServed {
			n++
			times.add(response)
		}
	}
	s.share = float64(n) / float64(max(s.requests, 1))
	s.p99Ms = times.quantileMs(highestQuantile)
	return s
}

// describeStage is a stage as a line of a report; began is when clients began to send.
func describeStage(stage fleet.Stage, began time.Time) string {
	return fmt.Sprintf("%5.1f s  release %d stage %d %s, cap %.0f%%",
		max(stage.At.Sub(began).Seconds(), 0), stage.Release, stage.Stage, stage.Mode, 100*stage.Cap)
}
