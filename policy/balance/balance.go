// Package balance provides building blocks for choosing between backends: the load that a backend reports (Load), the
// position of a key in a rollout (KeyPosition), and a randomized least-loaded choice (LeastLoaded). The caller decides
// which backends a request may use.
package balance

import (
	"hash/fnv"
	"math"
)

// loadDecayTime (ms) is the time constant with which a load report decays, because reports are delayed and noisy.
const loadDecayTime = 1500

// Load is the load of a backend as last reported. The zero value is no load.
type Load struct {
	load       float64 // waiting requests plus the busy fraction
	reportedAt float64 // ms
}

// NewLoad returns the load of a report that arrived at time now (ms): the number of waiting requests and the busy
// fraction of the backend.
func NewLoad(waiting, busy, now float64) Load { return Load{load: waiting + busy, reportedAt: now} }

// At returns the load, decayed by the age of the report.
func (l Load) At(now float64) float64 {
	return l.load * math.Exp(-(now-l.reportedAt)/loadDecayTime)
}

// KeyPosition returns a position of the key in [0,1) that is stable for a given salt and independent of the position
// for another salt. It is FNV-1a, combined with the salt and mixed by multiplications and shifts like those of the
// MurmurHash3 finalizer, because similar keys and salts would otherwise get similar positions.
func KeyPosition(key string, salt uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	x := (h.Sum64() ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64((x^x>>29)>>11) / (1 << 53)
}
