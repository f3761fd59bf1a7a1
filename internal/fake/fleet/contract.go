package fleet

// This file owns what the end-to-end tests agree on with the instances: request classes, the users' contract, and the stages
// of a rollout.

import "time"

// Semantics of a class, as the users' configuration writes them.
const (
	SemanticsSafe          = "repeatable" // may run any number of times
	SemanticsIdempotent    = "by_key"     // may be sent again with the same idempotency key
	SemanticsNonIdempotent = "once"       // must not run twice
)

// Class is a request class as clients and backends know it.
type Class struct {
	Name             string
	Share            float64       // of all requests
	Work             time.Duration // on a backend at full speed
	LatencyObjective time.Duration
	Timeout          time.Duration // the deadline that clients state
	Semantics        string        // one of the Semantics constants
	DedupWindow      time.Duration // how long a backend remembers an idempotency key
}

// Classes are the request classes of every end-to-end test. Their shares add up to 1.
var Classes = []Class{
	{
		Name: "preview", Share: 0.5, Work: 20 * time.Millisecond, LatencyObjective: 400 * time.Millisecond,
		Timeout: 2 * time.Second, Semantics: SemanticsSafe,
	},
	{
		Name: "export", Share: 0.3, Work: 30 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
		Timeout: 2 * time.Second, Semantics: SemanticsIdempotent, DedupWindow: 10 * time.Second,
	},
	{
		Name: "order", Share: 0.2, Work: 25 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
		Timeout: 2 * time.Second, Semantics: SemanticsNonIdempotent,
	},
}

// The contract as the instances are told it; a backend acts by it and the audit counts by it.
const (
	DrainGrace        = 1000 * time.Millisecond // in which attempts may still reach a backend after it is listed as draining
	ColdSpeed     = 0.4                     // share of full speed that a backend has just after its start
	WarmUp       = 3 * time.Second         // until a backend has full speed
	OverloadFactor     = 4.0                     // attempts in flight for each core at full speed, above which a warming backend is overloaded
	MaxOverloadTime     = time.Second             // of overload, after which a warming backend fails for good
	FreeAttempts = 2                       // at a release on trial in each window, over its exposure cap
	ExposureWindow       = 4 * time.Second         // over which exposure is counted
)

// Modes of a release, as the platform writes them.
const (
	ModeCanary      = "canary"
	ModeStable      = "stable"
	ModeRollingBack = "reverting"
	ModeRolledBack  = "reverted"
)

// stageShares is the share of backends that run the release at each stage, stageCaps the exposure cap of the stage.
var (
	stageShares = []float64{0.2, 0.5, 1}
	stageCaps   = []float64{0.25, 0.6, 1}
)

// Stage is the state of the newest release from a time on.
type Stage struct {
	At      time.Time
	Release int
	Stage   int
	Mode    string  // one of the Mode constants
	Cap     float64 // on the release's exposure, a share of an instance's requests
}

// canaryStage returns the first moment of a canaryStage stage.
func canaryStage(release, stage int) Stage {
	return Stage{At: time.Now(), Release: release, Stage: stage, Mode: ModeCanary, Cap: stageCaps[stage]}
}
