package httpwire

// Votes are sent one after the other on one connection. The protocol's table defines what the responses mean.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/policy"
)

const (
	voteQueueSize = 64 // votes that can be queued for SendVotes

	// voteConnMaxIdle is how long an idle vote connection can be reused. The platform closes one after up to 10 s.
	voteConnMaxIdle = 4 * time.Second
)

// verdictWords and voteResponseWords are the names on the wire and in the log.
var (
	verdictWords = map[policy.Verdict]string{
		policy.NoVerdict: "abstain",
		policy.Promote:   "promote",
		policy.Hold:      "pause",
		policy.Rollback:  "abort",
	}
	voteResponseWords = map[policy.VoteResponse]string{
		policy.VoteCounted:    "counted",
		policy.VoteRefused:    "refused",
		policy.VoteUnanswered: "silent",
		policy.VoteOutdated:   "idle",
	}
)

// errVoteNotCounted reports that the platform responded with one of the codes in uncountedResponses.
var errVoteNotCounted = errors.New("vote not counted by the platform")

// vote is one vote on a stage of a release.
type vote struct {
	release policy.ReleaseID
	verdict policy.Verdict
	stage   int
}

// platformCode is an HTTP status with the error code in the body.
type platformCode struct {
	status int
	code   string
}

// uncountedResponses are the responses which guarantee that a vote was not counted.
var uncountedResponses = map[platformCode]policy.VoteResponse{
	{http.StatusBadRequest, "STALE"}:           policy.VoteOutdated,
	{http.StatusBadRequest, "BUSY"}:            policy.VoteRefused,
	{http.StatusBadRequest, "SYNTAX"}:          policy.VoteRefused,
	{http.StatusInternalServerError, "FAILED"}: policy.VoteRefused,
}

// SendVote queues a vote for SendVotes. It does not block: if the queue is full, the vote is reported as refused.
func (p *Platform) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	select {
	case p.votes <- vote{release, verdict, stage}:
	default:
		// The caller runs inside the core, and the report has to wait for it to return. So it needs a goroutine, which
		// ends with the report.
		go p.reportResponse(policy.VoteRefused)
	}
}

// reportResponse reports a vote response without a release state to the core.
func (p *Platform) reportResponse(response policy.VoteResponse) {
	p.core.UpdateRelease(policy.ReleaseUpdate{Response: response})
}

// SendVotes sends the queued votes one after the other until ctx is done.
func (p *Platform) SendVotes(ctx context.Context) {
	defer p.closeVoteConn()
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-p.votes:
			p.sendVote(ctx, v)
		}
	}
}

// sendVote sends one vote and reports its result to the core.
func (p *Platform) sendVote(ctx context.Context, v vote) {
	entry := logrus.WithFields(logrus.Fields{"release": v.release, "stage": v.stage, "ruling": verdictWords[v.verdict]})
	response, state, err := p.castVote(ctx, v)
	if response == policy.VoteCounted {
		p.update(state, response)
	} else {
		p.reportResponse(response)
		entry = entry.WithError(err)
	}
	entry.WithField("response", voteResponseWords[response]).Info("vote")
}

// castVote sends one vote and returns the meaning of its response. The state is set for VoteCounted only; for any other
// response the error gives the reason.
func (p *Platform) castVote(ctx context.Context, v vote) (policy.VoteResponse, releaseState, error) {
	ctx, cancel := context.WithTimeout(ctx, p.voteTimeout)
	defer cancel()
	if err := p.openVoteConn(ctx); err != nil {
		return policy.VoteRefused, releaseState{}, err
	}
	c := p.voteConn
	stop := context.AfterFunc(ctx, c.Cancel)
	r, err := c.roundTrip(voteRequest(p.voteConnAddress, v))
	response, state, outcomeErr := voteOutcome(r, err)
	// A late response must not be taken for the response to the next vote, and after a malformed one the rest of the
	// connection can't be trusted.
	inTime := stop()
	if !inTime || response == policy.VoteUnanswered || !c.reusable(r) {
		p.closeVoteConn()
	} else {
		c.idleSince = time.Now()
	}
	return response, state, outcomeErr
}

// openVoteConn ensures that there is a connection for the next vote: the previous one if it is reusable, or a new one.
func (p *Platform) openVoteConn(ctx context.Context) error {
	address := p.currentAddress()
	if p.voteConn != nil && !p.voteConnReusable(address) {
		p.closeVoteConn()
	}
	if p.voteConn != nil {
		return nil
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.voteConn, p.voteConnAddress = newConn(c), address
	return nil
}

// voteConnReusable reports whether the open connection can be used for the next vote to an address. It must have been
// idle for minReuseDelay: a second copy of the last response may still arrive until then, and would be taken for the
// next response.
func (p *Platform) voteConnReusable(address string) bool {
	idleFor := time.Since(p.voteConn.idleSince)
	idleTimeInRange := idleFor >= minReuseDelay && idleFor <= voteConnMaxIdle
	return idleTimeInRange && p.voteConnAddress == address && hasNoUnreadData(p.voteConn.Conn)
}

func (p *Platform) closeVoteConn() {
	if p.voteConn != nil {
		p.voteConn.Close()
		p.voteConn = nil
	}
}

func voteRequest(address string, v vote) []byte {
	form := fmt.Sprintf("Action=CastVote&release=%d&tranche=%d&ruling=%s", v.release, v.stage, verdictWords[v.verdict])
	return []byte("POST / HTTP/1.1\r\nHost: " + address +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: " + strconv.Itoa(len(form)) +
		"\r\n\r\n" + form)
}

// voteOutcome derives the result of a vote from the response by the protocol's table. If the response can't be parsed,
// the vote may have been counted.
func voteOutcome(r upstreamResponse, err error) (policy.VoteResponse, releaseState, error) {
	if errors.Is(err, errNotWritten) {
		return policy.VoteRefused, releaseState{}, err
	}
	if err != nil {
		return policy.VoteUnanswered, releaseState{}, err
	}
	leaves, err := parseXMLLeaves(r.body)
	if err != nil {
		return policy.VoteUnanswered, releaseState{}, err
	}
	if r.status == http.StatusOK {
		state, err := parseReleaseState(ReadReleaseFields(leaves.text))
		if err != nil {
			return policy.VoteUnanswered, releaseState{}, err
		}
		return policy.VoteCounted, state, nil
	}
	code := leaves.text("Code")
	if response, known := uncountedResponses[platformCode{r.status, code}]; known {
		return response, releaseState{}, fmt.Errorf("%w: code %s", errVoteNotCounted, code)
	}
	return policy.VoteUnanswered, releaseState{}, fmt.Errorf("unexpected vote response: status %d, code %q", r.status, code)
}
