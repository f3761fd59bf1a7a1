package core

import (
	"testing"

	"onyxgate/policy"
)

// Every kind of action has a name in logs, and an invalid kind is "unknown".
func TestActionKindString(t *testing.T) {
	for _, c := range []struct {
		kind ActionKind
		want string
	}{
		{ActionSendAttempt, "attempt"},
		{ActionServe, "served"},
		{ActionReject, "rejected"},
		{ActionFail, "failed"},
		{ActionAbandon, "client left"},
		{ActionAbandon + 1, "unknown"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.kind.String(); got != c.want {
				t.Errorf("ActionKind(%d).String() = %q, want %q", uint8(c.kind), got, c.want)
			}
		})
	}
}

// The reasons why a request ended are stored in the record and must not change.
func TestReasons(t *testing.T) {
	tried := []*Attempt{{}}
	for _, c := range []struct {
		name    string
		request Request
		action  Action
		want    string
	}{
		{"a reason given", Request{attempts: tried}, Action{Kind: ActionReject, Reason: "room"}, "room"},
		{"served", Request{attempts: tried, lastStatus: policy.StatusReset}, Action{Kind: ActionServe}, "answered"},
		{"no attempt", Request{}, Action{Kind: ActionReject}, "none"},
		{"an open attempt", Request{attempts: tried, openAttempts: 1, lastStatus: policy.StatusReset}, Action{Kind: ActionFail}, "late"},
		{"no result yet", Request{attempts: tried}, Action{Kind: ActionFail}, "late"},
		{"served too late", Request{attempts: tried, lastStatus: policy.StatusServed}, Action{Kind: ActionFail}, "answered"},
		{"errored", Request{attempts: tried, lastStatus: policy.StatusErrored}, Action{Kind: ActionFail}, "errored"},
		{"rejected", Request{attempts: tried, lastStatus: policy.StatusRejected}, Action{Kind: ActionReject}, "rejected"},
		{"timed out", Request{attempts: tried, lastStatus: policy.StatusTimedOut}, Action{Kind: ActionFail}, "timeout"},
		{"connect failed", Request{attempts: tried, lastStatus: policy.StatusConnectFailed}, Action{Kind: ActionReject}, "unconnected"},
		{"reset", Request{attempts: tried, lastStatus: policy.StatusReset}, Action{Kind: ActionFail}, "broken"},
		{"canceled", Request{attempts: tried, lastStatus: policy.StatusCanceled}, Action{Kind: ActionFail}, "revoked"},
		{"not sent", Request{attempts: tried, lastStatus: policy.StatusNotSent}, Action{Kind: ActionReject}, "unsent"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.request.reason(c.action); got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
	for got, want := range map[string]string{reasonHandlerFailed: "failed", reasonWatchdog: "watchdog"} {
		if got != want {
			t.Errorf("reason %q, want %q", got, want)
		}
	}
}
