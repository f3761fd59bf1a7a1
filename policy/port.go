// Package policy decides for one agent: where txns go, what they are answered, and how builds are voted on.
package policy

import "onyxgate/policy/release"

// Port is how the module acts. The bench's adapter and a live agent each bring one; times are milliseconds.
type Port interface {
	SendAttempt(txn, appliance string, limit float64)
	Reject(txn string, wait float64)
	Fail(txn string)
	CancelAttempt(txn string, submission int)
	SendVote(release ReleaseID, verdict Verdict, stage int)
	SendProbe(appliance string)
	SendMessage(agent int, note []byte)
	SetTimer(after float64, token uint64)
	WatchEndpoints()
	FetchEndpoints()
	Log(line string)
}

// Semantics says what a second run of a txn would do.
type Semantics uint8

const (
	Safe          Semantics = iota // may run again
	Idempotent                     // repeats are known by a mark
	NonIdempotent                  // must never run twice
)

// DedupScope is the set of appliances that drop each other's repeats of a referenced txn.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// RequestClass is one class of txn.
type RequestClass struct {
	LatencyObjective float64 // an answer within it earns the whole revenue
	ObjectivePerWork float64 // the SLA time grows by so many times the txn's own work
	Timeout          float64 // what a client waits for all its tries
	Value            float64
	LateValue        float64 // share of the revenue for an answer past the SLA time
	Semantics        Semantics
	DedupScope       DedupScope
	DedupWindow      float64 // how long the group drops repeats
	Streamed         bool
}

// EndpointState is what the list says of an appliance.
type EndpointState uint8

const (
	EndpointRunning EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Endpoint is one appliance as the list shows it.
type Endpoint struct {
	ID                        string
	Release                   ReleaseID
	State                     EndpointState
	Weight                    float64
	StartedAt                 float64 // time of its last start; 0: long ago
	Zone, HardwareClass, Cell int
}

// AttemptStatus is how a submission ended.
type AttemptStatus uint8

const (
	StatusServed        AttemptStatus = iota + 1
	StatusErrored                     // may have run
	StatusRejected                    // never ran
	StatusTimedOut                    // may still run
	StatusConnectFailed               // never ran
	StatusReset                       // may have run
	StatusCanceled                    // may have run
	StatusNotSent                     // never sent
)

// Request is one request as it arrives. Times are in milliseconds.
type Request struct {
	ID       string
	Key      string // requests with one key belong together; empty: it has none
	Class    int    // index into Config.Classes
	Tenant   int    // index into Config.Tenants.Quotas
	Retry    bool   // the client marks it as a repeat of an earlier request
	TimeLeft float64
	Work     float64 // as the client tells it, in any one unit; 0: not told
}

// LoadReport is what a backend tells of its load. The zero value stands for no report.
type LoadReport struct {
	Present bool
	Waiting float64 // requests that wait at the backend
	Busy    float64 // share of its capacity in use, 0 to 1
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // counted from 0 in each request
	Status    AttemptStatus
	Final     bool    // the request has its answer by this attempt or had it before
	Took      float64 // ms since the attempt was sent
	Load      LoadReport
}

// ProbeResult is the end of one load probe.
type ProbeResult struct {
	Backend string
	OK      bool
	Took    float64 // ms
	Load    LoadReport
}

// EndpointUpdate is what discovery tells: a snapshot replaces the endpoint list, anything else changes it.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Snapshot  bool
	Cached    bool // held since before the process started: discovery itself has told nothing yet
}

// ReleaseUpdate is the state of a release as the platform tells it, as a notice or in its response to a vote.
type ReleaseUpdate struct {
	Release  ReleaseID
	Stage    int
	Phase    Phase
	Cap      float64 // share of the requests taken that may go to the release, 0 to 1
	Age      float64 // ms for which the release has been in this state
	Response VoteResponse
	Known    bool // the fields above Response are told; the response to a vote may be all there is
}

// Verdict is what a vote says of a build.
type Verdict uint8

const (
	NoVerdict Verdict = iota
	Promote
	Hold
	Rollback
)

// ReleaseID identifies a release. A later release has a higher one.
type ReleaseID = release.ID

// UnknownRelease is the release of a backend of which no source has told one.
const UnknownRelease = release.Unknown

// Phase is where a release stands.
type Phase = release.Phase

const (
	RollingOut  = release.RollingOut
	RollingBack = release.RollingBack
	Released    = release.Released
	Withdrawn   = release.Withdrawn
)

// VoteResponse is how the platform answered a vote.
type VoteResponse uint8

const (
	NotAVote VoteResponse = iota // news, not an answer
	VoteCounted
	VoteRefused    // full or in error: it does not count
	VoteUnanswered // no answer: it may count
	VoteOutdated   // not the present build or stage
)

// String says by what a release's state was told.
func (r VoteResponse) String() string {
	if r == NotAVote {
		return "news"
	}
	return "a vote's answer"
}

// RolloutControl says what moves a stage on.
type RolloutControl uint8

const (
	ControlSingleVote RolloutControl = iota // one vote
	ControlMajority                         // a share of the agents
	ControlTimed                            // time; votes can only hold or send back
)
