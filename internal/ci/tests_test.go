// Package ci tests the rules enforced in CI: which tests may fail, which constructs the source must not use, and that
// the on-call page matches the source.
package ci

import (
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
		{"no cause", "a.TestBad; issue 24\n", two, good, false, "not PACKAGE.TEST"},
		{"no issue", "a.TestBad; it is red\n", two, good, false, "not PACKAGE.TEST"},
		{"a pattern", "a.Test.*; it is red; issue 24\n", two, good, false, "not PACKAGE.TEST"},
		{"no such test", "a.TestOther; it is red; issue 24\n", two, good, false, "no such test"},
		{"four lines", strings.Repeat("a.TestBad; it is red; issue 24\n", 4), two, good, false, "three at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files := map[string]string{"go.mod": "module x\n\ngo 1.26\n", "a/a_test.go": c.a, "b/b_test.go": c.b}
			if c.red != "-" {
				files["KNOWN-RED.txt"] = c.red
			}
			for name, text := range files {
				path := filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
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
