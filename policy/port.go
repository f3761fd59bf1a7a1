package policy

// Port carries out an instance's actions. Its methods are called while one of the instance's On methods runs and must not call back into
// the instance. Times are in ms.
type Port interface {
	// SendAttempt sends a request to a backend; its end comes back by Instance.OnAttemptResult. Attempts of a request are numbered from 0
	// in the order of these calls. timeout is how long the attempt may take; 0: as long as the request.
	SendAttempt(request, backend string, timeout float64)
	// Reject answers a request that has had no effect or may run again, with the time after which the client may retry.
	Reject(request string, retryAfter float64)
	// Fail answers a request that may have run and must not run again.
	Fail(request string)
	// CancelAttempt cancels an open attempt.
	CancelAttempt(request string, attempt int)
	// SendVote votes on a release in a stage; the response comes back by Instance.OnReleaseUpdate.
	SendVote(release ReleaseID, verdict Verdict, stage int)
	// SendProbe asks a backend for its load; the result comes back by Instance.OnProbeResult.
	SendProbe(backend string)
	// SendMessage sends outcome summaries to another instance.
	SendMessage(instance int, message []byte)
	// SetTimer calls Instance.OnTimer with the token after a time. A later timer does not replace an earlier one.
	SetTimer(after float64, token uint64)
	// WatchEndpoints subscribes to changes of the endpoint list; a failure comes back by Instance.OnEndpointsFailed.
	WatchEndpoints()
	// FetchEndpoints asks for a snapshot of the endpoint list.
	FetchEndpoints()
	// Log writes a line for operators.
	Log(line string)
}
