//go:build !defect

package failpoint

// At marks a failpoint. In release builds it does nothing.
func At(string) {}

// Defect reports whether the named protection is switched off. In release builds it always returns false.
func Defect(string) bool { return false }
