package httpwire

// This file parses the state of a release. Notices, responses to votes and the configuration hold it with the same fields.

import (
	"cmp"
	"errors"
	"strconv"

	"onyxgate/policy"
)

const maxAgeMs = 1e12 // a larger age is noise

var errStateOutOfRange = errors.New("news out of range")

// phases are the protocol's words.
var phases = map[string]policy.Phase{
	"canary":    policy.RollingOut,
	"reverting": policy.RollingBack,
	"stable":    policy.Released,
	"reverted":  policy.Withdrawn,
}

// ReleaseFields is the state of a release as text, by the protocol's names of its fields. An absent field is empty.
type ReleaseFields struct {
	Release  string
	Tranche  string // the stage
	Mode     string // the phase
	Exposure string // the share of requests that may go to the release, 0 to 1
	OldMs    string // for how long it has been in this state, ms
}

// ReadReleaseFields reads each field by its name on the wire.
func ReadReleaseFields(field func(name string) string) ReleaseFields {
	return ReleaseFields{
		Release:  field("release"),
		Tranche:  field("tranche"),
		Mode:     field("mode"),
		Exposure: field("exposure"),
		OldMs:    field("old_ms"),
	}
}

// releaseState is the state of one release.
type releaseState struct {
	release policy.ReleaseID
	stage   int
	phase   policy.Phase
	mode    string  // the phase in the protocol's word
	cap     float64 // share of requests, 0 to 1
	ageMs   float64
}

// parseReleaseState reads a release's state, whole or not at all.
func parseReleaseState(fields ReleaseFields) (releaseState, error) {
	release, releaseErr := strconv.Atoi(fields.Release)
	stage, stageErr := strconv.Atoi(fields.Tranche)
	exposure, exposureErr := strconv.ParseFloat(fields.Exposure, 64)
	ageMs, ageErr := strconv.ParseFloat(fields.OldMs, 64)
	if err := cmp.Or(releaseErr, stageErr, exposureErr, ageErr); err != nil {
		return releaseState{}, err
	}
	phase, phaseKnown := phases[fields.Mode]
	capInRange := exposure >= 0 && exposure <= 1 // not of NaN
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
