package httpwire

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// The debug lines of this file follow one request by its id: accepted, the result of each attempt, and its answer. Where the
// level is above debug they cost a comparison.

// attemptResultNames are the words by which the results of attempts appear in the log.
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

// answerNames are the words by which a request's end appears in the log.
var answerNames = [...]string{
	core.ActionSendAttempt: "attempt",
	core.ActionServe:       "served",
	core.ActionReject:      "rejected",
	core.ActionFail:        "failed",
	core.ActionAbandon:     "client left",
}

// nameOf returns the word at an index of a table, or the number where the table has none: a log line must not fail a request.
func nameOf[T ~uint8 | ~int](names []string, index T) string {
	if i := int(index); i >= 0 && i < len(names) && names[i] != "" {
		return names[i]
	}
	return fmt.Sprintf("unknown (%d)", index)
}

func traceEnabled() bool { return logrus.IsLevelEnabled(logrus.DebugLevel) }

// traceAccepted logs that a request was handed to the core.
func traceAccepted(request *core.Request, parsed parsedRequest) {
	if !traceEnabled() {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": request.ID, "class": parsed.className, "key": parsed.key, "retry": parsed.retry,
		"left_ms": int(parsed.timeLeft),
	}).Debug("request")
}

// traceAttempt logs how an attempt ended, and at which release's backend. The error says why, nil where the backend answered.
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

// traceAnswer logs a request's one answer and the reason for it.
func traceAnswer(request *core.Request, action core.Action) {
	if !traceEnabled() {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": request.ID, "answer": nameOf(answerNames[:], action.Kind), "reason": action.Reason,
		"took_ms": int(request.Age()),
	}).Debug("answer")
}
