//go:build debug

package invariant

// stop ends a debug build at the first violation.
func stop(name string) { panic("invariant violated: " + name) }
