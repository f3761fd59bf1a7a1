package core

import "onyxgate/policy"

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionSendAttempt asks the handler to carry out an attempt. Any other action is the last one of its request.
	ActionSendAttempt ActionKind = iota
	// ActionServe asks the handler to write the response of a backend, held in the action.
	ActionServe
	// ActionReject asks the handler to write a response telling the client that it is safe to retry after
	// Action.RetryAfter.
	ActionReject
	// ActionFail asks the handler to write a response telling the client that the request may have been executed.
	ActionFail
	// ActionAbandon means that the client is gone and nothing is written.
	ActionAbandon
)

var actionNames = [...]string{
	ActionSendAttempt: "attempt", ActionServe: "served", ActionReject: "rejected", ActionFail: "failed", ActionAbandon: "client left",
}

// String returns the name of the kind used in logs.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return "unknown"
	}
	return actionNames[k]
}

// Response is the response of a backend, in the representation of the front that read it. Core passes it on
// unchanged.
type Response interface {
	// Bytes returns the body as sent to the client.
	Bytes() []byte
}

// Action is what the handler of a request has to do next.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt // set for ActionSendAttempt
	RetryAfter float64  // ms, set for ActionReject; 0: the response gives no retry time
	Response   Response // set for ActionServe; nil if the attempt returned none
	Reason     string   // one word stating why the request ended; empty only for ActionSendAttempt
}

// Reasons that do not come from the result of an attempt. Like those in attemptReasons, they are stored in the record
// and written to logs, so their text must not change.
const (
	reasonUntried       = "none"     // no attempt was made
	reasonUnanswered    = "late"     // an attempt was still open, or none had ended
	reasonHandlerFailed = "failed"   // the handler failed
	reasonWatchdog      = "watchdog" // the decisions did not answer in time
)

// attemptReasons maps the status of a request's last attempt to the reason why the request ended.
var attemptReasons = [...]string{
	policy.StatusServed: "answered", policy.StatusErrored: "errored", policy.StatusRejected: "rejected",
	policy.StatusTimedOut: "timeout", policy.StatusConnectFailed: "unconnected", policy.StatusReset: "broken",
	policy.StatusCanceled: "revoked", policy.StatusNotSent: "unsent",
}

// reason returns one word stating why the request ends with this action. The caller holds the lock.
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
