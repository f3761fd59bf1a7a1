package policy

import "onyxgate/policy/exposure"

// request is an open request.
type request struct {
	id, key           string
	class             int
	tenant            int
	arrivedAt         float64 // ms
	objectiveDeadline float64 // ms, time until which a response has the full value
	deadline          float64 // ms, time by which the request gets its final answer
	value             float64
	relativeWork      float64 // work relative to the mean request; 1 without an estimate
	workDivisor       float64 // estimated work; 1 without an estimate

	affinityKey     exposure.Key // 0: any release may serve it
	oldestRelease   ReleaseID    // oldest release that may serve it, as of version affinityVersion-1 of the affinity
	affinityVersion uint64       // 0: oldestRelease is not set

	attempts     []attempt
	openAttempts int
	ended        bool
	queued       bool // in the retry queue
	streaming    bool // the response is being streamed to the client, so the request is not ended at its deadline
	probeRounds  int  // rounds of load probes since the request arrived or its last attempt ended
	unprobed     bool // routed without an answered probe
}

// attempt is an attempt of a request at a backend.
type attempt struct {
	backend         int // index of the backend
	release         ReleaseID
	affinityRelease ReleaseID // the release to which the key may get affinity
	sentAt          float64   // ms
	lateAt          float64   // ms, time after which the attempt counts as late against its backend
	open            bool      // not ended
	notRun          bool      // the backend has certainly not run it
	countedLate     bool      // the result is no longer counted in the health record and the concurrency limit
	canceled        bool
}

// isOpen reports whether the request has an open attempt with the given number.
func (req *request) isOpen(attempt int) bool {
	return attempt >= 0 && attempt < len(req.attempts) && req.attempts[attempt].open
}

// awaitsPlacement reports whether the request still needs a backend.
func (req *request) awaitsPlacement() bool { return !req.ended && req.openAttempts == 0 }

// hasTried reports whether an attempt of the request went to the backend with the given index.
func (req *request) hasTried(index int) bool {
	for k := range req.attempts {
		if req.attempts[k].backend == index {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether any attempt may have run at its backend.
func (req *request) mayHaveRun() bool {
	for k := range req.attempts {
		if !req.attempts[k].notRun {
			return true
		}
	}
	return false
}
