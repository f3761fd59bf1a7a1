// Package policy makes the decisions of one instance of the front tier: to which backend each request is sent, when a
// request is rejected or failed, and how the instance votes on a release that is rolling out.
//
// An Instance is a state machine without I/O. Its host calls one method for each event (OnRequest, OnAttemptResult,
// OnTimer, ...) with the time in ms, and the instance requests actions through its Port. The same configuration and the
// same events result in the same actions, byte for byte: there is no clock and no goroutine, random numbers come from a
// seeded generator, and no decision depends on the iteration order of a map. An Instance must not be used by several
// goroutines at the same time.
//
// The state behind the decisions is kept in packages that do not import this one:
//
//	admission    token buckets of tenants, admission probability under overload, arrival rate
//	balance      choice of the least loaded of several random backends, reported load, position of a key in a rollout
//	concurrency  adaptive limit on open attempts, ejection after quick failures
//	endpoints    the endpoint list and the observed state of each backend
//	exposure     cap on attempts at a release that is rolling out, affinity of keys to releases
//	gossip       outcome summaries that instances send to each other
//	health       recent health of a backend compared with that of the fleet
//	release      the state of each release, merged from updates in any order
//	slowstart    warm-up of a new backend and its request budget
//	verdict      evidence on the newest release, the gates, the desired verdict and the votes
package policy
