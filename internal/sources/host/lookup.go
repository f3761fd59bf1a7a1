package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/dns"
)

const (
	// expireInterval is the minimum time between two checks for expired entries.
	expireInterval = 5 * time.Second
	// maxPause is the longest wait for the next look-up in one iteration of Run, so that entries expire and the state
	// file is saved in the meantime.
	maxPause = time.Second
)

// Run looks up the configured name and keeps the state file up to date until ctx is done. It returns immediately if
// no name is configured.
func (h *Host) Run(ctx context.Context) {
	if h.config.DNS.Name == "" {
		return
	}
	expiredAt := time.Now()
	for ctx.Err() == nil {
		h.lookUpOrWait(ctx)
		if time.Since(expiredAt) > expireInterval {
			expiredAt = time.Now()
			h.expire()
		}
		if h.clearUnsaved() {
			h.saveState()
		}
	}
	h.saveState()
}

// lookUpOrWait performs the next look-up if it is due. Otherwise it waits until the look-up is due, but no longer
// than maxPause.
func (h *Host) lookUpOrWait(ctx context.Context) {
	h.mu.Lock()
	server, waitMs := h.pacer.Next(h.fleet.Now())
	h.mu.Unlock()
	if server >= 0 {
		h.lookUp(ctx, server)
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMs*float64(time.Millisecond)), maxPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (h *Host) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.merger.Expire(h.fleet.Now()), updateOrigin{})
}

// clearUnsaved reports whether the state file was out of date, and clears that flag.
func (h *Host) clearUnsaved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	unsaved := h.unsaved
	h.unsaved = false
	return unsaved
}

// lookUp queries one server and passes the result to the merger.
func (h *Host) lookUp(ctx context.Context, server int) {
	address := h.config.DNS.Servers[server]
	answer, err := h.resolver.Lookup(ctx, address, h.config.DNS.Name)
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	doubtBefore := h.merger.Doubt[sources.SRV]
	h.counts.Lookups++
	h.counts.Questions = h.resolver.QuestionsSent
	if err != nil {
		h.counts.FailedLookups++
		h.pacer.OnFailure(h.fleet.Now(), server)
		h.merger.MarkDoubtful(sources.SRV, err.Error())
	} else {
		h.onAnswer(server, answer)
	}
	if doubt := h.merger.Doubt[sources.SRV]; (doubt == "") != (doubtBefore == "") {
		logrus.WithFields(logrus.Fields{
			"source": "srv", "server": address, "doubt": doubt, "observations": len(answer.Observations),
		}).Info("source doubt changed")
	}
}

// onAnswer applies the answer of a server. The caller holds the lock.
func (h *Host) onAnswer(server int, answer dns.Answer) {
	now, ttlMs := h.fleet.Now(), float64(answer.TTL)/float64(time.Millisecond)
	h.pacer.OnAnswer(now, server, ttlMs, answer.Negative)
	if answer.Negative {
		h.counts.NegativeAnswers++
		h.merger.MarkDoubtful(sources.SRV, "the service does not exist")
		return
	}
	if failpoint.Defect("undrain") {
		h.merger.ReopenRetired(answer.Observations)
	}
	h.apply(h.merger.UpdateResolved(now, answer.Observations), updateOrigin{})
	h.unsaved = true // the times at which addresses were last named have changed
}
