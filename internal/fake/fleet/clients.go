package fleet

// This file owns the clients: they send requests at a rate, state deadlines, retry, and log what they got, which is the only
// oracle that an end-to-end test has.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"onyxgate/internal/record"
)

// Outcomes of a client's request. The first three are a response of the instance; their text is the record's, and a key in the
// figures that scripts read.
const (
	OutcomeServed      = "settled"
	OutcomeRejected    = "declined"
	OutcomeFailed      = "voided"
	OutcomeBadRequest  = "refused" // the instance took it for no valid request
	OutcomeBroken      = "broken"  // the connection broke before the response was whole
	OutcomeSilent      = "silent"  // nothing came until long after the deadline
	OutcomeUnreachable = "nobody"  // no connection to the instance
)

const (
	defaultKeys     = 1000
	maxTries        = 3
	retryDelay      = 50 * time.Millisecond  // grows by itself with each retry
	unreachableBackoff = 300 * time.Millisecond // for which clients pass over an instance that refused a connection
)

// Response is what one try of a client came to.
type Response struct {
	ID, Class  string
	Instance   int
	Sent, Done time.Time
	Outcome    string        // one of the Outcome constants
	Body       record.Digest // of a served request
	Retry      int           // 0 for the first try
}

// ClientOptions say what clients send, and where.
type ClientOptions struct {
	Addresses []string       // of the instances
	Rate      func() float64 // requests a second, asked before each
	Seed      uint64
	Keys      int // distinct keys of requests; 0: 1000
}

// Clients send requests to instances and log the responses.
type Clients struct {
	fleet   *Fleet
	options ClientOptions
	prefix  string // of request ids

	mu            sync.Mutex
	log           []Response
	idle          [][]net.Conn // by instance
	unreachableAt []time.Time  // by instance
	lastID        uint64
}

// NewClients makes clients, which send nothing until Run.
func NewClients(f *Fleet, options ClientOptions) *Clients {
	if options.Keys == 0 {
		options.Keys = defaultKeys
	}
	n := len(options.Addresses)
	return &Clients{
		fleet: f, options: options, prefix: fmt.Sprintf("%04x", options.Seed&0xffff),
		idle: make([][]net.Conn, n), unreachableAt: make([]time.Time, n),
	}
}

// Log is what all of them got so far.
func (c *Clients) Log() []Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Response(nil), c.log...)
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connections := range c.idle {
		for _, conn := range connections {
			conn.Close()
		}
	}
}

// Run sends requests until ctx ends, and returns when the last one under way has its response.
func (c *Clients) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 2))
	var requests sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() / c.options.Rate() * float64(time.Second)))
		next := request{
			class:          drawClass(random.Float64()),
			instance:       random.IntN(len(c.options.Addresses)),
			key:            random.IntN(c.options.Keys),
			idempotencyKey: fmt.Sprintf("%016x", random.Uint64()),
		}
		requests.Go(func() { c.send(next) })
	}
	requests.Wait()
}

// drawClass returns the class at a point between 0 and 1 of the classes' shares.
func drawClass(point float64) Class {
	for _, class := range Classes {
		if point < class.Share {
			return class
		}
		point -= class.Share
	}
	return Classes[len(Classes)-1]
}

// request is what a client wants; its tries share it.
type request struct {
	class          Class
	instance       int // at which it is tried first
	key            int
	idempotencyKey string
}

// send tries a request up to three times: a rejected one or one that reached nobody may be sent again, and one that may have run
// where its class allows it.
func (c *Clients) send(r request) {
	instance := r.instance
	for retry := range maxTries {
		var response Response
		response, instance = c.newResponse(r, instance, retry)
		c.fleet.RequestSent(instance)
		c.attempt(r, &response)
		response.Done = time.Now()
		c.logResponse(response)
		neverRan := response.Outcome == OutcomeRejected || response.Outcome == OutcomeUnreachable
		mayRetry := neverRan || r.class.Semantics != SemanticsNonIdempotent
		if response.Outcome == OutcomeServed || !mayRetry {
			return
		}
		time.Sleep(retryDelay * time.Duration(retry+1))
	}
}

// newResponse names a try and chooses its instance: as a load balancer before the instances, it passes over those that refused a
// connection a moment ago.
func (c *Clients) newResponse(r request, instance, retry int) (Response, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.options.Addresses {
		if time.Since(c.unreachableAt[instance]) > unreachableBackoff {
			break
		}
		instance = (instance + 1) % len(c.options.Addresses)
	}
	c.lastID++
	return Response{
		ID: fmt.Sprintf("%s%08x", c.prefix, c.lastID), Class: r.class.Name, Instance: instance, Sent: time.Now(), Retry: retry,
	}, instance
}

// logResponse logs a try.
func (c *Clients) logResponse(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, response)
	if response.Outcome == OutcomeUnreachable {
		c.unreachableAt[response.Instance] = time.Now()
	}
}
