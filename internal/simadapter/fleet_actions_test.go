package simadapter

import "github.com/tidwall/gjson"

// This file carries out the actions of the fleet's instances.

// applyAction carries out one action of an instance.
func (f *fleet) applyAction(index int, name string, fields gjson.Result) {
	request := f.instances[index].requests[fields.Get("request-id").Str]
	number := func(field string) int { return int(fields.Get(field).Int()) }
	switch name {
	case "place":
		f.startAttempt(request, fields.Get("appliance").Str)
	case "deny", "surrender":
		if request != nil && !request.closed {
			request.closed = true
			f.retry(request, name == "deny")
		}
	case "revoke":
		attempt := number("copy")
		f.schedule(200, func() { f.finishAttempt(request, attempt, outcomeCanceled) })
	case "probe":
		f.startProbe(index, fields.Get("appliance").Str)
	case "signal":
		f.sendMessage(index, number("recipient"), fields.Get("raw").Str)
	case "notify-me":
		f.setTimer(index, number("label"), fields.Get("after-us").Int())
	case "stream-changes", "read-list":
		f.fetchEndpoints(index)
	case "say-so":
		f.receiveVote(index, number("ver"), number("how"), number("wave"))
	}
}

// sendMessage delivers a message to another instance, if that instance is simulated.
func (f *fleet) sendMessage(from, to int, raw string) {
	f.schedule(f.randomTime(2*millisecond), func() {
		if to < len(f.instances) {
			f.send(to, "mail", map[string]any{"sender": from, "raw": raw})
		}
	})
}

// setTimer wakes an instance up after a delay, unless it was killed in the meantime.
func (f *fleet) setTimer(index, label int, delay int64) {
	in := f.instances[index]
	seed := in.seed
	f.schedule(delay, func() {
		if in.seed == seed {
			f.send(index, "wakeup", map[string]any{"label": label})
		}
	})
}

// fetchEndpoints sends the whole endpoint list and subscribes the instance to changes. It sends a failure instead while
// discovery is down, and otherwise for one in six requests.
func (f *fleet) fetchEndpoints(index int) {
	f.schedule(f.randomTime(10*millisecond), func() {
		if f.discovery.down || f.rng.IntN(6) == 0 {
			f.sendEndpointsFailed(index)
			return
		}
		f.instances[index].subscribed = true
		f.sendEndpoints(listSnapshot, index, f.listedBackends()...)
	})
}

// startProbe probes the load of a backend.
func (f *fleet) startProbe(index int, backend string) {
	b, sentAt := f.byID[backend], f.now
	outcome, took := outcomeServed, 2*millisecond+f.randomTime(3*millisecond*b.slowdown)
	switch {
	case b.unreachable:
		outcome, took = outcomeConnectFailed, connectTimeout
	case b.hanging || f.rng.IntN(50) == 0:
		outcome, took = outcomeTimedOut, 600*millisecond
	}
	f.schedule(took, func() {
		f.send(index, "checked", map[string]any{
			"appliance": backend, "how": outcome, "took-us": f.now - sentAt, "feedback": f.loadReport(b),
		})
	})
}
