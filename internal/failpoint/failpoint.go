// Package failpoint injects faults into the program for end-to-end tests.
//
// A failpoint is a named point in the program, for example between a write and its sync. With ONYXGATE_KILL_AT=NAME:N
// in the environment, the process kills itself with SIGKILL when it reaches the failpoint NAME for the Nth time. A
// defect is a protection that can be switched off with ONYXGATE_DEFECT=NAME, so that a test can show that it would
// detect the lack of that protection.
//
// Both exist only in programs built with the tag "defect". In release builds the functions do nothing and read no
// environment variables, so no variable in the environment can kill the process or switch off a protection.
package failpoint
