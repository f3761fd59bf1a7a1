package policy

import "onyxgate/policy/exposure"

// request is one open request.
type request struct {
	id, key           string
	class             int
	tenant            int
	arrivedAt         float64 // ms
	objectiveDeadline float64 // ms, until which an answer has the full value
	deadline          float64 // ms, by which it has its final answer
	value             float64
	relativeWork      float64 // its work over the mean request's; 1 where none is estimated
	workDivisor       float64 // its work as estimated; 1 where none is

	affinityKey     exposure.Key // 0: any release may serve it
	oldestRelease   ReleaseID    // the oldest release that may serve it, found when the affinity's changes were affinityChange-1
	affinityVersion uint64       // 0: not found yet

	attempts     []attempt
	openAttempts int
	ended        bool
	queued       bool // in the retry queue
	streaming    bool // its answer streams to the client: no deadline ends it any more
	probeRounds  int  // rounds of load probes for it since it was last without a place
	unprobed     bool // it goes on without an answered probe
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	backend         int // index of the backend
	release         ReleaseID
	affinityRelease ReleaseID // the release to which its answer may bind the key
	sentAt          float64   // ms
	lateAt          float64   // ms, after which its backend counts as late
	open            bool      // it has not ended
	notRun          bool      // its backend has certainly not run it
	countedLate     bool      // it was counted as late already
	canceled        bool
}

// isOpen says whether there is such an attempt and it has not ended.
func (req *request) isOpen(attempt int) bool {
	return attempt >= 0 && attempt < len(req.attempts) && req.attempts[attempt].open
}

// awaitsPlacement says whether the request still needs a backend.
func (req *request) awaitsPlacement() bool { return !req.ended && req.openAttempts == 0 }

// triedAt says whether an attempt of the request went to a backend.
func (req *request) hasTried(index int) bool {
	for k := range req.attempts {
		if req.attempts[k].backend == index {
			return true
		}
	}
	return false
}

// mayHaveRun says whether a backend may have run any attempt.
func (req *request) mayHaveRun() bool {
	for k := range req.attempts {
		if !req.attempts[k].notRun {
			return true
		}
	}
	return false
}
