//go:build !defect

// Package failpoint names the moments at which a rehearsal may kill an agent, and the protections that it may switch off
// to see itself fail. A release build holds none of it.
package failpoint

// At is passed at each named moment.
func At(string) {}

// Defect tells that a protection is switched off.
func Defect(string) bool { return false }
