package sources

// This file owns when a name is looked up, at which server, and what an answer or a failure means for the next time.

import (
	"math"
	"math/rand/v2"
)

const (
	// Lifetimes are kept within these: 0 would be a storm, 2^31 seconds for ever. RFC 8767 sets a ceiling of a week on what is
	// believed; backends come and go within minutes.
	minTTLMs, maxTTLMs = 1_000.0, 300_000.0
	// A name is looked up again after a random part of its lifetime: instances that learned it together must not ask together.
	minRefreshShare, maxRefreshShare = 0.6, 0.9
	// maxNegativeTTLMs bounds what RFC 2308 lets a server say of a name that does not exist.
	maxNegativeTTLMs = 60_000.0
	// The pause after a failure of all servers starts at the first of these and doubles up to the second.
	minBackoffMs, maxBackoffMs = 250.0, 10_000.0
	// failureHalfLifeMs is the half-life of the failures counted against a server.
	failureHalfLifeMs = 30_000.0
)

// LookupPacer paces one name's look-ups over some servers. Times are in ms of one clock; it is used by one goroutine at a
// time.
type LookupPacer struct {
	random              *rand.Rand
	servers             []serverHealth
	rate                float64 // look-ups a second, at most
	tokens              float64 // look-ups that the rate allows now
	refilledAt          float64
	nextAt              float64 // no look-up before
	consecutiveFailures int     // servers since the last answer, or the last pause
	backoffMs           float64
}

// serverHealth is the failures counted against one server.
type serverHealth struct {
	failures float64 // decayed, as of failedAt
	failedAt float64
}

// decayedFailures is how many failures count at a time.
func (s serverHealth) decayedFailures(now float64) float64 {
	return s.failures * math.Pow(0.5, max(now-s.failedAt, 0)/failureHalfLifeMs)
}

// NewLookupPacer returns a pacer for so many servers and at most so many look-ups a second.
func NewLookupPacer(servers int, rate float64, random *rand.Rand) *LookupPacer {
	return &LookupPacer{random: random, servers: make([]serverHealth, servers), rate: rate, tokens: 1}
}

// Next returns which server is to be asked now, which counts as a look-up; -1: none before wait (ms) is over.
func (l *LookupPacer) Next(now float64) (server int, wait float64) {
	l.refill(now)
	if now < l.nextAt {
		return -1, l.nextAt - now
	}
	if l.tokens < 1 {
		return -1, (1 - l.tokens) / l.rate * 1000
	}
	l.tokens--
	return l.healthiest(now), 0
}

// refill adds the tokens of the time that passed; there is one at the start.
func (l *LookupPacer) refill(now float64) {
	if l.refilledAt == 0 {
		l.tokens = 1
	} else {
		l.tokens = min(l.tokens+(now-l.refilledAt)*l.rate/1000, max(l.rate, 1))
	}
	l.refilledAt = now
}

// healthiest is the server with the fewest failures, the first of equals.
func (l *LookupPacer) healthiest(now float64) (best int) {
	for i, s := range l.servers {
		if s.decayedFailures(now) < l.servers[best].decayedFailures(now) {
			best = i
		}
	}
	return best
}

// OnAnswer notes that a server answered with a lifetime (ms); negative: that there is no such name, for so long.
func (l *LookupPacer) OnAnswer(now float64, server int, ttl float64, negative bool) {
	l.servers[server].failures, l.consecutiveFailures, l.backoffMs = 0, 0, 0
	ttl = min(max(ttl, minTTLMs), maxTTLMs)
	if negative {
		ttl = min(ttl, maxNegativeTTLMs)
	}
	l.nextAt = now + ttl*(minRefreshShare+(maxRefreshShare-minRefreshShare)*l.random.Float64())
}

// OnFailure notes that a server did not answer, or not so that it can be used. The next one is asked at once; after all of
// them there is a pause.
func (l *LookupPacer) OnFailure(now float64, server int) {
	l.servers[server] = serverHealth{l.servers[server].decayedFailures(now) + 1, now}
	l.consecutiveFailures++
	if l.consecutiveFailures < len(l.servers) {
		l.nextAt = now
		return
	}
	l.consecutiveFailures = 0
	l.backoffMs = min(max(2*l.backoffMs, minBackoffMs), maxBackoffMs)
	l.nextAt = now + l.backoffMs*(0.5+l.random.Float64())
}
