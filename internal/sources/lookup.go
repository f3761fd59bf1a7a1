package sources

import (
	"math"
	"math/rand/v2"
)

const (
	// TTLs are clamped to this range: a TTL of 0 would cause a flood of look-ups, and one of 2^31 seconds would in
	// practice never expire. RFC 8767 suggests a maximum of one week, but backends come and go within minutes.
	minTTLMs, maxTTLMs = 1_000.0, 300_000.0
	// A name is looked up again after a random fraction of its TTL, so that instances that cached it at the same time
	// do not query at the same time.
	minRefreshShare, maxRefreshShare = 0.6, 0.9
	// maxNegativeTTLMs limits the negative TTL that a server may set under RFC 2308.
	maxNegativeTTLMs = 60_000.0
	// The back-off after as many failures in a row as there are servers starts at minBackoffMs and doubles up to
	// maxBackoffMs. The wait is 0.5 to 1.5 times the back-off.
	minBackoffMs, maxBackoffMs = 250.0, 10_000.0
	// failureHalfLifeMs is the half-life of a server's failure count.
	failureHalfLifeMs = 30_000.0
)

// LookupPacer schedules the look-ups of one name over several servers. Times are in ms of one clock. It must be used
// by one goroutine at a time.
type LookupPacer struct {
	random              *rand.Rand
	servers             []serverHealth
	rate                float64 // maximum look-ups per second
	tokens              float64 // look-ups that the rate limit currently allows
	refilledAt          float64
	nextAt              float64 // earliest time of the next look-up
	consecutiveFailures int     // failed look-ups since the last answer or back-off
	backoffMs           float64
}

// serverHealth is the failure count of one server.
type serverHealth struct {
	failures float64 // decayed, as of failedAt
	failedAt float64
}

// decayedFailures returns the failure count, decayed to the given time.
func (s serverHealth) decayedFailures(now float64) float64 {
	return s.failures * math.Pow(0.5, max(now-s.failedAt, 0)/failureHalfLifeMs)
}

// NewLookupPacer returns a LookupPacer for the given number of servers and at most rate look-ups per second.
func NewLookupPacer(servers int, rate float64, random *rand.Rand) *LookupPacer {
	return &LookupPacer{random: random, servers: make([]serverHealth, servers), rate: rate, tokens: 1}
}

// Next returns the server to query now and counts a look-up against the rate limit. If no look-up is due or allowed, it
// returns -1 and the time (ms) to wait.
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

// refill adds the tokens for the time since the last refill. The bucket starts with one token.
func (l *LookupPacer) refill(now float64) {
	if l.refilledAt == 0 {
		l.tokens = 1
	} else {
		l.tokens = min(l.tokens+(now-l.refilledAt)*l.rate/1000, max(l.rate, 1))
	}
	l.refilledAt = now
}

// healthiest returns the server with the fewest failures, or the first of several.
func (l *LookupPacer) healthiest(now float64) (best int) {
	for i, s := range l.servers {
		if s.decayedFailures(now) < l.servers[best].decayedFailures(now) {
			best = i
		}
	}
	return best
}

// OnAnswer records an answer of a server with the given TTL (ms). negative means that the name or its records do not
// exist for that time.
func (l *LookupPacer) OnAnswer(now float64, server int, ttl float64, negative bool) {
	l.servers[server].failures, l.consecutiveFailures, l.backoffMs = 0, 0, 0
	ttl = min(max(ttl, minTTLMs), maxTTLMs)
	if negative {
		ttl = min(ttl, maxNegativeTTLMs)
	}
	l.nextAt = now + ttl*(minRefreshShare+(maxRefreshShare-minRefreshShare)*l.random.Float64())
}

// OnFailure records that a server did not answer, or sent an unusable answer. The next look-up, at the server with the
// fewest failures, is due immediately; after as many failures in a row as there are servers, the pacer backs off.
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
