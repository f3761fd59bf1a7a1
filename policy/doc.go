// Package policy decides for one instance of the front tier: to which backend each request goes, when it is answered without one, and
// how the instance votes on a release that is rolling out.
//
// An Instance is a state machine without I/O. Its host calls one method for each event (OnRequest, OnAttemptResult, OnTimer, ...) with the
// time in ms and carries out what the instance asks for through its Port. The same configuration and the same events give the same
// actions to the byte: there is no clock, no goroutine and no random number but those of the seeded generator, and the order of a map
// never enters a decision. An instance is for one goroutine.
//
// What it decides by is owned by packages that know nothing of it; arrows run one way:
//
//	admission    token buckets of tenants, admission probability under overload, arrival rate
//	balance      choice of the least loaded of some random backends, reported load, place of a key in a rollout
//	concurrency  adaptive limit of open attempts, ejection after quick failures
//	endpoints    the endpoint list and what was learned of each backend
//	exposure     cap on attempts at a release that rolls out, affinity of keys to releases
//	gossip       outcome summaries that instances send each other
//	health       recent answers of a backend against the fleet's
//	release      the state of each release, merged from updates in any order
//	slowstart    warm-up of a fresh backend and the budget that it gets
//	verdict      evidence on the newest release, the gates, the desired verdict and the votes
package policy
