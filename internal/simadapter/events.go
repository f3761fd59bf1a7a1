package simadapter

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/tidwall/gjson"

	"onyxgate/internal/siteconfig"
	"onyxgate/policy"
)

// The errors that Serve returns for events that cannot be delivered.
var (
	ErrNotStarted   = errors.New("event for an instance that is not started")
	ErrUnknownEvent = errors.New("unknown event")
)

// event is one event of the protocol.
type event struct {
	host     *host
	instance *instance
	now      float64 // ms
	fields   gjson.Result
}

// handlersBeforeStart handle events whether or not the instance is started, and handlersAfterStart only if it is. The
// keys are the protocol's event names.
var (
	handlersBeforeStart = map[string]func(event) error{
		"pool": event.pool,
		"init": event.start,
	}
	handlersAfterStart = map[string]func(event) error{
		"killed":           event.kill,
		"backends-changed": event.endpoints,
		"knock":            event.request,
		"head-received":    event.streamStarted,
		"done":             event.attemptResult,
		"hangup":           event.clientGone,
		"wakeup":           event.timer,
		"checked":          event.probeResult,
		"mail":             event.message,
		"promotion":        event.releaseUpdate,
		"counts-by-build":  event.platformCounts,
		"reported-wrong":   event.wrongAnswer,
	}
)

// handleEvent delivers one event to its instance. If the decisions panic, the panic's message is written as an action.
// The simulated day then ends with that message, and no action has to be guessed.
func (h *host) handleEvent(e event, name string) error {
	defer func() {
		if text := recover(); text != nil {
			e.instance.begin("panic").text("line", fmt.Sprint(text)).end()
		}
	}()
	if handle := handlersBeforeStart[name]; handle != nil {
		return handle(e)
	}
	if e.instance.policy == nil {
		return ErrNotStarted
	}
	if handle := handlersAfterStart[name]; handle != nil {
		return handle(e)
	}
	return ErrUnknownEvent
}

func (e event) pool() error { return e.host.setPool(e.fields) }

func (e event) start() error {
	config := siteconfig.InstanceConfig(e.fields.Get("profile-data"), e.fields.Get("prng").Uint(), 0)
	e.instance.policy = policy.New(e.instance, config)
	return nil
}

func (e event) kill() error {
	e.instance.policy = nil
	return nil
}

// endpoints delivers an endpoint list: a change (form D), a snapshot (F), a cached snapshot (C), or a notice that the
// list could not be retrieved (X).
func (e event) endpoints() error {
	form := e.fields.Get("form").Str
	if form == "X" {
		e.instance.policy.OnDiscoveryFailed(e.now)
		return nil
	}
	slot := e.fields.Get("slot").Int()
	knownForm := form == "D" || form == "F" || form == "C"
	if !validSlot(slot) || !knownForm {
		return &ValueError{Name: "list form or slot", Value: fmt.Sprintf("%q, slot %d", form, slot)}
	}
	e.instance.policy.OnEndpoints(e.now, policy.EndpointUpdate{
		Endpoints: e.host.pools[slot], Snapshot: form != "D", Cached: form == "C",
	})
	return nil
}

func (e event) request() error {
	e.instance.policy.OnRequest(e.now, policy.Request{
		ID: e.text("request-id"), Key: e.text("affinity"), Class: e.number("kind"), Tenant: e.number("owner"),
		Retry: e.fields.Get("is-retry").Bool(), TimeLeft: e.milliseconds("time-budget-us"), Work: e.milliseconds("hint-us"),
	})
	return nil
}

func (e event) streamStarted() error {
	e.instance.policy.OnStreamStarted(e.now, e.text("request-id"), e.number("copy"))
	return nil
}

func (e event) attemptResult() error {
	outcome := e.fields.Get("how").Int()
	if outcome < 1 || outcome >= int64(len(attemptStatuses)) {
		return newValueError("outcome", outcome)
	}
	e.instance.policy.OnAttemptResult(e.now, policy.AttemptResult{
		RequestID: e.text("request-id"), Attempt: e.number("copy"), Status: attemptStatuses[outcome],
		Final: e.fields.Get("final").Bool(), Elapsed: e.milliseconds("took-us"), Load: readLoad(e.fields.Get("feedback")),
	})
	return nil
}

func (e event) clientGone() error {
	e.instance.policy.OnClientGone(e.now, e.text("request-id"))
	return nil
}

func (e event) timer() error {
	e.instance.policy.OnTimer(e.now, e.fields.Get("label").Uint())
	return nil
}

func (e event) probeResult() error {
	e.instance.policy.OnProbeResult(e.now, policy.ProbeResult{
		Backend: e.text("appliance"), OK: e.number("how") == 1, Elapsed: e.milliseconds("took-us"),
		Load: readLoad(e.fields.Get("feedback")),
	})
	return nil
}

// message delivers a message from another instance. A message that is not valid base64 is damaged and gets dropped.
func (e event) message() error {
	if raw, err := base64.StdEncoding.DecodeString(e.text("raw")); err == nil {
		e.instance.policy.OnMessage(e.now, raw)
	}
	return nil
}

func (e event) releaseUpdate() error {
	phase := e.fields.Get("standing").Int()
	if phase < 0 || phase >= int64(len(phases)) {
		return newValueError("standing", phase)
	}
	status := e.fields.Get("status").Int()
	response := policy.NotAVote
	if e.number("how") == 1 {
		response = voteResponses[status]
	}
	e.instance.policy.OnReleaseUpdate(e.now, policy.ReleaseUpdate{
		Release: policy.ReleaseID(e.fields.Get("ver").Int()), Stage: e.number("wave"), Phase: phases[phase],
		Cap: e.fields.Get("ceiling").Num, Age: e.milliseconds("old-us"), Response: response, HasState: status == 1,
	})
	return nil
}

func (e event) platformCounts() error {
	e.instance.policy.OnPlatformCounts(e.now)
	return nil
}

func (e event) wrongAnswer() error {
	e.instance.policy.OnWrongAnswer(e.now, e.text("appliance"), e.number("kind"), e.milliseconds("old-us"))
	return nil
}

func (e event) text(field string) string { return e.fields.Get(field).Str }

func (e event) number(field string) int { return int(e.fields.Get(field).Int()) }

// milliseconds converts a field in microseconds.
func (e event) milliseconds(field string) float64 {
	return siteconfig.Milliseconds(e.fields.Get(field))
}
