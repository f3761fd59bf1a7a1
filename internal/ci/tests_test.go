// Package ci tests the rules enforced in CI: which tests may fail, which constructs the source must not use, and that
// the on-call page matches the source.
package ci

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Only tests listed in KNOWN-RED.txt by package and name may fail. The list has at most three lines, each with a cause
// and an issue.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/tests")
	if err != nil {
		t.Fatal(err)
	}
	const (
		good = "package x\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n"
		bad  = "package x\n\nimport \"testing\"\n\nfunc TestBad(t *testing.T) { t.Error(\"red\") }\n"
	)
	two := good + "\nfunc TestBad(t *testing.T) { t.Error(\"red\") }\n"
	for _, c := range []struct {
		name   string
		red    string // content of KNOWN-RED.txt; "-" for no file
		a, b   string // test files of the packages a and b
		passes bool
		output string // has to be part of the script's output
	}{
		{"all pass, no list", "-", good, good, true, ""},
		{"all pass, an empty list", "\n", good, good, true, ""},
		{"an unlisted failure", "-", good, bad, false, "TestBad"},
		{"an unlisted failure, an empty list", "", two, good, false, "TestBad"},
		{"a listed failure", "a.TestBad; it is red; issue 24\n", two, good, true, "KNOWN RED: a.TestBad; it is red; issue 24"},
		{"a listed failure, run separately", "a.TestBad; it is red; issue 24\n", two, good, true, "failed as listed"},
		{"a listed test that passes", "a.TestGood; it was red; issue 24", good, good, true, "all of them passed"},
		{"the same name in another package", "a.TestBad; it is red; issue 24\n", two, bad, false, "TestBad"},
		{"another test in the same package", "a.TestGood; it is red; issue 24\n", two, good, false, "TestBad"},
		{"no cause", "a.TestBad; issue 24\n", two, good, false, "not TEST; CAUSE"},
		{"no issue", "a.TestBad; it is red\n", two, good, false, "not TEST; CAUSE"},
		{"a pattern", "a.Test.*; it is red; issue 24\n", two, good, false, "not TEST; CAUSE"},
		{"command and seed", "a.TestBad; go test ./a -run TestBad; seed 7; it is red; issue 24\n", two, good, true, "KNOWN RED: a.TestBad; go test"},
		{"command and seed, run separately", "a.TestBad; go test ./a -run TestBad; seed 7; it is red; issue 24\n", two, good, true, "failed as listed"},
		{"command and seed, another test fails", "a.TestGood; go test ./a -run TestGood; seed 7; it is red; issue 24\n", two, good, false, "TestBad"},
		{"a command without a seed", "a.TestBad; go test ./a -run TestBad; it is red; issue 24\n", two, good, false, "not TEST; CAUSE"},
		{"a seed without a command", "a.TestBad; seed 7; it is red; issue 24\n", two, good, false, "not TEST; CAUSE"},
		{"a seed that is no number", "a.TestBad; go test ./a -run TestBad; seed x; it is red; issue 24\n", two, good, false, "not TEST; CAUSE"},
		{"a command of another test", "a.TestBad; go test ./a -run TestGood; seed 7; it is red; issue 24\n", two, good, false, "does not name the test"},
		{"an end-to-end test", "e2e srv; bin/e2e srv --seed 1; seed 1; it is red; issue 24\n", good, good, true, "KNOWN RED: e2e srv"},
		{"an end-to-end test that CI does not run", "e2e srv; bin/e2e srv --seed 2; seed 2; it is red; issue 24\n", good, good, false, "no such test"},
		{"an end-to-end test with another seed", "e2e srv; bin/e2e srv --seed 1; seed 2; it is red; issue 24\n", good, good, false, "not those of the command"},
		{"an end-to-end test passes over no Go test", "e2e srv; bin/e2e srv --seed 1; seed 1; it is red; issue 24\n", two, good, false, "TestBad"},
		{"no such test", "a.TestOther; it is red; issue 24\n", two, good, false, "no such test"},
		{"four lines", strings.Repeat("a.TestBad; it is red; issue 24\n", 4), two, good, false, "three at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			writeFile(t, dir, "go.mod", "module x\n\ngo 1.26\n", 0o600)
			writeFile(t, dir, "a/a_test.go", c.a, 0o600)
			writeFile(t, dir, "b/b_test.go", c.b, 0o600)
			writeFile(t, dir, ".ci/run", ".ci/e2e srv --seed 1\n", 0o600)
			if c.red != "-" {
				writeFile(t, dir, "KNOWN-RED.txt", c.red, 0o600)
			}
			run := exec.CommandContext(t.Context(), "bash", script)
			run.Dir = dir
			out, err := run.CombinedOutput()
			if (err == nil) != c.passes || !strings.Contains(string(out), c.output) {
				t.Errorf("passes: %v, want %v; output, which should contain %q:\n%s", err == nil, c.passes, c.output, out)
			}
		})
	}
}

// An end-to-end test may fail in CI only if KNOWN-RED.txt lists exactly its command, and only by a violated claim (exit 1):
// a test that could not run (exit 2) is no known failure.
func TestKnownRedEndToEnd(t *testing.T) {
	script, err := filepath.Abs("../../.ci/e2e")
	if err != nil {
		t.Fatal(err)
	}
	const red = "e2e srv; bin/e2e srv --seed 1; seed 1; it is red; issue 24\n"
	for _, c := range []struct {
		name   string
		red    string // content of KNOWN-RED.txt
		status int    // of the end-to-end test
		seed   string
		exit   int
		output string // has to be part of the script's output
	}{
		{"passes, not listed", "", 0, "1", 0, ""},
		{"fails, not listed", "", 1, "1", 1, ""},
		{"could not run, not listed", "", 2, "1", 2, ""},
		{"fails as listed", red, 1, "1", 0, "failed as listed"},
		{"listed, and passes", red, 0, "1", 0, "and it passed"},
		{"listed, and could not run", red, 2, "1", 2, "KNOWN RED"},
		{"fails with another seed", red, 1, "11", 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			// Written before any subtest starts a command: a child that is forked meanwhile would hold the program open for
			// writing, and it could not be executed (ETXTBSY).
			writeFile(t, dir, "bin/e2e", fmt.Sprintf("#!/bin/sh\nexit %d\n", c.status), 0o700)
			writeFile(t, dir, "KNOWN-RED.txt", c.red, 0o600)
			t.Parallel()
			run := exec.CommandContext(t.Context(), "bash", script, "srv", "--seed", c.seed)
			run.Dir = dir
			out, err := run.CombinedOutput()
			if exit := run.ProcessState.ExitCode(); exit != c.exit || !strings.Contains(string(out), c.output) {
				t.Errorf("exit = %d (%v), want %d; output, which should contain %q:\n%s", exit, err, c.exit, c.output, out)
			}
		})
	}
}

// writeFile writes a file and creates its folder.
func writeFile(t *testing.T, dir, name, text string, mode os.FileMode) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
}
