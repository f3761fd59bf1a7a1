package httpwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"

	"onyxgate/policy"
)

// At level debug the log shows the whole course of a request under its id. At higher levels nothing about it is logged.
func TestTrace(t *testing.T) {
	for _, c := range []struct {
		name  string
		level logrus.Level
		peer  string // the backend's response
		want  []string
	}{
		{
			"served", logrus.DebugLevel, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			[]string{"msg=request class=look key=7", "msg=attempt attempt=0 backend=s level=debug release=1 request=r1 result=served", "msg=answer answer=served level=debug reason=answered request=r1"},
		},
		{
			"rejected", logrus.DebugLevel, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
			[]string{"result=rejected", "answer=rejected level=debug reason=rejected"},
		},
		{"level info", logrus.InfoLevel, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := captureLog(t, c.level)
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": answerOnce(c.peer)}, NewSockets(0))
				instance.roundTrip(t, "GET /look/7 HTTP/1.1\r\nHost: a\r\nReq-Id: r1\r\nReq-Deadline: 900m\r\n\r\n")
				instance.close()
			})
			rest := log.String()
			for _, want := range c.want {
				at := strings.Index(rest, want)
				if at < 0 {
					t.Fatalf("log lacks %q, or has it in another order:\n%s", want, log.String())
				}
				rest = rest[at:]
			}
			if c.want == nil && strings.Contains(rest, "r1") {
				t.Errorf("log at level info mentions r1:\n%s", rest)
			}
		})
	}
}

// A value without a name is logged as a number.
func TestNameOf(t *testing.T) {
	for _, c := range []struct {
		name   string
		result policy.AttemptStatus
		want   string
	}{
		{"first", policy.StatusServed, "served"},
		{"last", policy.StatusNotSent, "unsent"},
		{"unknown", policy.StatusNotSent + 1, fmt.Sprintf("unknown (%d)", policy.StatusNotSent+1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := nameOf(attemptResultNames[:], c.result); got != c.want {
				t.Errorf("nameOf(%d) = %q, want %q", c.result, got, c.want)
			}
		})
	}
}

// captureLog captures the log at the given level until the test ends.
func captureLog(t *testing.T, level logrus.Level) *bytes.Buffer {
	t.Helper()
	logger := logrus.StandardLogger()
	out, oldLevel, formatter := logger.Out, logger.Level, logger.Formatter
	t.Cleanup(func() {
		logrus.SetOutput(out)
		logrus.SetLevel(oldLevel)
		logrus.SetFormatter(formatter)
	})
	var log bytes.Buffer
	logrus.SetOutput(&log)
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true, SortingFunc: messageFirst})
	return &log
}

// messageFirst sorts the fields of a log line: the message first, then the others by name.
func messageFirst(names []string) {
	for i := range names {
		for k := i; k > 0; k-- {
			before, after := names[k-1], names[k]
			if after == "msg" && before != "msg" || before != "msg" && after < before {
				names[k-1], names[k] = after, before
			}
		}
	}
}
