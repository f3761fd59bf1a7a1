package fleet

// The part of the users' contract that the instances, the fake backends and the audit share: request classes,
// backend limits and rollout stages.

import "time"

// Semantics of a class, as written in the users' configuration.
const (
	SemanticsSafe          = "repeatable" // may run any number of times
	SemanticsIdempotent    = "by_key"     // may be sent again with the same idempotency key
	SemanticsNonIdempotent = "once"       // must not run twice
)

// Class is a request class.
type Class struct {
	Name             string
	Share            float64       // fraction of all requests
	Work             time.Duration // execution time on a backend at full speed
	LatencyObjective time.Duration
	Timeout          time.Duration // sent by clients as the deadline
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

// The contract that the instances are configured with. The fake backends behave accordingly, and the audit checks
// against it.
const (
	DrainGrace      = 1000 * time.Millisecond // attempts may still reach a backend for this long after it is listed as draining
	ColdSpeed       = 0.4                     // fraction of full speed at which a backend starts cold
	WarmUp          = 3 * time.Second         // time until a cold backend reaches full speed
	OverloadFactor  = 4.0                     // a warming backend is overloaded above this many attempts in flight per core, times its speed
	MaxOverloadTime = time.Second             // a warming backend that is overloaded for longer fails permanently
	FreeAttempts    = 2                       // attempts at the canary release that each window allows beyond its exposure cap
	ExposureWindow  = 4 * time.Second         // the window over which exposure is counted
)

// Modes of a release in the platform's API.
const (
	ModeCanary      = "canary"
	ModeStable      = "stable"
	ModeRollingBack = "reverting"
	ModeRolledBack  = "reverted"
)

// stageShares is the fraction of backends that run the release at each stage; stageCaps is the exposure cap of each
// stage.
var (
	stageShares = []float64{0.2, 0.5, 1}
	stageCaps   = []float64{0.25, 0.6, 1}
)

// Stage is the state of the newest release, in force since At.
type Stage struct {
	At      time.Time
	Release int
	Stage   int
	Mode    string  // one of the Mode constants
	Cap     float64 // exposure cap: the largest share of an instance's requests that may reach the release
}

// canaryStage returns a canary stage that begins now.
func canaryStage(release, stage int) Stage {
	return Stage{At: time.Now(), Release: release, Stage: stage, Mode: ModeCanary, Cap: stageCaps[stage]}
}
