// Package httpwire speaks the users' HTTP/1.1 protocol around the core: to clients, backends, discovery and the release
// platform. It reports events to the core and carries out the actions that come back. It decides nothing itself: no retry, choice
// of a backend, health or timeout beyond what the protocol fixes.
//
// The clients' side is Front: it reads and validates a request, hands it to the core and writes its one answer. The backends' side
// is Upstream. Sockets is the budget of open connections that both share.
package httpwire
