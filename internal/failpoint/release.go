//go:build !defect

package failpoint

// At marks a failpoint. In a release build it does nothing.
func At(string) {}

// Defect tells whether a protection is switched off. In a release build none ever is.
func Defect(string) bool { return false }
