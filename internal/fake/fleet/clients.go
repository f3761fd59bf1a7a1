package fleet

// The clients: they send requests with deadlines at a given rate, retry them and log the responses. This log is the
// only oracle for the responses that the instances sent.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"onyxgate/internal/record"
)

// Outcomes of one try of a client's request. The record uses the same texts for the first three. All are keys in the
// figures that scripts read.
const (
	OutcomeServed      = "settled"
	OutcomeRejected    = "declined"
	OutcomeFailed      = "voided"
	OutcomeBadRequest  = "refused" // the instance rejected the request as invalid
	OutcomeBroken      = "broken"  // the connection broke before the response was complete
	OutcomeSilent      = "silent"  // no response until long after the deadline
	OutcomeUnreachable = "nobody"  // the instance could not be connected to
)

const (
	defaultKeys        = 1000
	maxTries           = 3
	retryDelay         = 50 * time.Millisecond  // before the first retry; grows linearly with each further one
	unreachableBackoff = 300 * time.Millisecond // how long clients avoid an instance that refused a connection
)

// Response is the result of one try of a client.
type Response struct {
	ID, Class  string
	Instance   int
	Sent, Done time.Time
	Outcome    string        // one of the Outcome constants
	Body       record.Digest // of a served request
	Retry      int           // 0 for the first try
}

// ClientOptions configures the traffic of the clients.
type ClientOptions struct {
	Addresses []string       // of the instances
	Rate      func() float64 // requests per second, evaluated before each request
	Seed      uint64
	Keys      int // number of distinct affinity keys; 0 means 1000
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

// NewClients returns clients that send nothing until Run is called.
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

// Log returns the responses of all clients so far.
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

// Run sends requests until ctx is done, and returns once all open requests have ended, with their retries.
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

// drawClass maps a point between 0 and 1 to a class according to the classes' shares.
func drawClass(point float64) Class {
	for _, class := range Classes {
		if point < class.Share {
			return class
		}
		point -= class.Share
	}
	return Classes[len(Classes)-1]
}

// request is a client's request; all its tries share it.
type request struct {
	class          Class
	instance       int // where it is sent first
	key            int
	idempotencyKey string
}

// send tries a request up to three times. A request that was rejected, or that reached no instance, may always be
// retried; one that may have run is retried only if its class allows it.
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

// newResponse assigns a try its id and its instance. Like a load balancer in front of the instances, it skips those
// that refused a connection a moment ago.
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

// logResponse appends the result of a try to the log.
func (c *Clients) logResponse(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, response)
	if response.Outcome == OutcomeUnreachable {
		c.unreachableAt[response.Instance] = time.Now()
	}
}
