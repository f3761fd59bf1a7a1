package httpwire

// This file owns the two connections to the platform: the notices that tell where the newest build stands, and the
// votes. It must never vote, repeat a vote or read more into an answer than the protocol's table says; notices never
// wait on votes, nor either on traffic.

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	noticeSilence  = 3500 * time.Millisecond // a sign of life comes every second
	voteConnIdle   = 4 * time.Second         // the platform closes an idle connection after up to 10 s
	maxNoticeBytes = 64 << 10
)

var (
	phases = map[string]policy.Phase{
		"canary": policy.RollingOut, "reverting": policy.RollingBack,
		"stable": policy.Released, "reverted": policy.Withdrawn,
	}
	verdictWords = map[policy.Verdict]string{
		policy.NoVerdict: "abstain", policy.Promote: "promote", policy.Hold: "pause",
		policy.Rollback: "abort",
	}
)

// Platform tells the news and takes the votes.
type Platform struct {
	core            *core.Core
	dial            Dial
	mu              sync.Mutex
	address         string
	moved           chan bool
	voteTimeout     time.Duration
	rng             *rand.Rand
	votes           chan vote
	voteConn        *conn  // for votes
	voteConnAddress string // its address
}

type vote struct {
	release policy.ReleaseID
	verdict policy.Verdict
	stage   int
}

// NewPlatform makes one; a vote is waited for so long (ms).
func NewPlatform(c *core.Core, dial Dial, address string, wait float64, seed uint64) *Platform {
	return &Platform{
		core: c, dial: dial, address: address, voteTimeout: time.Duration(wait * 1e6),
		rng: policy.NewRand(seed), votes: make(chan vote, 64), moved: make(chan bool, 1),
	}
}

// releaseState is where the newest build stands, as a notice, a vote's answer or the configuration says it.
type releaseState struct {
	release  policy.ReleaseID
	stage    int
	cap, age float64
	phase    policy.Phase
}

// parseReleaseState reads a stand, whole or not at all.
func parseReleaseState(field func(string) string) (s releaseState, err error) {
	var errs [4]error
	known := false
	var build int
	build, errs[0] = strconv.Atoi(field("release"))
	s.release = policy.ReleaseID(build)
	s.stage, errs[1] = strconv.Atoi(field("tranche"))
	s.cap, errs[2] = strconv.ParseFloat(field("exposure"), 64)
	s.age, errs[3] = strconv.ParseFloat(field("old_ms"), 64)
	s.phase, known = phases[field("mode")]
	if err := cmp.Or(errs[:]...); err != nil {
		return s, err
	}
	if !known || s.release < 0 || s.stage < 0 || !(s.cap >= 0 && s.cap <= 1) || !(s.age >= 0 && s.age < 1e12) {
		return s, errors.New("news out of range")
	}
	return s, nil
}

// Apply hands a state of the newest build to the module, and says whether it could be read.
func (p *Platform) Apply(field func(string) string, reply policy.VoteResponse) error {
	s, err := parseReleaseState(field)
	if err != nil {
		return err
	}
	p.core.UpdateRelease(policy.ReleaseUpdate{Release: s.release, Stage: s.stage, Phase: s.phase, Response: reply, Cap: s.cap, Age: s.age, Known: true})
	logrus.WithFields(logrus.Fields{
		"build": s.release, "stage": s.stage, "phase": field("mode"), "cap": s.cap,
		"age_ms": s.age, "vote": reply != policy.NotAVote,
	}).Info("news")
	return nil
}

// SetAddress names another address: for the notices at once, for votes from the next one on.
func (p *Platform) SetAddress(address string) {
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
	select {
	case p.moved <- true:
	default:
	}
}

func (p *Platform) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Listen follows the notices until ctx ends.
func (p *Platform) Listen(ctx context.Context) {
	stream(ctx, p.rng, p.moved, "notices", true, p.readNotices)
}

func (p *Platform) readNotices(ctx context.Context, told func()) error {
	c, resp, err := openControl(ctx, p.dial, p.currentAddress(), "/notices", noticeSilence)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	logrus.Info("notices stand")
	event, data := "", ""
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxNoticeBytes)
	for lines.Scan() {
		c.SetReadDeadline(time.Now().Add(noticeSilence))
		name, value, colon := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "event" && colon:
			event = value
		case name == "data" && colon:
			data += value
		case name == "" && colon: // a sign of life
			told()
		case name == "":
			if event == "stage" {
				form, err := url.ParseQuery(data)
				if err == nil {
					err = p.Apply(form.Get, policy.NotAVote)
				}
				if err != nil { // noise: the connection is of no further use
					return fmt.Errorf("a notice that can't be read: %w: %.99q", err, data)
				}
			}
			told()
			event, data = "", ""
		default:
			return fmt.Errorf("a notice that can't be read: %.99q", lines.Text())
		}
	}
	return cmp.Or(lines.Err(), errors.New("it ended"))
}

// SendVote takes a vote to cast; it never waits.
func (p *Platform) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	select {
	case p.votes <- vote{release, verdict, stage}:
	default:
		go p.reportResponse(policy.VoteRefused)
	}
}

func (p *Platform) reportResponse(r policy.VoteResponse) {
	p.core.UpdateRelease(policy.ReleaseUpdate{Response: r})
}

// SendVotes sends the votes in turn until ctx ends.
func (p *Platform) SendVotes(ctx context.Context) {
	defer func() {
		if p.voteConn != nil {
			p.voteConn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.votes:
			entry := logrus.WithFields(logrus.Fields{"build": b.release, "stage": b.stage, "ruling": verdictWords[b.verdict]})
			reply, field, err := p.castVote(ctx, b)
			if reply == policy.VoteCounted {
				p.Apply(field, reply)
			} else {
				p.reportResponse(reply)
				entry = entry.WithError(err)
			}
			entry.WithField("reply", [...]string{"", "counted", "refused", "silent", "idle"}[reply]).Info("vote")
		}
	}
}

// castVote sends one vote and reads its answer by the protocol's table.
func (p *Platform) castVote(ctx context.Context, b vote) (policy.VoteResponse, func(string) string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.voteTimeout)
	defer cancel()
	address := p.currentAddress()
	// An answer's second copy may still be on its way, and would pass for this vote's.
	if c := p.voteConn; c != nil && (time.Since(c.idleSince) > voteConnIdle || time.Since(c.idleSince) < minReuseDelay || p.voteConnAddress != address ||
		!nothingUnread(c.Conn)) {
		c.Close()
		p.voteConn = nil
	}
	if p.voteConn == nil {
		c, err := p.dial(ctx, address)
		if err != nil {
			return policy.VoteRefused, nil, err
		}
		p.voteConn, p.voteConnAddress = newConn(c), address
	}
	c := p.voteConn
	form := fmt.Sprintf("Action=CastVote&release=%d&tranche=%d&ruling=%s", b.release, b.stage, verdictWords[b.verdict])
	stop := context.AfterFunc(ctx, c.Cancel)
	answer, err := c.roundTrip([]byte("POST / HTTP/1.1\r\nHost: " + address +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: " + strconv.Itoa(len(form)) +
		"\r\n\r\n" + form))
	reply, leaf, why := p.voteOutcome(answer, err)
	// A late answer must not pass for the next vote's, and after one that can't be read nothing can be told from noise.
	if !stop() || reply == policy.VoteUnanswered || answer.closes || c.in.Buffered() > 0 {
		c.Close()
		p.voteConn = nil
	} else {
		c.idleSince = time.Now()
	}
	return reply, leaf, why
}

// voteOutcome reads an answer by the protocol's table.
func (p *Platform) voteOutcome(answer upstreamResponse, err error) (policy.VoteResponse, func(string) string, error) {
	if errors.Is(err, errNotWritten) {
		return policy.VoteRefused, nil, err
	}
	if err != nil {
		return policy.VoteUnanswered, nil, err
	}
	leaf, err := xmlLeaves(answer.body)
	switch {
	case err != nil:
		return policy.VoteUnanswered, nil, err
	case answer.status == http.StatusOK:
		if _, err := parseReleaseState(leaf); err != nil { // what can't be read may have been carried out
			return policy.VoteUnanswered, nil, err
		}
		return policy.VoteCounted, leaf, nil
	case answer.status == http.StatusBadRequest && leaf("Code") == "STALE":
		return policy.VoteOutdated, nil, errors.New("stale")
	case answer.status == http.StatusBadRequest && (leaf("Code") == "BUSY" || leaf("Code") == "SYNTAX"),
		answer.status == http.StatusInternalServerError && leaf("Code") == "FAILED":
		return policy.VoteRefused, nil, errors.New(leaf("Code"))
	}
	return policy.VoteUnanswered, nil, fmt.Errorf("status %d, code %q", answer.status, leaf("Code"))
}

// xmlLeaves reads the texts of a document by the name of their element.
func xmlLeaves(doc []byte) (func(string) string, error) {
	texts := map[string]string{}
	in, name := xml.NewDecoder(bytes.NewReader(doc)), ""
	for {
		token, err := in.Token()
		if errors.Is(err, io.EOF) {
			if len(texts) == 0 {
				return nil, errors.New("an answer that says nothing")
			}
			return func(name string) string { return texts[name] }, nil
		}
		if err != nil {
			return nil, err
		}
		switch e := token.(type) {
		case xml.StartElement:
			name = e.Name.Local
		case xml.CharData:
			if name != "" {
				texts[name] = strings.TrimSpace(string(e))
			}
		case xml.EndElement:
			name = ""
		}
	}
}
