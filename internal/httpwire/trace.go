package httpwire

// This file owns the debug lines that follow one request: taken, each attempt, and its end, all by the request's id. It must
// cost nothing but a comparison where the level is above debug.

import (
	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// resultNames are the words by which attempts' results appear in the log.
var resultNames = [...]string{
	policy.StatusServed: "served", policy.StatusErrored: "error", policy.StatusRejected: "rejected",
	policy.StatusTimedOut: "timeout", policy.StatusConnectFailed: "unconnected", policy.StatusReset: "reset", policy.StatusCanceled: "canceled",
	policy.StatusNotSent: "unsent",
}

// answerNames are the words by which a request's end appears in the log.
var answerNames = [...]string{
	core.ActionSendAttempt: "attempt", core.ActionServe: "served", core.ActionReject: "rejected", core.ActionFail: "failed",
	core.ActionAbandon: "client left",
}

func traceEnabled() bool { return logrus.IsLevelEnabled(logrus.DebugLevel) }

// traceAccepted logs that a request was handed to the decisions.
func traceAccepted(request *core.Request, parsed parsedRequest) {
	if !traceEnabled() {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": request.ID, "class": parsed.className, "key": parsed.key, "retry": parsed.retry,
		"left_ms": int(parsed.timeLeft),
	}).Debug("request")
}

// traceAttempt logs how an attempt ended, and at which release's backend.
func traceAttempt(s *core.Attempt, result policy.AttemptStatus, err error) {
	if !traceEnabled() {
		return
	}
	entry := logrus.WithFields(logrus.Fields{
		"request": s.RequestID(), "attempt": s.Number(), "backend": s.Backend,
		"release": s.Release, "result": resultNames[result], "took_ms": int(s.Elapsed()),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Debug("attempt")
}

// traceAnswer logs a request's one final answer and the reason for it.
func traceAnswer(t *core.Request, a core.Action) {
	if traceEnabled() {
		logrus.WithFields(logrus.Fields{
			"request": t.ID, "answer": answerNames[a.Kind], "reason": a.Reason,
			"took_ms": int(t.Age()),
		}).Debug("answer")
	}
}
