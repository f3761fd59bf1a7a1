package policy

import (
	"onyxgate/policy/endpoints"
	"onyxgate/policy/release"
	"onyxgate/policy/verdict"
)

// Semantics describes the effect of running a request twice.
type Semantics uint8

// Semantics of a request.
const (
	Safe          Semantics = iota // no side effects; may run again
	Idempotent                     // backends recognize a repeat by its idempotency key
	NonIdempotent                  // must never run twice
)

// DedupScope is the set of backends that deduplicate repeats of an idempotent request among each other.
type DedupScope uint8

// Deduplication scopes: all backends, the backends of one zone, or those of one cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// RequestClass holds the properties shared by requests of one kind. Times are in ms.
type RequestClass struct {
	LatencyObjective float64 // a response within it has the full value
	ObjectivePerWork float64 // ms added to the objective per unit of the request's work
	Timeout          float64 // time that a client waits, including all its retries
	Value            float64 // in an arbitrary unit
	LateValue        float64 // share of the value that a response after the objective has
	Semantics        Semantics
	DedupScope       DedupScope
	DedupWindow      float64 // how long the backends in scope recognize repeats
	Streamed         bool
}

// EndpointState is the state of a backend in the endpoint list.
type EndpointState = endpoints.State

// States of a backend.
const (
	EndpointRunning  = endpoints.Running
	EndpointDraining = endpoints.Draining
	EndpointRemoved  = endpoints.Removed
)

// Endpoint is the entry of one backend in the endpoint list.
type Endpoint = endpoints.Endpoint

// EndpointUpdate is an update of the endpoint list: a snapshot, which replaces the list, or a set of changes.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Snapshot  bool
	Cached    bool // loaded from storage at startup, not received from discovery
}

// AttemptStatus is the result of an attempt.
type AttemptStatus uint8

// Results of an attempt. The comments state whether the backend ran the attempt.
const (
	StatusServed        AttemptStatus = iota + 1 // ran
	StatusErrored                                // may have run; the backend answered with an error
	StatusRejected                               // never ran
	StatusTimedOut                               // may still run
	StatusConnectFailed                          // never ran
	StatusReset                                  // may have run; the connection broke
	StatusCanceled                               // may have run
	StatusNotSent                                // never sent
)

// provesNotRun reports whether the backend has certainly not run the attempt.
func (s AttemptStatus) provesNotRun() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Request is a newly arrived request.
type Request struct {
	ID       string  // unique among the open requests
	Key      string  // affinity key, shared by related requests; empty: none
	Class    int     // index into Config.Classes
	Tenant   int     // index into Config.Tenants.Quotas; beyond its end: no quota
	Retry    bool    // the client marked it as a repeat of an earlier request
	TimeLeft float64 // ms until its deadline
	Work     float64 // client's estimate in an arbitrary unit; 0: no estimate
}

// LoadReport is the load that a backend reports. The zero value means that there is no report.
type LoadReport struct {
	Present     bool
	Waiting     float64 // number of requests queued at the backend
	Utilization float64 // share of its capacity in use, 0 to 1
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // number of the attempt within its request, from 0
	Status    AttemptStatus
	Final     bool    // the request has been answered, by this attempt or before
	Elapsed   float64 // ms since the attempt was sent
	Load      LoadReport
}

// ProbeResult is the end of one load probe.
type ProbeResult struct {
	Backend string
	OK      bool
	Elapsed float64 // ms
	Load    LoadReport
}

// ReleaseID identifies a release. Later releases have higher IDs.
type ReleaseID = release.ID

// UnknownRelease is the release of a backend whose release no source has reported.
const UnknownRelease = release.Unknown

// Phase is the phase of a release.
type Phase = release.Phase

// Phases of a release.
const (
	RollingOut  = release.RollingOut
	RollingBack = release.RollingBack
	Released    = release.Released
	Withdrawn   = release.Withdrawn
)

// ReleaseUpdate is the state of a release as sent by the platform, either as a notification or in the response to a
// vote.
type ReleaseUpdate struct {
	Release  ReleaseID
	Stage    int
	Phase    Phase
	Cap      float64 // share of the received requests that may go to the release, 0 to 1
	Age      float64 // ms since the release entered this state
	Response VoteResponse
	HasState bool // the fields above Response are set; the response to a vote may come without them
}

// Verdict is the content of a vote on a release.
type Verdict = verdict.Verdict

// Verdicts on a release.
const (
	NoVerdict = verdict.NoVerdict
	Promote   = verdict.Promote
	Hold      = verdict.Hold
	Rollback  = verdict.Rollback
)

// VoteResponse is the platform's response to a vote.
type VoteResponse = verdict.VoteResponse

// Responses to a vote.
const (
	NotAVote       = verdict.NotAVote
	VoteCounted    = verdict.VoteCounted
	VoteRefused    = verdict.VoteRefused
	VoteUnanswered = verdict.VoteUnanswered
	VoteOutdated   = verdict.VoteOutdated
)

// RolloutControl selects what advances a rollout to its next stage.
type RolloutControl = verdict.RolloutControl

// Kinds of rollout control.
const (
	ControlSingleVote = verdict.ControlSingleVote
	ControlMajority   = verdict.ControlMajority
	ControlTimed      = verdict.ControlTimed
)
