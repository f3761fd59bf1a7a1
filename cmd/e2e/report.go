package main

// This file owns the verdict of a run: which claims were violated, and how that is printed.

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errViolations says that the run was carried out and a claim was violated.
var errViolations = errors.New("a claim was violated")

// verdict collects the violations of a run.
type verdict struct {
	violations []string
}

// require notes a violation unless the claim passed.
func (c *verdict) require(passed bool, format string, args ...any) {
	if !passed {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// requireNoError notes a violation for an error.
func (c *verdict) requireNoError(err error) {
	if err != nil {
		c.violations = append(c.violations, err.Error())
	}
}

// err is errViolations where there are any.
func (c *verdict) err() error {
	if len(c.violations) > 0 {
		return errViolations
	}
	return nil
}

// print writes the figures of a run and its verdict to standard output as one JSON object. It returns errViolations where a
// claim was violated: exit code and "held" say the same.
func (c *verdict) print(figures any) error {
	text, err := json.Marshal(figures)
	if err != nil {
		return err
	}
	object := map[string]any{}
	if err := json.Unmarshal(text, &object); err != nil {
		return err
	}
	object["held"] = len(c.violations) == 0
	if len(c.violations) > 0 {
		object["broken"] = c.violations
	}
	if text, err = json.MarshalIndent(object, "", "  "); err != nil {
		return err
	}
	fmt.Println(string(text))
	return c.err()
}
