package httpwire

// Notices, responses to votes and the configuration describe the state of a release with the same fields.

import (
	"cmp"
	"errors"
	"strconv"

	"onyxgate/policy"
)

const maxAgeMs = 1e12 // larger ages indicate corruption

var errStateOutOfRange = errors.New("release state: unknown mode, or a field out of range")

// phases maps the protocol's names of phases.
var phases = map[string]policy.Phase{
	"canary":    policy.RollingOut,
	"reverting": policy.RollingBack,
	"stable":    policy.Released,
	"reverted":  policy.Withdrawn,
}

// ReleaseFields holds the unparsed state of a release, under the protocol's field names. An absent field is empty.
type ReleaseFields struct {
	Release  string
	Tranche  string // stage
	Mode     string // phase
	Exposure string // maximum share of requests for the release, 0 to 1
	OldMs    string // time since the release entered this state, ms
}

// ReadReleaseFields reads the fields with a function that returns the value of a field by its name on the wire.
func ReadReleaseFields(field func(name string) string) ReleaseFields {
	return ReleaseFields{
		Release:  field("release"),
		Tranche:  field("tranche"),
		Mode:     field("mode"),
		Exposure: field("exposure"),
		OldMs:    field("old_ms"),
	}
}

// releaseState is the parsed state of a release.
type releaseState struct {
	release policy.ReleaseID
	stage   int
	phase   policy.Phase
	mode    string  // the protocol's name of the phase
	cap     float64 // share of requests, 0 to 1
	ageMs   float64
}

// parseReleaseState parses the state of a release. All fields must be valid.
func parseReleaseState(fields ReleaseFields) (releaseState, error) {
	release, releaseErr := strconv.Atoi(fields.Release)
	stage, stageErr := strconv.Atoi(fields.Tranche)
	exposure, exposureErr := strconv.ParseFloat(fields.Exposure, 64)
	ageMs, ageErr := strconv.ParseFloat(fields.OldMs, 64)
	if err := cmp.Or(releaseErr, stageErr, exposureErr, ageErr); err != nil {
		return releaseState{}, err
	}
	phase, phaseKnown := phases[fields.Mode]
	capInRange := exposure >= 0 && exposure <= 1 // false for NaN
	ageInRange := ageMs >= 0 && ageMs < maxAgeMs
	if !phaseKnown || release < 0 || stage < 0 || !capInRange || !ageInRange {
		return releaseState{}, errStateOutOfRange
	}
	return releaseState{
		release: policy.ReleaseID(release),
		stage:   stage,
		phase:   phase,
		mode:    fields.Mode,
		cap:     exposure,
		ageMs:   ageMs,
	}, nil
}
