package host

// This file owns the goroutine that looks names up.

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/dns"
)

const (
	// expireInterval is the time between two looks for what is too old.
	expireInterval = 5 * time.Second
	// maxPause is the longest wait between two looks for what is to be done.
	maxPause = time.Second
)

// Run looks names up until ctx ends, and keeps the state file up to date. It returns at once where no name is configured.
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

// lookUpOrWait makes the next look-up if it is due, and else waits for it, but no longer than maxPause.
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

// takeUnsaved reports whether the state file is out of date, and resets that.
func (h *Host) clearUnsaved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	unsaved := h.unsaved
	h.unsaved = false
	return unsaved
}

// lookUp asks one server and gives the merger what came of it.
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

// onAnswer takes a server's answer; the caller holds the lock.
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
	h.unsaved = true // when each address was last named
}
