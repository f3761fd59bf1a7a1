package policy

// rule is a condition on the instance and the action to take if it is true. The actions must not keep a condition true
// forever, because applyRules would not return.
type rule struct {
	name  string // for debugging; not used by the code
	when  func(*Instance) bool
	apply func(*Instance)
}

// rules are checked in this order at the end of an event, and from the top again after each rule that was applied. A
// rule can therefore assume that the conditions of all rules above it are false: a pending request that reaches "route"
// has not ended, and it has not reached its deadline unless its response is being streamed. The decisions depend on the
// order.
var rules = []rule{
	{"refresh aggregates", (*Instance).aggregatesDue, (*Instance).refreshAggregates},
	{"fire timer", (*Instance).timerDue, (*Instance).fireTimer},
	{"drop ended request", (*Instance).pendingEnded, (*Instance).dropPending},
	{"answer at deadline", (*Instance).pendingAtDeadline, (*Instance).rejectOrFailPending},
	{"route", (*Instance).pendingWithoutAttempt, (*Instance).route},
	{"retry queued requests", (*Instance).queueDue, (*Instance).retryQueuedRequests},
	{"handle overdue attempts", (*Instance).hasPending, (*Instance).handleOverdue},
	{"watch endpoints", (*Instance).watchDue, (*Instance).watchEndpoints},
	{"evaluate rollout", (*Instance).evaluationDue, (*Instance).evaluate},
	{"broadcast outcomes", (*Instance).broadcastDue, (*Instance).broadcastSummaries},
	{"vote", (*Instance).voteDue, (*Instance).sendVote},
	{"arm timer", (*Instance).timerNeedsArming, (*Instance).armTimer},
}

// applyRules applies rules until no condition is true. All events except OnWrongAnswer and OnPlatformCounts end with it.
func (inst *Instance) applyRules() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(inst) {
			rules[i].apply(inst)
			i = -1
		}
	}
}

func (inst *Instance) hasPending() bool { return len(inst.pending) > 0 }

func (inst *Instance) pendingEnded() bool { return inst.hasPending() && inst.pending[0].ended }

// pendingAtDeadline reports whether the first pending request has reached the time of its final answer,
// finalAnswerMargin before its deadline. A request whose response is being streamed is not ended at its deadline,
// because its client is already receiving the response.
func (inst *Instance) pendingAtDeadline() bool {
	return inst.hasPending() && !inst.pending[0].streaming && inst.now >= inst.pending[0].deadline-finalAnswerMargin
}

func (inst *Instance) pendingWithoutAttempt() bool {
	return inst.hasPending() && inst.pending[0].openAttempts == 0
}

func (inst *Instance) rejectOrFailPending() { inst.rejectOrFail(inst.pending[0]) }

func (inst *Instance) dropPending() { inst.pending = inst.pending[1:] }

func (inst *Instance) evaluationDue() bool { return inst.now >= inst.evaluateAt }

func (inst *Instance) broadcastDue() bool {
	return inst.summaries.Len() > 0 && inst.now >= inst.broadcastAt
}
