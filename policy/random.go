package policy

import "math/rand/v2"

// multiplyWithCarry is a lag-1 multiply-with-carry generator. It is implemented here because recorded decisions must be
// replayed identically with any version of the standard library.
type multiplyWithCarry struct{ x, carry uint64 }

const (
	carryMultiplier = 4294957665
	carryModulus    = carryMultiplier - 1
)

// NewRand returns a generator with the given seed.
func NewRand(seed uint64) *rand.Rand {
	return rand.New(&multiplyWithCarry{x: seed&0xffffffff | 1, carry: seed >> 32 % carryModulus})
}

// Uint64 returns the next 64 bits.
func (g *multiplyWithCarry) Uint64() uint64 { return g.next()<<32 | g.next() }

// next returns the next 32 bits.
func (g *multiplyWithCarry) next() uint64 {
	product := carryMultiplier*g.x + g.carry
	g.x, g.carry = product&0xffffffff, product>>32
	return g.x
}
