// Package failpoint holds the places at which an end-to-end test makes the program fail.
//
// A failpoint is a named moment, such as the one between a write and its sync, at which the process kills itself with SIGKILL
// if it was told so: ONYXGATE_KILL_AT=NAME:N at its start names the failpoint and says that the Nth passing kills. A defect is a
// protection that can be switched off, by ONYXGATE_DEFECT=NAME, so that a test shows that it would notice its absence.
//
// Both exist only in programs built with the tag "defect". In a release build the functions are empty and read no environment:
// it holds no failpoint, and no variable can switch a protection off.
package failpoint
