package policy

import (
	"onyxgate/policy/endpoints"
	"onyxgate/policy/release"
	"onyxgate/policy/verdict"
)

// This file owns the messages between an instance and its host.

// Semantics says what a second run of a request would do.
type Semantics uint8

// Semantics of a request.
const (
	Safe          Semantics = iota // it has no effect and may run again
	Idempotent                     // backends recognize a repeat by its idempotency key
	NonIdempotent                  // it must never run twice
)

// DedupScope is the set of backends that drop each other's repeats of an idempotent request.
type DedupScope uint8

// Scopes of deduplication: all backends, those of one zone, those of one cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// RequestClass is what requests of one kind have in common. Times are in ms.
type RequestClass struct {
	LatencyObjective float64 // an answer within it has the full value
	ObjectivePerWork float64 // ms added to the objective for each unit of the request's work
	Timeout          float64 // that a client waits, for all its tries together
	Value            float64 // in any one unit
	LateValue        float64 // share of the value for an answer past the objective
	Semantics        Semantics
	DedupScope       DedupScope
	DedupWindow      float64 // for which the backends in scope drop repeats
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

// Endpoint is one backend as the endpoint list shows it.
type Endpoint = endpoints.Endpoint

// EndpointUpdate is a watch event: a snapshot replaces the endpoint list, anything else changes it.
type EndpointUpdate struct {
	Endpoints []Endpoint
	Snapshot  bool
	Cached    bool // stored since before the process started: discovery itself has sent nothing yet
}

// AttemptStatus is how an attempt ended.
type AttemptStatus uint8

// Ends of an attempt, and what each says of whether it ran at the backend.
const (
	StatusServed        AttemptStatus = iota + 1 // ran
	StatusErrored                                // may have run
	StatusRejected                               // never ran
	StatusTimedOut                               // may still run
	StatusConnectFailed                          // never ran
	StatusReset                                  // may have run
	StatusCanceled                               // may have run
	StatusNotSent                                // never sent
)

// provesNotRun says whether the backend has certainly not run the attempt.
func (s AttemptStatus) provesNotRun() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotSent
}

// Request is one request as it arrives.
type Request struct {
	ID       string  // not used by any other open request
	Key      string  // requests with one key belong together; empty: it has none
	Class    int     // index into Config.Classes
	Tenant   int     // index into Config.Tenants.Quotas
	Retry    bool    // the client marks it as a repeat of an earlier request
	TimeLeft float64 // ms until its deadline
	Work     float64 // as the client estimates it, in any one unit; 0: no estimate
}

// LoadReport is what a backend says of its load. The zero value stands for no report.
type LoadReport struct {
	Present     bool
	Waiting     float64 // requests that wait at the backend
	Utilization float64 // share of its capacity in use, 0 to 1
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // counted from 0 in each request
	Status    AttemptStatus
	Final     bool    // the request has its answer by this attempt or had it before
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

// ReleaseID identifies a release. A later release has a higher one.
type ReleaseID = release.ID

// UnknownRelease is the release of a backend for which no source has named one.
const UnknownRelease = release.Unknown

// Phase is the phase that a release is in.
type Phase = release.Phase

// Phases of a release.
const (
	RollingOut  = release.RollingOut
	RollingBack = release.RollingBack
	Released    = release.Released
	Withdrawn   = release.Withdrawn
)

// ReleaseUpdate is the state of a release as the platform sends it, as a notice or in its response to a vote.
type ReleaseUpdate struct {
	Release  ReleaseID
	Stage    int
	Phase    Phase
	Cap      float64 // share of the requests taken that may go to the release, 0 to 1
	Age      float64 // ms for which the release has been in this state
	Response VoteResponse
	HasState bool // the fields above Response are set; the response to a vote may be all there is
}

// Verdict is what a vote says of a release.
type Verdict = verdict.Verdict

// Verdicts on a release.
const (
	NoVerdict = verdict.NoVerdict
	Promote   = verdict.Promote
	Hold      = verdict.Hold
	Rollback  = verdict.Rollback
)

// VoteResponse is how the platform responded to a vote.
type VoteResponse = verdict.VoteResponse

// Responses to a vote.
const (
	NotAVote       = verdict.NotAVote
	VoteCounted    = verdict.VoteCounted
	VoteRefused    = verdict.VoteRefused
	VoteUnanswered = verdict.VoteUnanswered
	VoteOutdated   = verdict.VoteOutdated
)

// RolloutControl says what moves a rollout to its next stage.
type RolloutControl = verdict.RolloutControl

// Controls of a rollout.
const (
	ControlSingleVote = verdict.ControlSingleVote
	ControlMajority   = verdict.ControlMajority
	ControlTimed      = verdict.ControlTimed
)
