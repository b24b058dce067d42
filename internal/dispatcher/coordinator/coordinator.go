// Package coordinator connects the clients' side (ingress), the upstreams' side (egress) and discovery to the decision
// module (package policy). These sides have no other connection to each other.
//
// The goroutine that calls Run owns the decision module. It turns arrivals, ends of attempts, changes of the list of
// runners and timers into the module's events, and carries out the actions that the module returns. All other methods
// may be called from any goroutine. A caller uses New, Attach and perhaps Observe, then Run, and Submit for each
// request.
//
// Submit returns exactly one Response to each request, which may still have attempts in flight then. Egress must return
// exactly one end of each attempt. A Request doesn't depend on the client's protocol, so the decisions don't.
package coordinator

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/policy"
)

const (
	// overdueGrace is how long after the client's deadline plus Settings.ResponseGrace the coordinator itself ends a
	// request without a response. Guards against a module that loses a request. The deployments' rules allow 50 ms.
	overdueGrace = 15 * time.Millisecond
	// probeTimeout is the longest time that a probe may take.
	probeTimeout = 250 * time.Millisecond
	// inboxSize is how many calls may be queued for Run's goroutine before callers block.
	inboxSize = 1024
	// maxRespondedIDs is how many ids of requests with a response are remembered. A new request with one of these ids
	// is refused, as a runner would drop it as a duplicate.
	maxRespondedIDs = 4096
)

// Coordinator connects ingress, egress and discovery to the decision module.
type Coordinator struct {
	settings  policy.Settings
	seed      uint64
	egress    Egress
	directory Directory
	observer  Observer // may be nil
	log       logrus.FieldLogger
	clock     clock
	inbox     chan func()
	done      chan struct{}

	// Run's goroutine owns the fields below.
	modules      []*module // the last module gets new requests; each earlier one keeps its requests until they have ended
	closing      bool
	members      map[string]policy.Member // by name: the list as last received, which a new module starts with
	fleet        *policy.Event            // the last FleetUpdated, which a new module starts with; nil: none yet
	jobs         map[uint32]*job
	nextID       uint32
	ids          map[string]bool // ids of the open requests and of the last maxRespondedIDs with a response
	respondedIDs []string        // ids of requests with a response: a ring of maxRespondedIDs
	nextEvicted  int             // index in respondedIDs of the oldest id, once the ring is full
	actions      []policy.Action // of the last step
	lastStepAt   time.Duration   // time of the last step
}

// job is a request from its arrival until it has its response and all its attempts have ended.
type job struct {
	id           uint32
	module       *module // decides on it, with the settings at its arrival
	request      *Request
	deadline     time.Duration
	response     chan Response // has a buffer of 1, so that Run's goroutine never blocks on it
	responded    bool
	responseKind ResponseKind
	respondedAt  time.Time
	overdueTimer *time.Timer // fires if there is no response overdueGrace after the deadline and the grace
	attempts     []*attempt
	openAttempts int // number of attempts that have not ended
}

// New returns a coordinator with a new decision module. Attach must be called before Run.
func New(set policy.Settings, seed uint64, log logrus.FieldLogger) (*Coordinator, error) {
	d, err := policy.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("starting the decision module: %w", err)
	}
	return &Coordinator{settings: set, seed: seed, log: log, modules: []*module{{dispatcher: d, settings: set}}, clock: newClock(),
		inbox: make(chan func(), inboxSize),
		done:  make(chan struct{}), members: map[string]policy.Member{}, jobs: map[uint32]*job{},
		ids: map[string]bool{}}, nil
}

// Attach sets the upstreams' side and discovery's side. It must be called once, before Run.
func (c *Coordinator) Attach(e Egress, d Directory) { c.egress, c.directory = e, d }

// Observe makes o the observer that is notified of the end of each request. It must be called before Run.
func (c *Coordinator) Observe(o Observer) { c.observer = o }

// NotifyEnded notifies the observer of a request that got its response without reaching the decision module.
func (c *Coordinator) NotifyEnded(r *Request, a Response) {
	if c.observer != nil {
		c.observer.RequestEnded(EndedRequest{Request: r, Response: a.Kind, RespondedAt: time.Now()})
	}
}

// notifyJobEnded notifies the observer of the end of a job.
func (c *Coordinator) notifyJobEnded(j *job) {
	if c.observer == nil {
		return
	}
	e := EndedRequest{Request: j.request, Response: j.responseKind, RespondedAt: j.respondedAt, Attempts: make([]EndedAttempt, len(j.attempts))}
	for i, attempt := range j.attempts {
		e.Attempts[i] = EndedAttempt{Target: attempt.target, Sent: attempt.sent, Took: attempt.took, Ended: attempt.ended, Outcome: attempt.outcome}
	}
	c.observer.RequestEnded(e)
}

// enqueue queues a call of f by Run's goroutine. It blocks while the inbox is full. After Run has ended, f isn't
// called.
func (c *Coordinator) enqueue(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// Submit returns the final response to a request. ctx must end when the client disconnects: then Submit returns
// ClientDisconnected, and the request's attempts are cancelled. Once an attempt's first call of Begin has succeeded, it
// is cancelled only if policy.Settings.MayCancel is set. After Run has ended, Submit returns InternalFault.
func (c *Coordinator) Submit(ctx context.Context, r *Request) Response {
	j := &job{request: r, response: make(chan Response, 1)}
	select {
	case c.inbox <- func() { c.arrive(j) }:
	case <-c.done:
	case <-ctx.Done(): // the client disconnected while the inbox was full
		a := Response{Kind: ClientDisconnected}
		c.NotifyEnded(r, a)
		return a
	}
	select {
	case a := <-j.response:
		return a
	case <-ctx.Done():
		c.enqueue(func() { c.disconnect(j) })
		return Response{Kind: ClientDisconnected}
	case <-c.done:
		select {
		case a := <-j.response:
			return a
		default:
			return Response{Kind: InternalFault}
		}
	}
}

// UpdateList passes a list event to the decision module: policy.ListChanged, ListReplaced, ListRestored or
// ListUnavailable.
func (c *Coordinator) UpdateList(e policy.Event) {
	c.enqueue(func() {
		c.applyList(&e)
		c.broadcast(e)
		c.egress.Prune()
	})
}

// UpdateFleet sets the dispatcher numbers that this dispatcher may use: it may use their shares of the fleet's budgets.
// They are valid for the time validFor from now; after that only its own number is valid. living is the number of
// dispatchers that are assumed to be alive.
func (c *Coordinator) UpdateFleet(numbers []int, validFor time.Duration, living int) {
	until := time.Duration(math.MaxInt64)
	if now := c.clock.now(); validFor < until-now {
		until = now + validFor
	}
	c.enqueue(func() {
		c.fleet = &policy.Event{Kind: policy.FleetUpdated, Numbers: numbers, NumbersValidUntil: until, LiveSchedulers: living}
		c.broadcast(*c.fleet)
	})
}

// Close makes the decision module finish every open request, and every later one, at once. Run doesn't return before
// its context ends, so the responses are still delivered.
func (c *Coordinator) Close() {
	c.enqueue(func() {
		c.closing = true
		c.broadcast(policy.Event{Kind: policy.Closing})
	})
}
