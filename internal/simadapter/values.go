package simadapter

import (
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/internal/siteconfig"
	"onyxgate/policy"
)

// The protocol's names and numbers, mapped to the constants of package policy and back.
var (
	attemptStatuses = [...]policy.AttemptStatus{
		1: policy.StatusServed, 2: policy.StatusErrored, 3: policy.StatusRejected, 4: policy.StatusTimedOut,
		5: policy.StatusConnectFailed, 6: policy.StatusReset, 7: policy.StatusCanceled, 8: policy.StatusNotSent,
	}
	voteResponses = map[int64]policy.VoteResponse{
		1: policy.VoteCounted, 2: policy.VoteRefused, 3: policy.VoteRefused, 4: policy.VoteUnanswered, 8: policy.VoteOutdated,
	}
	phases         = [...]policy.Phase{policy.RollingOut, policy.RollingBack, policy.Released, policy.Withdrawn}
	endpointStates = map[string]policy.EndpointState{
		"on": policy.EndpointRunning, "fading": policy.EndpointDraining, "off": policy.EndpointRemoved,
	}
	verdictNumbers = map[policy.Verdict]int{policy.Promote: 1, policy.Hold: 2, policy.Rollback: 3}
)

// ValueError reports a field of an event whose value the protocol does not define.
type ValueError struct {
	Name  string // description of the field
	Value string // value that was read
}

// Error implements error.
func (e *ValueError) Error() string { return e.Name + " not defined by the protocol: " + e.Value }

func newValueError(name string, value int64) *ValueError {
	return &ValueError{Name: name, Value: strconv.FormatInt(value, 10)}
}

func validSlot(slot int64) bool { return slot >= 0 && slot < maxPools }

// setPool stores an endpoint list in its slot.
func (h *host) setPool(fields gjson.Result) error {
	slot := fields.Get("slot").Int()
	if !validSlot(slot) {
		return newValueError("slot", slot)
	}
	var endpoints []policy.Endpoint
	fields.Get("items").ForEach(func(_, item gjson.Result) bool {
		endpoints = append(endpoints, readEndpoint(item))
		return true
	})
	h.pools[slot] = endpoints
	return nil
}

func readEndpoint(item gjson.Result) policy.Endpoint {
	return policy.Endpoint{
		ID: item.Get("appliance").Str, Release: policy.ReleaseID(item.Get("ver").Num),
		State: endpointStates[item.Get("condition").Str], Weight: item.Get("rating").Num,
		StartedAt: siteconfig.Milliseconds(item.Get("boot-time-us")), Zone: int(item.Get("site").Int()),
		HardwareClass: int(item.Get("machine").Int()), Cell: int(item.Get("stripe").Int()),
	}
}

// readLoad decodes a load report, any part of which may be missing: the number of waiting requests (q, or rif) and
// the busy share.
func readLoad(fields gjson.Result) policy.LoadReport {
	const missing = -1.0
	waiting, busy := missing, missing
	if value := fields.Get("q"); value.Type == gjson.Number {
		waiting = value.Num
	} else if value := fields.Get("rif"); value.Type == gjson.Number {
		waiting = value.Num
	}
	if value := fields.Get("busy"); value.Type == gjson.Number {
		busy = value.Num
	}
	return policy.LoadReport{Present: waiting >= 0 || busy >= 0, Waiting: max(waiting, 0), Utilization: max(busy, 0)}
}
