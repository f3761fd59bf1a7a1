// Package policy decides for one agent: where txns go, what they are answered, and how builds are voted on.
package policy

import "onyxgate/policy/release"

// Port is how the module acts. The bench's adapter and a live agent each bring one; times are milliseconds.
type Port interface {
	Submit(txn, appliance string, limit float64)
	Decline(txn string, wait float64)
	Void(txn string)
	Revoke(txn string, submission int)
	Vote(build int, verdict Verdict, stage int)
	Probe(appliance string)
	Tell(agent int, note []byte)
	Timer(after float64, token uint64)
	Subscribe()
	FetchList()
	Log(line string)
}

// Effect says what a second run of a txn would do.
type Effect uint8

const (
	InquiryLike Effect = iota // may run again
	Referenced                // repeats are known by a mark
	OnceOnly                  // must never run twice
)

// Group is the set of appliances that drop each other's repeats of a referenced txn.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Product is one class of txn.
type Product struct {
	SLA      float64 // an answer within it earns the whole revenue
	Stretch  float64 // the SLA time grows by so many times the txn's own work
	Expiry   float64 // what a client waits for all its tries
	Revenue  float64
	Late     float64 // share of the revenue for an answer past the SLA time
	Effect   Effect
	Group    Group
	Remember float64 // how long the group drops repeats
	Streamed bool
}

// State is what the list says of an appliance.
type State uint8

const (
	Running State = iota
	Draining
	Gone
)

// Listed is one appliance as the list shows it.
type Listed struct {
	ID               string
	Build            int
	State            State
	Rating           float64
	Start            float64 // time of its last start; 0: long ago
	Zone, Kind, Cell int
}

// Result is how a submission ended.
type Result uint8

const (
	Settled     Result = iota + 1
	Errored            // may have run
	Rejected           // never ran
	TimedOut           // may still run
	Unconnected        // never ran
	Broken             // may have run
	Revoked            // may have run
	Moot               // never sent
)

// Verdict is what a vote says of a build.
type Verdict uint8

const (
	None Verdict = iota
	On
	Hold
	Back
)

// UnknownRelease is the release of a backend of which no source has told one.
const UnknownRelease = release.Unknown

// Phase is where a release stands.
type Phase = release.Phase

const (
	OnTrial   = release.OnTrial
	GoingBack = release.GoingBack
	Released  = release.Released
	Withdrawn = release.Withdrawn
)

// Reply is how the platform answered a vote.
type Reply uint8

const (
	Unasked Reply = iota // news, not an answer
	Counted
	Refused // full or in error: it does not count
	Silent  // no answer: it may count
	Idle    // not the present build or stage
)

// String says by what a release's state was told.
func (r Reply) String() string {
	if r == Unasked {
		return "news"
	}
	return "a vote's answer"
}

// Control says what moves a stage on.
type Control uint8

const (
	Single   Control = iota // one vote
	Majority                // a share of the agents
	Clocked                 // time; votes can only hold or send back
)
