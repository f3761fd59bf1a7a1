package simadapter

import (
	"encoding/base64"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/policy"
)

// action encodes one action: begin, its fields in the order of the protocol, end.
type action struct {
	instance *instance
	fields   int
}

// begin starts an action with the given protocol name.
func (i *instance) begin(name string) *action {
	if len(i.actions) > 0 {
		i.actions = append(i.actions, ',')
	}
	i.actions = append(i.actions, `{"`+name+`":{`...)
	return &action{instance: i}
}

// field starts a field. Names come from the protocol and need no escaping.
func (a *action) field(name string) {
	if a.fields > 0 {
		a.instance.actions = append(a.instance.actions, ',')
	}
	a.fields++
	a.instance.actions = append(a.instance.actions, `"`+name+`":`...)
}

func (a *action) text(name, value string) *action {
	a.field(name)
	a.instance.actions = gjson.AppendJSONString(a.instance.actions, value)
	return a
}

func (a *action) number(name string, value int) *action {
	a.field(name)
	a.instance.actions = strconv.AppendInt(a.instance.actions, int64(value), 10)
	return a
}

func (a *action) unsigned(name string, value uint64) *action {
	a.field(name)
	a.instance.actions = strconv.AppendUint(a.instance.actions, value, 10)
	return a
}

func (a *action) flag(name string, value bool) *action {
	a.field(name)
	a.instance.actions = strconv.AppendBool(a.instance.actions, value)
	return a
}

// microseconds writes a time in ms as a whole number of microseconds, the unit of the protocol.
func (a *action) microseconds(name string, value float64) *action {
	a.field(name)
	a.instance.actions = strconv.AppendInt(a.instance.actions, int64(value*1000+0.5), 10)
	return a
}

func (a *action) end() { a.instance.actions = append(a.instance.actions, "}}"...) }

// The following methods implement policy.Port. Each of them writes one action.

// SendAttempt implements policy.Port.
func (i *instance) SendAttempt(requestID, backend string, limit float64) {
	i.begin("place").text("request-id", requestID).text("appliance", backend).microseconds("limit-us", limit).end()
}

// Reject implements policy.Port.
func (i *instance) Reject(requestID string, retryAfter float64) {
	i.begin("deny").text("request-id", requestID).microseconds("wait-us", retryAfter).end()
}

// Fail implements policy.Port.
func (i *instance) Fail(requestID string) { i.begin("surrender").text("request-id", requestID).end() }

// CancelAttempt implements policy.Port.
func (i *instance) CancelAttempt(requestID string, attempt int) {
	i.begin("revoke").text("request-id", requestID).number("copy", attempt).end()
}

// SendVote implements policy.Port.
func (i *instance) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	i.begin("say-so").number("ver", int(release)).number("how", verdictNumbers[verdict]).number("wave", stage).end()
}

// SendProbe implements policy.Port.
func (i *instance) SendProbe(backend string) { i.begin("probe").text("appliance", backend).end() }

// SendMessage implements policy.Port.
func (i *instance) SendMessage(recipient int, message []byte) {
	i.begin("signal").number("recipient", recipient).text("raw", base64.StdEncoding.EncodeToString(message)).end()
}

// SetTimer implements policy.Port.
func (i *instance) SetTimer(after float64, token uint64) {
	i.begin("notify-me").microseconds("after-us", after).unsigned("label", token).end()
}

// WatchEndpoints implements policy.Port.
func (i *instance) WatchEndpoints() { i.begin("stream-changes").flag("active", true).end() }

// FetchEndpoints implements policy.Port.
func (i *instance) FetchEndpoints() { i.begin("read-list").end() }

// Log implements policy.Port.
func (i *instance) Log(line string) { i.begin("log").text("line", line).end() }
