package httpwire

// This file asks one backend whether it is alive and how loaded it is, on a connection like any other.

import (
	"net/http"
	"time"

	"onyxgate/policy"
)

const (
	probeTimeout  = 500 * time.Millisecond // from the request on, with the connection up
	alivePath     = "/alive"
	loadProbePath = "/metrics/load"
)

// Probe sends one load probe and reports its result to the core, whatever it is. It returns when the result is there.
func (u *Upstream) Probe(backend string) {
	startedAt := u.core.Now()
	address := u.address(backend)
	report, ok := u.probe(address)
	u.core.ReportProbe(policy.ProbeResult{Backend: backend, OK: ok, Elapsed: u.core.Now() - startedAt, Load: report})
}

// probe asks the backend at an address and reports whether it said 200. The load report is the zero one where backends report
// their load otherwise.
func (u *Upstream) probe(address string) (report policy.LoadReport, ok bool) {
	c, err := u.conns.get(nil, address)
	if err != nil {
		return report, false
	}
	c.probeBody = nil // of two probes' responses either will do
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
