// Package httpwire implements the HTTP/1.1 protocol between an instance and its clients, its backends, discovery and
// the release platform. It reports events to the core and carries out the actions that the core returns. It makes no
// decisions itself: beyond what the protocol fixes, it does not retry, choose backends, judge health or set timeouts.
//
// Front is the client side: it reads and validates a request, passes it to the core and writes its only response.
// Upstream is the backend side. Sockets is the budget of open connections that both share.
package httpwire
