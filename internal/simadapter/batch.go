package simadapter

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/gjson"

	"onyxgate/internal/siteconfig"
	"onyxgate/policy"
)

// The errors that Serve returns for malformed batches.
var (
	ErrNotJSON         = errors.New("batch is not valid JSON")
	ErrIncompleteBatch = errors.New("batch lacks now-us or agents")
)

// maxPools is the maximum number of endpoint lists that the protocol stores in a process.
const maxPools = 16

// host is one process of the simulator: its instances, which share no state, and the endpoint lists that events refer
// to.
type host struct {
	instances map[string]*instance // by their name in the protocol
	pools     [maxPools][]policy.Endpoint
	reply     []byte
}

// instance holds the decisions of one instance and the actions that they have written during the current batch.
type instance struct {
	policy  *policy.Instance // nil while the instance is not started
	actions []byte
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

// handleBatch handles one batch. The reply is valid until the next call.
func (h *host) handleBatch(text []byte) (reply []byte, err error) {
	if !gjson.ValidBytes(text) {
		return nil, ErrNotJSON
	}
	batch := gjson.ParseBytes(text)
	clock := batch.Get("now-us")
	if clock.Type != gjson.Number || !batch.Get("agents").IsArray() {
		return nil, ErrIncompleteBatch
	}
	now := siteconfig.Milliseconds(clock)
	h.reply = append(h.reply[:0], `{"agents":[`...)
	// A pool, which stores an endpoint list, belongs to the process. It may appear next to the instances or among
	// their events.
	batch.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "pool":
			err = h.setPool(value)
		case "agents":
			err = h.handleGroups(now, value)
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	h.reply = append(h.reply, "]}\n"...)
	return h.reply, nil
}

func (h *host) handleGroups(now float64, groups gjson.Result) (err error) {
	groups.ForEach(func(_, group gjson.Result) bool {
		err = h.handleGroup(now, group)
		return err == nil
	})
	return err
}

// handleGroup delivers the events of one instance in order and appends its actions to the reply.
func (h *host) handleGroup(now float64, group gjson.Result) (err error) {
	name := group.Get("who").Str
	in := h.instances[name]
	if in == nil {
		in = &instance{}
		h.instances[name] = in
	}
	in.actions = in.actions[:0]
	group.Get("happened").ForEach(func(_, entry gjson.Result) bool {
		entry.ForEach(func(kind, fields gjson.Result) bool {
			err = h.handleEvent(event{host: h, instance: in, now: now, fields: fields}, kind.Str)
			if err != nil {
				err = fmt.Errorf("%s, %s: %w", name, kind.Str, err)
			}
			return err == nil
		})
		return err == nil
	})
	if err == nil && len(in.actions) > 0 {
		h.appendReply(name, in.actions)
	}
	return err
}

// appendReply appends the actions of one instance to the reply.
func (h *host) appendReply(name string, actions []byte) {
	if h.reply[len(h.reply)-1] != '[' {
		h.reply = append(h.reply, ',')
	}
	h.reply = append(h.reply, `{"who":`...)
	h.reply = strconv.AppendQuote(h.reply, name)
	h.reply = append(h.reply, `,"out":[`...)
	h.reply = append(h.reply, actions...)
	h.reply = append(h.reply, "]}"...)
}
