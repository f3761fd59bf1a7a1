//go:build debug

package must

func stop(what string) { panic("must hold: " + what) }
