//go:build debug

package invariant

func stop(what string) { panic("must hold: " + what) }
