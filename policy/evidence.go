package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// addEvidence keeps evidence in order of time.
func (a *Instance) addEvidence(build ReleaseID, product int, o outcome) {
	u := &a.meanLatencyPerWork[product]
	if *u == 0 {
		*u = o.latency
	}
	*u += meanStep * (o.latency - *u)
	o.relativeLatency = o.latency / max(*u, 1e-9)
	o.comparable = !o.failed && a.isSteady(o.backend, o.relativeLatency)
	if !a.releases.IsEvaluated(build) { // of a release whose news is to come, or one that has been taken off
		return
	}
	arm := boolIndex(build >= a.newest)
	e := a.evidence[arm][product]
	k := len(e)
	for k > 0 && e[k-1].at > o.at {
		k--
	}
	e = slices.Insert(e, k, o)
	if len(e) > 2*maxEvidence {
		e = slices.Clone(e[len(e)-maxEvidence:])
	}
	a.evidence[arm][product] = e
}

// isSteady is gate one's check of a machine: halves of its recent outcomes agree, or its told warm-up is over.
func (a *Instance) isSteady(i int, rel float64) bool {
	b := a.endpoints.At(i)
	b.RecentLatencies = append(b.RecentLatencies, rel)
	if len(b.RecentLatencies) > steadySample {
		b.RecentLatencies = b.RecentLatencies[1:]
	}
	if a.warmUpProgress(b) >= 1 || len(b.RecentLatencies) < steadySample {
		return a.warmUpProgress(b) >= 1
	}
	x, y := stat.Mean(b.RecentLatencies[:steadySample/2], nil), stat.Mean(b.RecentLatencies[steadySample/2:], nil)
	return math.Abs(x-y) <= latencyZone*max(x, y)
}

// outcome is one submission's end as evidence on a build.
type outcome struct {
	at, latency      float64
	relativeLatency  float64 // latency over the product's usual one
	failed           bool
	connectionBroken bool // its connection
	backend          int
	comparable       bool // its latency counts
}

// recordEvidence files a submission's end as evidence.
func (a *Instance) recordEvidence(s *attempt, t *request, r AttemptStatus, took float64) {
	o := outcome{at: a.now, latency: took / t.workDivisor, failed: r == StatusErrored || r == StatusReset, connectionBroken: r == StatusReset, backend: s.backend}
	a.addEvidence(s.release, t.class, o)
	if a.peerMessages {
		a.queueSummary(o, s.release, t.class)
	}
}

// typicalLatency is a low latency of a machine of the faster part, over the usual of each product: low, since queues
// touch it least, and of the faster part, so that trouble of some machines does not pass for trouble of all.
func (a *Instance) typicalLatency(evidence [2][][]outcome, span float64) float64 {
	by := make([][]float64, a.endpoints.Len())
	for _, arm := range evidence {
		for p, e := range arm {
			for k := len(e) - 1; k >= 0 && e[k].at > a.now-span && a.baseline.usual[p] > 0; k-- {
				if e[k].comparable {
					by[e[k].backend] = append(by[e[k].backend], e[k].latency/a.baseline.usual[p])
				}
			}
		}
	}
	var each []float64
	for _, lat := range by {
		if len(lat) >= minSamplePerBackend {
			each = append(each, quantile(lowQuantile, lat))
		}
	}
	if all := slices.Concat(by...); len(all) >= minSample && a.instances >= manyInstances && !a.peerMessages {
		return quantile(lowQuantile, all) // too few of each machine: those of all machines together
	}
	if len(each) < minSamplePerBackend {
		return 0
	}
	return quantile(lowQuantile, each)
}
