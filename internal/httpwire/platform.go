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
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	noticesSilent = 3500 * time.Millisecond // a sign of life comes every second
	votesIdle     = 4 * time.Second         // the platform closes an idle connection after up to 10 s
	noticeMost    = 64 << 10
)

var (
	phases = map[string]policy.Phase{"canary": policy.OnTrial, "reverting": policy.GoingBack,
		"stable": policy.Released, "reverted": policy.Withdrawn}
	rulings = map[policy.Verdict]string{policy.None: "abstain", policy.On: "promote", policy.Hold: "pause",
		policy.Back: "abort"}
)

// Platform tells the news and takes the votes.
type Platform struct {
	core    *core.Core
	dial    Dial
	address string
	wait    time.Duration
	chance  *rand.Rand
	votes   chan ballot
	conn    *conn // for votes
}

type ballot struct {
	build   int
	verdict policy.Verdict
	stage   int
}

// NewPlatform makes one; a vote is waited for so long (ms).
func NewPlatform(c *core.Core, dial Dial, address string, wait float64, seed uint64) *Platform {
	return &Platform{core: c, dial: dial, address: address, wait: time.Duration(wait * 1e6),
		chance: policy.Chance(seed), votes: make(chan ballot, 64)}
}

// News hands a state of the newest build to the module, and says whether it could be read.
func (p *Platform) News(field func(string) string, reply policy.Reply) error {
	build, err1 := strconv.Atoi(field("release"))
	stage, err2 := strconv.Atoi(field("tranche"))
	limit, err3 := strconv.ParseFloat(field("exposure"), 64)
	age, err4 := strconv.ParseFloat(field("old_ms"), 64)
	phase, known := phases[field("mode")]
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return err
	}
	if !known || build < 0 || stage < 0 || !(limit >= 0 && limit <= 1) || !(age >= 0 && age < 1e12) {
		return errors.New("news out of range")
	}
	p.core.News(build, stage, phase, reply, limit, age, true)
	logrus.WithFields(logrus.Fields{"build": build, "stage": stage, "phase": field("mode"), "cap": limit,
		"age_ms": age, "vote": reply != policy.Unasked}).Info("news")
	return nil
}

// Listen follows the notices until ctx ends.
func (p *Platform) Listen(ctx context.Context) {
	pause := againFirst
	for ctx.Err() == nil {
		told, err := p.notices(ctx)
		if ctx.Err() != nil {
			return
		}
		if told {
			pause = againFirst
		}
		logrus.WithError(err).Warn("notices lost")
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(pause * (0.5 + p.chance.Float64()) * 1e6)):
		}
		pause = min(2*pause, againMost)
	}
}

func (p *Platform) notices(ctx context.Context) (told bool, err error) {
	c, resp, err := open(ctx, p.dial, p.address, "/notices", noticesSilent)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", resp.StatusCode)
	}
	logrus.Info("notices stand")
	event, data := "", ""
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, noticeMost)
	for lines.Scan() {
		c.SetReadDeadline(time.Now().Add(noticesSilent))
		told = true
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			event = value
		case "data":
			data += value
		case "":
			if lines.Text() != "" { // a sign of life
				continue
			}
			if event == "stage" {
				form, err := url.ParseQuery(data)
				if err == nil {
					err = p.News(form.Get, policy.Unasked)
				}
				if err != nil {
					logrus.WithError(err).WithField("data", data).Warn("a notice that can't be read")
				}
			}
			event, data = "", ""
		}
	}
	return told, cmp.Or(lines.Err(), errors.New("it ended"))
}

// Vote takes a vote to cast; it never waits.
func (p *Platform) Vote(build int, verdict policy.Verdict, stage int) {
	select {
	case p.votes <- ballot{build, verdict, stage}:
	default:
		go p.reply(policy.Refused)
	}
}

func (p *Platform) reply(r policy.Reply) { p.core.News(0, 0, policy.OnTrial, r, 0, 0, false) }

// Cast sends the votes in turn until ctx ends.
func (p *Platform) Cast(ctx context.Context) {
	defer func() {
		if p.conn != nil {
			p.conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.votes:
			entry := logrus.WithFields(logrus.Fields{"build": b.build, "stage": b.stage, "ruling": rulings[b.verdict]})
			reply, field, err := p.cast(ctx, b)
			if reply == policy.Counted {
				if err = p.News(field, reply); err != nil {
					reply = policy.Silent // what can't be read may have been carried out
				}
			}
			if reply != policy.Counted {
				p.reply(reply)
				entry = entry.WithError(err)
			}
			entry.WithField("reply", [...]string{"", "counted", "refused", "silent", "idle"}[reply]).Info("vote")
		}
	}
}

// cast sends one vote and reads its answer by the protocol's table.
func (p *Platform) cast(ctx context.Context, b ballot) (policy.Reply, func(string) string, error) {
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	if c := p.conn; c != nil && (time.Since(c.since) > votesIdle || !quiet(c.Conn)) {
		c.Close()
		p.conn = nil
	}
	if p.conn == nil {
		c, err := p.dial(ctx, p.address)
		if err != nil {
			return policy.Refused, nil, err
		}
		p.conn = newConn(c)
	}
	c := p.conn
	form := fmt.Sprintf("Action=CastVote&release=%d&tranche=%d&ruling=%s", b.build, b.stage, rulings[b.verdict])
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	answer, err := c.exchange([]byte("POST / HTTP/1.1\r\nHost: " + p.address +
		"\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: " + strconv.Itoa(len(form)) +
		"\r\n\r\n" + form))
	if !stop() || err != nil || answer.closes || c.in.Buffered() > 0 { // a late answer must not pass for the next vote's
		c.Close()
		p.conn = nil
	} else {
		c.since = time.Now()
	}
	if errors.Is(err, errUnsent) {
		return policy.Refused, nil, err
	}
	if err != nil {
		return policy.Silent, nil, err
	}
	leaf, err := leaves(answer.body)
	switch {
	case err != nil:
		return policy.Silent, nil, err
	case answer.status == http.StatusOK:
		return policy.Counted, leaf, nil
	case leaf("Code") == "STALE":
		return policy.Idle, nil, errors.New("stale")
	case leaf("Code") == "BUSY", leaf("Code") == "FAILED", leaf("Code") == "SYNTAX":
		return policy.Refused, nil, errors.New(leaf("Code"))
	}
	return policy.Silent, nil, fmt.Errorf("status %d, code %q", answer.status, leaf("Code"))
}

// leaves reads the texts of a document by the name of their element.
func leaves(doc []byte) (func(string) string, error) {
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
