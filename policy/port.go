package policy

// Port carries out the actions of an instance. Its methods are called from within the instance's On methods and must
// not call back into the instance. Times are in ms.
type Port interface {
	// SendAttempt sends a request to a backend. The result is passed to Instance.OnAttemptResult. The attempts of a
	// request are numbered from 0 in the order of these calls. timeout limits the duration of the attempt; if it is 0,
	// only the request's deadline does.
	SendAttempt(request, backend string, timeout float64)
	// Reject answers a request that had no effect or may run again. The client may retry after retryAfter.
	Reject(request string, retryAfter float64)
	// Fail answers a request that may have run and must not run again.
	Fail(request string)
	// CancelAttempt cancels an open attempt. Its result is still passed to Instance.OnAttemptResult.
	CancelAttempt(request string, attempt int)
	// SendVote votes on a release in a stage. The response is passed to Instance.OnReleaseUpdate.
	SendVote(release ReleaseID, verdict Verdict, stage int)
	// SendProbe requests a load report from a backend. The result is passed to Instance.OnProbeResult.
	SendProbe(backend string)
	// SendMessage sends outcome summaries to another instance.
	SendMessage(instance int, message []byte)
	// SetTimer arranges for a call of Instance.OnTimer with token after the given time. A later timer does not replace
	// an earlier one.
	SetTimer(after float64, token uint64)
	// WatchEndpoints subscribes to changes of the endpoint list. Failures are passed to Instance.OnDiscoveryFailed.
	WatchEndpoints()
	// FetchEndpoints requests a snapshot of the endpoint list.
	FetchEndpoints()
	// Log writes a line for operators.
	Log(line string)
}
