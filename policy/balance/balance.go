// Package balance holds what choosing between backends needs to know of each.
//
// It owns the load that a backend reports (Load) and the place of a key in a rollout (KeyPosition). It must never choose by itself what a
// request may use: that is the caller's.
package balance

import (
	"hash/fnv"
	"math"
)

// loadDecayTime (ms) is over which a load report fades: it was delayed and noisy when it came.
const loadDecayTime = 1500

// Load is a backend's load by its last report. The zero value is a backend without load.
type Load struct {
	load       float64 // requests that wait, and the busy share
	reportedAt float64 // ms
}

// NewLoad is the load of a report that came at a time.
func NewLoad(waiting, busy, now float64) Load { return Load{load: waiting + busy, reportedAt: now} }

// At is the load as far as it still counts.
func (l Load) At(now float64) float64 {
	return l.load * math.Exp(-(now-l.reportedAt)/loadDecayTime)
}

// KeyPosition is a key's fixed position in [0,1), another one for each salt: FNV-1a, with the bits mixed as in MurmurHash3's final steps,
// since similar keys and salts would otherwise get similar positions.
func KeyPosition(key string, salt uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	x := (h.Sum64() ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64((x^x>>29)>>11) / (1 << 53)
}
