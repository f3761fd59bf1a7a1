//go:build !debug

package invariant

// panicInDebug does nothing: in production, a violation must not abort a request.
func panicInDebug(string) {}
