package main

// The verdict of a run and its output.

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errViolations means that the run was completed and a claim was violated or not exercised.
var errViolations = errors.New("a claim was violated")

// verdict collects the violations found in a run.
type verdict struct {
	violations []string
}

// require adds a violation unless the claim holds.
func (v *verdict) require(passed bool, format string, args ...any) {
	if !passed {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// requireNoError adds a violation for a non-nil error.
func (v *verdict) requireNoError(err error) {
	if err != nil {
		v.violations = append(v.violations, err.Error())
	}
}

// err returns errViolations if there are any violations.
func (v *verdict) err() error {
	if len(v.violations) > 0 {
		return errViolations
	}
	return nil
}

// print writes the figures and the verdict of a run to standard output as one JSON object. It returns errViolations
// if a claim was violated, so that the exit code agrees with "held".
func (v *verdict) print(figures any) error {
	text, err := json.Marshal(figures)
	if err != nil {
		return err
	}
	object := map[string]any{}
	if err := json.Unmarshal(text, &object); err != nil {
		return err
	}
	object["held"] = len(v.violations) == 0
	if len(v.violations) > 0 {
		object["broken"] = v.violations
	}
	if text, err = json.MarshalIndent(object, "", "  "); err != nil {
		return err
	}
	fmt.Println(string(text))
	return v.err()
}
