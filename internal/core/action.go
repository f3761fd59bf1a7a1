package core

// This file owns what a request's handler is asked to do, and the words that say why a request ended.

import "onyxgate/policy"

// ActionKind is what a request's handler is asked to do.
type ActionKind uint8

const (
	// ActionSendAttempt asks for an attempt to be carried out. Every other action is the last one of its request.
	ActionSendAttempt ActionKind = iota
	// ActionServe asks for the response of a backend, Action.Answer, to be written.
	ActionServe
	// ActionReject asks for a response that says that trying again is harmless, after Action.RetryAfter.
	ActionReject
	// ActionFail asks for a response that says that the request may have run.
	ActionFail
	// ActionAbandon says that the client has gone: nothing is written.
	ActionAbandon
)

var actionNames = [...]string{
	ActionSendAttempt: "attempt", ActionServe: "served", ActionReject: "rejected", ActionFail: "failed", ActionAbandon: "client left",
}

// String is the kind's word in logs.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[k]
}

// Response is the response of a backend as the front that read it keeps it. Core only passes it on.
type Response interface {
	// Bytes is the body as the client gets it.
	Bytes() []byte
}

// Action is one entry in the queue of a request's handler.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt // with ActionSendAttempt
	RetryAfter float64  // ms, with ActionReject; 0: the response names no time
	Response   Response // with ActionServe; nil where the attempt brought none
	Reason     string   // one word: why the request ended so; empty with ActionSendAttempt and in no other
}

// The reasons that no attempt's end gives. They stand in the record and the logs as they are here, as those of attemptReasons do.
const (
	reasonUntried       = "none"     // no attempt was made
	reasonUnanswered    = "late"     // no attempt had ended yet
	reasonHandlerFailed = "failed"   // the front failed
	reasonWatchdog      = "watchdog" // the decisions had not answered in time
)

// attemptReasons are the reasons that the ends of attempts give.
var attemptReasons = [...]string{
	policy.StatusServed: "answered", policy.StatusErrored: "errored", policy.StatusRejected: "rejected",
	policy.StatusTimedOut: "timeout", policy.StatusConnectFailed: "unconnected", policy.StatusReset: "broken",
	policy.StatusCanceled: "revoked", policy.StatusNotSent: "unsent",
}

// reason is one word for why a request ends by this action; under the lock.
func (r *Request) reason(action Action) string {
	switch {
	case action.Reason != "":
		return action.Reason
	case action.Kind == ActionServe:
		return attemptReasons[policy.StatusServed]
	case len(r.attempts) == 0:
		return reasonUntried
	case r.openAttempts > 0 || r.lastStatus == 0:
		return reasonUnanswered
	}
	return attemptReasons[r.lastStatus]
}
