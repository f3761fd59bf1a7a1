package sources

// This file owns when a name is looked up, at which server, and what an answer or a failure means for the next time.

import (
	"math"
	"math/rand/v2"
)

const (
	// lifetimes (ms) are kept within these: 0 would be a storm, 2^31 seconds for ever. RFC 8767 sets a ceiling of a week on
	// what is believed; appliances come and go within minutes.
	ttlLeast, ttlMost = 1_000.0, 300_000.0
	// refreshFrom and refreshTo of the lifetime: agents that learned a name together must not ask together.
	refreshFrom, refreshTo = 0.6, 0.9
	// negativeMost (ms) bounds what RFC 2308 lets a server say of a name that does not exist.
	negativeMost = 60_000.0
	// againFirst, againMost (ms): pauses after a failure of all servers, doubled.
	againFirst, againMost = 250.0, 10_000.0
	// forget (ms) halves what is held against a server.
	forget = 30_000.0
)

// Lookup paces one name's look-ups over some servers.
type Lookup struct {
	chance  *rand.Rand
	fault   []float64 // by server: failures, fading
	faultAt []float64
	rate    float64 // look-ups a second, at most
	tokens  float64
	filled  float64
	due     float64
	failed  int // servers in a row
	again   float64
}

// NewLookup makes one for so many servers and look-ups a second.
func NewLookup(servers int, rate float64, chance *rand.Rand) *Lookup {
	return &Lookup{chance: chance, fault: make([]float64, servers), faultAt: make([]float64, servers), rate: rate, tokens: 1}
}

// Next says which server is to be asked now, -1: none before wait (ms) is over.
func (l *Lookup) Next(now float64) (server int, wait float64) {
	l.tokens = min(l.tokens+(now-l.filled)*l.rate/1000, max(l.rate, 1))
	if l.filled == 0 {
		l.tokens = 1
	}
	l.filled = now
	if now < l.due {
		return -1, l.due - now
	}
	if l.tokens < 1 {
		return -1, (1 - l.tokens) / l.rate * 1000
	}
	l.tokens--
	server = 0
	for i := range l.fault {
		if l.faults(now, i) < l.faults(now, server) {
			server = i
		}
	}
	return server, 0
}

func (l *Lookup) faults(now float64, server int) float64 {
	return l.fault[server] * math.Pow(0.5, max(now-l.faultAt[server], 0)/forget)
}

// Answered tells that a server answered with a lifetime (ms); negative: that there is no such name, for so long.
func (l *Lookup) Answered(now float64, server int, ttl float64, negative bool) {
	l.fault[server], l.failed, l.again = 0, 0, 0
	ttl = min(max(ttl, ttlLeast), ttlMost)
	if negative {
		ttl = min(ttl, negativeMost)
	}
	l.due = now + ttl*(refreshFrom+(refreshTo-refreshFrom)*l.chance.Float64())
}

// Failed tells that a server did not answer, or not so that it can be used. The next one is asked at once; after all of them
// there is a pause.
func (l *Lookup) Failed(now float64, server int) {
	l.fault[server] = l.faults(now, server) + 1
	l.faultAt[server] = now
	if l.failed++; l.failed < len(l.fault) {
		l.due = now
		return
	}
	l.failed = 0
	l.again = min(max(2*l.again, againFirst), againMost)
	l.due = now + l.again*(0.5+l.chance.Float64())
}
