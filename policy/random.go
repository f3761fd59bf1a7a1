package policy

import (
	"hash/fnv"
	"math/rand/v2"
)

// keyPosition is a key's place in [0,1), another for each salt.
func keyPosition(key string, salt uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	x := (h.Sum64() ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return float64((x^x>>29)>>11) / (1 << 53)
}

func boolIndex(second bool) int {
	if second {
		return 1
	}
	return 0
}

func (g *mwc) Uint64() uint64 { return g.next()<<32 | g.next() }

func (g *mwc) next() uint64 {
	t := 4294957665*g.x + g.c
	g.x, g.c = t&0xffffffff, t>>32
	return g.x
}

// NewRand is a generator started from a seed.
func NewRand(seed uint64) *rand.Rand {
	return rand.New(&mwc{x: seed&0xffffffff | 1, c: seed >> 32 % 4294957664})
}

// mwc is a lag-1 multiply-with-carry generator.
type mwc struct{ x, c uint64 }
