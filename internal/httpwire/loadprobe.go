package httpwire

// Probes check whether a backend is alive and how loaded it is. They use the same connections as requests.

import (
	"net/http"
	"time"

	"onyxgate/policy"
)

const (
	probeTimeout  = 500 * time.Millisecond // from sending the request on an established connection
	alivePath     = "/alive"
	loadProbePath = "/metrics/load"
)

// Probe sends one load probe and reports its result to the core. It returns when the result is known.
func (u *Upstream) Probe(backend string) {
	startedAt := u.core.Now()
	address := u.address(backend)
	report, ok := u.probe(address)
	u.core.ReportProbe(policy.ProbeResult{Backend: backend, OK: ok, Elapsed: u.core.Now() - startedAt, Load: report})
}

// probe sends a load probe to an address and reports whether the backend responded with status 200. The load report is
// zero unless backends report their load in responses to probes.
func (u *Upstream) probe(address string) (report policy.LoadReport, ok bool) {
	c, err := u.conns.get(nil, address)
	if err != nil {
		return report, false
	}
	c.probeBody = nil // a duplicate of an earlier probe's response is as good as the response to this one
	timeout := time.AfterFunc(probeTimeout, c.Cancel)
	r, err := c.roundTrip(u.probeRequest(address))
	c.setReadTimeout(0)
	ok = err == nil && r.status == http.StatusOK
	inTime := timeout.Stop()
	if !inTime || err != nil || !c.reusable(r) {
		u.conns.discard(c)
	} else {
		if ok {
			c.probeBody = r.body
		}
		u.conns.put(c)
	}
	if ok && u.loadOnProbes {
		report = parseLoadReport(string(r.body))
	}
	return report, ok
}

func (u *Upstream) probeRequest(address string) []byte {
	path := alivePath
	if u.loadOnProbes {
		path = loadProbePath
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
}
