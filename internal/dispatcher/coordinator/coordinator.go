// Package coordinator connects the clients' side (ingress), the upstreams' side (egress) and discovery with the
// decision module; they meet nowhere else.
//
// One goroutine, that of Run, owns the decision module: it turns arrivals, ends of attempts, changes of the list and
// timers into the module's events and carries out the actions that come back. All other methods may be called from
// any goroutine. A caller calls New, Attach, perhaps Observe, then Run, and Submit for each request. Submit returns
// exactly one Response to each request; a request may still have attempts in flight by then. Egress must return
// exactly one end of each attempt. Any protocol that fills in a Request gets the same decisions by the same rules.
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
	// overdueGrace is how long after the client's deadline and the settings' grace a request that the module left
	// without a response is ended. Guards against a module that loses a request; the rules allow 50 ms.
	overdueGrace = 15 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 250 * time.Millisecond
	// inboxSize is how many calls may be queued for the coordinator before its callers block.
	inboxSize = 1024
	// maxRespondedIDs is how many ids of requests with a response are remembered: a request with one of them is not
	// new, and a runner would take it for a duplicate.
	maxRespondedIDs = 4096
)

// Coordinator connects ingress, egress and the route table to the decision module.
type Coordinator struct {
	set       policy.Settings
	seed      uint64
	egress    Egress
	directory Directory
	observer  Observer // may be nil
	log       logrus.FieldLogger
	clock     clock
	inbox     chan func()
	done      chan struct{}

	// The rest belongs to the goroutine of Run.
	modules      []*module // the last one takes new requests; the others finish theirs
	closing      bool
	members      map[string]policy.Member // the list as last received, for a module that starts over
	fleet        *policy.Event            // the last FleetUpdated; nil: none yet
	jobs         map[uint32]*job
	nextID       uint32
	ids          map[string]bool // of requests: open ones and the last maxRespondedIDs
	respondedIDs []string        // the ones with a response among them, a ring
	nextEvicted  int
	actions      []policy.Action
	stepAt       time.Duration // of the last step
}

// job is a request from its arrival until it has its response and all its attempts have ended.
type job struct {
	id           uint32
	module       *module // decides on it, with the settings in force at its arrival
	request      *Request
	deadline     time.Duration
	response     chan Response // of capacity 1, so that the coordinator never blocks on it
	responded    bool
	responseKind ResponseKind
	respondedAt  time.Time   // of the response
	overdue      *time.Timer // fires if the module has forgotten the request
	attempts     []*attempt
	openAttempts int // attempts that have not ended
}

// New returns a coordinator with a fresh decision module. Attach must be called before Run.
func New(set policy.Settings, seed uint64, log logrus.FieldLogger) (*Coordinator, error) {
	d, err := policy.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("starting the decision module: %w", err)
	}
	return &Coordinator{set: set, seed: seed, log: log, modules: []*module{{d: d, set: set}}, clock: newClock(),
		inbox: make(chan func(), inboxSize),
		done:  make(chan struct{}), members: map[string]policy.Member{}, jobs: map[uint32]*job{},
		ids: map[string]bool{}}, nil
}

// Attach sets the upstreams' and discovery's side. It must be called once, before Run.
func (c *Coordinator) Attach(e Egress, d Directory) { c.egress, c.directory = e, d }

// Observe has o notified of the end of each request. It must be called before Run.
func (c *Coordinator) Observe(o Observer) { c.observer = o }

// NotifyEnded notifies the observer of a request that got its response elsewhere, before Submit.
func (c *Coordinator) NotifyEnded(r *Request, a Response) {
	if c.observer != nil {
		c.observer.RequestEnded(EndedRequest{Request: r, Response: a.Kind, RespondedAt: time.Now()})
	}
}

// notifyJobEnded notifies the observer of a job's end.
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

// enqueue has the goroutine of Run call f. It blocks while the inbox is full, and does nothing after Run has ended.
func (c *Coordinator) enqueue(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// Submit returns the final response to a request. The client's disconnect must end ctx: Submit then returns
// ClientDisconnected and the request's attempts are cancelled. After Run has ended it returns InternalFault.
func (c *Coordinator) Submit(ctx context.Context, r *Request) Response {
	j := &job{request: r, response: make(chan Response, 1)}
	select {
	case c.inbox <- func() { c.arrive(j) }:
	case <-c.done:
	case <-ctx.Done(): // it disconnected while the inbox was full
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

// UpdateList passes on a list event (policy.ListChanged, ListReplaced, ListRestored or ListUnavailable).
func (c *Coordinator) UpdateList(e policy.Event) {
	c.enqueue(func() {
		c.applyList(&e)
		c.broadcast(e)
		c.egress.Prune()
	})
}

// UpdateFleet sets the dispatcher numbers whose parts of the fleet's budgets this one may use: all of numbers for the
// time validFor from now on, after that only its own. living is how many dispatchers are assumed to live.
func (c *Coordinator) UpdateFleet(numbers []int, validFor time.Duration, living int) {
	until := time.Duration(math.MaxInt64)
	if now := c.clock.now(); validFor < until-now {
		until = now + validFor
	}
	c.enqueue(func() {
		c.fleet = &policy.Event{Kind: policy.FleetUpdated, Numbers: numbers, Until: until, Living: living}
		c.broadcast(*c.fleet)
	})
}

// Close has every open request and every later one get its response at once. Run goes on until its context ends, so
// that the responses are delivered.
func (c *Coordinator) Close() {
	c.enqueue(func() {
		c.closing = true
		c.broadcast(policy.Event{Kind: policy.Closing})
	})
}
