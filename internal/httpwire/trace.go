package httpwire

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// The functions in this file log the course of each request at debug level: its acceptance, the result of each attempt,
// and its response. All lines carry the request's id. At higher levels they cost one comparison.

// attemptResultNames are the names of attempt results in the log.
var attemptResultNames = [...]string{
	policy.StatusServed:        "served",
	policy.StatusErrored:       "error",
	policy.StatusRejected:      "rejected",
	policy.StatusTimedOut:      "timeout",
	policy.StatusConnectFailed: "unconnected",
	policy.StatusReset:         "reset",
	policy.StatusCanceled:      "canceled",
	policy.StatusNotSent:       "unsent",
}

// actionNames are the names of a request's final action in the log.
var actionNames = [...]string{
	core.ActionSendAttempt: "attempt",
	core.ActionServe:       "served",
	core.ActionReject:      "rejected",
	core.ActionFail:        "failed",
	core.ActionAbandon:     "client left",
}

// nameOf returns the name at an index of a table, or a number if there is none: a missing name must not fail a request.
func nameOf[T ~uint8 | ~int](names []string, index T) string {
	if i := int(index); i >= 0 && i < len(names) && names[i] != "" {
		return names[i]
	}
	return fmt.Sprintf("unknown (%d)", index)
}

func traceEnabled() bool { return logrus.IsLevelEnabled(logrus.DebugLevel) }

// traceAccepted logs that a request was passed to the core.
func traceAccepted(request *core.Request, parsed parsedRequest) {
	if !traceEnabled() {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": request.ID, "class": parsed.className, "key": parsed.key, "retry": parsed.retry,
		"left_ms": int(parsed.timeLeft),
	}).Debug("request")
}

// traceAttempt logs the result of an attempt and the release of its backend. err is nil if the response was valid.
func traceAttempt(attempt *core.Attempt, result policy.AttemptStatus, err error) {
	if !traceEnabled() {
		return
	}
	entry := logrus.WithFields(logrus.Fields{
		"request": attempt.RequestID(), "attempt": attempt.Number(), "backend": attempt.Backend, "release": attempt.Release,
		"result": nameOf(attemptResultNames[:], result), "took_ms": int(attempt.Elapsed()),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Debug("attempt")
}

// traceAnswer logs the final action of a request and its reason.
func traceAnswer(request *core.Request, action core.Action) {
	if !traceEnabled() {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": request.ID, "answer": nameOf(actionNames[:], action.Kind), "reason": action.Reason,
		"took_ms": int(request.Age()),
	}).Debug("answer")
}
