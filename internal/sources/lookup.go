package sources

// This file owns when a name is looked up, at which server, and what an answer or a failure means for the next time.

import (
	"math"
	"math/rand/v2"
)

const (
	// lifetimes (ms) are kept within these: 0 would be a storm, 2^31 seconds for ever. RFC 8767 sets a ceiling of a week on
	// what is believed; appliances come and go within minutes.
	minTTLMs, maxTTLMs = 1_000.0, 300_000.0
	// minRefreshShare and refreshTo of the lifetime: agents that learned a name together must not ask together.
	minRefreshShare, maxRefreshShare = 0.6, 0.9
	// maxNegativeTTLMs (ms) bounds what RFC 2308 lets a server say of a name that does not exist.
	maxNegativeTTLMs = 60_000.0
	// minBackoffMs, againMost (ms): pauses after a failure of all servers, doubled.
	minBackoffMs, maxBackoffMs = 250.0, 10_000.0
	// failureHalfLifeMs (ms) halves what is held against a server.
	failureHalfLifeMs = 30_000.0
)

// LookupPacer paces one name's look-ups over some servers.
type LookupPacer struct {
	random      *rand.Rand
	failures    []float64 // by server: failures, fading
	failedAt    []float64
	rate        float64 // look-ups a second, at most
	tokens      float64
	refilledAt  float64
	nextAt      float64
	failedInRow int // servers in a row
	backoffMs   float64
}

// NewLookupPacer makes one for so many servers and look-ups a second.
func NewLookupPacer(servers int, rate float64, chance *rand.Rand) *LookupPacer {
	return &LookupPacer{random: chance, failures: make([]float64, servers), failedAt: make([]float64, servers), rate: rate, tokens: 1}
}

// Next says which server is to be asked now, -1: none before wait (ms) is over.
func (l *LookupPacer) Next(now float64) (server int, wait float64) {
	l.tokens = min(l.tokens+(now-l.refilledAt)*l.rate/1000, max(l.rate, 1))
	if l.refilledAt == 0 {
		l.tokens = 1
	}
	l.refilledAt = now
	if now < l.nextAt {
		return -1, l.nextAt - now
	}
	if l.tokens < 1 {
		return -1, (1 - l.tokens) / l.rate * 1000
	}
	l.tokens--
	server = 0
	for i := range l.failures {
		if l.decayedFailures(now, i) < l.decayedFailures(now, server) {
			server = i
		}
	}
	return server, 0
}

func (l *LookupPacer) decayedFailures(now float64, server int) float64 {
	return l.failures[server] * math.Pow(0.5, max(now-l.failedAt[server], 0)/failureHalfLifeMs)
}

// OnAnswer tells that a server answered with a lifetime (ms); negative: that there is no such name, for so long.
func (l *LookupPacer) OnAnswer(now float64, server int, ttl float64, negative bool) {
	l.failures[server], l.failedInRow, l.backoffMs = 0, 0, 0
	ttl = min(max(ttl, minTTLMs), maxTTLMs)
	if negative {
		ttl = min(ttl, maxNegativeTTLMs)
	}
	l.nextAt = now + ttl*(minRefreshShare+(maxRefreshShare-minRefreshShare)*l.random.Float64())
}

// OnFailure tells that a server did not answer, or not so that it can be used. The next one is asked at once; after all of them
// there is a pause.
func (l *LookupPacer) OnFailure(now float64, server int) {
	l.failures[server] = l.decayedFailures(now, server) + 1
	l.failedAt[server] = now
	if l.failedInRow++; l.failedInRow < len(l.failures) {
		l.nextAt = now
		return
	}
	l.failedInRow = 0
	l.backoffMs = min(max(2*l.backoffMs, minBackoffMs), maxBackoffMs)
	l.nextAt = now + l.backoffMs*(0.5+l.random.Float64())
}
