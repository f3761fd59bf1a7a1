package httpwire

// This file sends votes, one after the other on one connection, and says by the protocol's table what a response means.

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
	voteQueueSize = 64 // votes that may wait for SendVotes

	// voteConnMaxIdle is for how long the votes' connection is reused: the platform closes an idle one after up to 10 s.
	voteConnMaxIdle = 4 * time.Second
)

// verdictWords and voteResponseWords are the words of the wire and of the log.
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

// errVoteNotCounted is what the platform said by one of its codes.
var errVoteNotCounted = errors.New("the platform did not count the vote")

// vote is one vote on a stage of a release.
type vote struct {
	release policy.ReleaseID
	verdict policy.Verdict
	stage   int
}

// platformCode is a status with the code that the platform sends with it.
type platformCode struct {
	status int
	code   string
}

// uncountedResponses are the responses that say for certain that a vote does not count.
var uncountedResponses = map[platformCode]policy.VoteResponse{
	{http.StatusBadRequest, "STALE"}:           policy.VoteOutdated,
	{http.StatusBadRequest, "BUSY"}:            policy.VoteRefused,
	{http.StatusBadRequest, "SYNTAX"}:          policy.VoteRefused,
	{http.StatusInternalServerError, "FAILED"}: policy.VoteRefused,
}

// SendVote queues a vote for SendVotes. It never waits; where the queue is full, the vote is reported as refused.
func (p *Platform) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	select {
	case p.votes <- vote{release, verdict, stage}:
	default:
		// On a goroutine of its own, which ends with the report: the decisions that called are at work, and the report waits
		// for them.
		go p.reportResponse(policy.VoteRefused)
	}
}

// reportResponse tells the decisions of a response that holds no release's state.
func (p *Platform) reportResponse(response policy.VoteResponse) {
	p.core.UpdateRelease(policy.ReleaseUpdate{Response: response})
}

// SendVotes sends the votes in turn until ctx ends.
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

// sendVote sends one vote and tells the decisions what became of it.
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

// castVote sends one vote and returns what its response means. Only with VoteCounted is there a state; with any other response
// the error says why.
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
	// A late response must not pass for the next vote's, and after one that can't be read nothing can be told from noise.
	inTime := stop()
	if !inTime || response == policy.VoteUnanswered || !c.reusable(r) {
		p.closeVoteConn()
	} else {
		c.idleSince = time.Now()
	}
	return response, state, outcomeErr
}

// openVoteConn has a connection ready for the next vote: the one before, where it can be reused, or a new one.
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

// voteConnReusable reports whether the open connection may carry the next vote to an address. A second copy of the last response
// may still be on its way for a moment, and would pass for this vote's.
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

// voteOutcome says by the protocol's table what became of a vote. What can't be read may have been carried out.
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
		return response, releaseState{}, fmt.Errorf("%w: %s", errVoteNotCounted, code)
	}
	return policy.VoteUnanswered, releaseState{}, fmt.Errorf("status %d, code %q", r.status, code)
}
