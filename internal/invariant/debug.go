//go:build debug

package invariant

// panicInDebug panics with the name of the violated invariant.
func panicInDebug(name string) { panic("invariant violated: " + name) }
