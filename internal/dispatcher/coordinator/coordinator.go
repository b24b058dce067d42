// Package coordinator is where the side of the clients and the side of the runners meet, and nowhere else. One
// goroutine owns the decision module: it turns arrivals, ends of attempts, news of the list and timers into the
// module's events and carries out the actions that come back. Any protocol that fills in a Request and waits
// for its Answer gets the same decisions under the same rules.
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
	// overdueAfter is how long after the client's deadline plus the settings' slack a request that the module left
	// without an answer is ended. Guards against a module that loses a request; the rules leave 50 ms.
	overdueAfter = 15 * time.Millisecond
	// probeLimit is how long a probe is waited for.
	probeLimit = 250 * time.Millisecond
	// inboxSize is how many calls may be queued for the coordinator before its callers block.
	inboxSize = 1024
	// idMemory is how many ids of answered requests are remembered: one that comes again is not a new request,
	// and a runner that gets it takes it for a second copy.
	idMemory = 4096
)

// Coordinator connects ingress, egress and the route table to the decision module.
type Coordinator struct {
	set    policy.Settings
	seed   uint64
	egress Egress
	list   Directory
	watch  Observer // nil: nobody
	log    logrus.FieldLogger
	clock  clock
	inbox  chan func()
	done   chan struct{}

	// The rest belongs to the goroutine of Run.
	mods    []*module // the last one takes new requests; those before finish what they took
	ctx     context.Context
	closing bool
	members map[string]policy.Member // as last told, for a module that starts over
	fleet   *policy.Event            // as last told; nil: no fleet
	jobs    map[uint32]*job
	nextID  uint32
	ids     map[string]bool // of the requests taken, open ones and the last idMemory
	oldIDs  []string        // the answered ones among them, a ring
	oldest  int
	actions []policy.Action
	stepAt  time.Duration // of the last step
}

// job is a request that was taken, until it has its answer and all its attempts have ended.
type job struct {
	id       uint32
	mod      *module // the one that decides on it, with the settings it started with
	r        *Request
	due      time.Duration
	answer   chan Answer // holds one, so that the coordinator never waits for a client's side
	answered bool
	kind     AnswerKind
	at       time.Time   // of the answer
	overdue  *time.Timer // runs out when the module has forgotten the request
	attempts []*attempt
	out      int // attempts that have not ended
}

// New returns a coordinator round a fresh decision module. Attach must be called before Run.
func New(set policy.Settings, seed uint64, log logrus.FieldLogger) (*Coordinator, error) {
	d, err := policy.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("starting the decision module: %w", err)
	}
	return &Coordinator{set: set, seed: seed, log: log, mods: []*module{{d: d, set: set}}, clock: newClock(),
		inbox: make(chan func(), inboxSize),
		done:  make(chan struct{}), members: map[string]policy.Member{}, jobs: map[uint32]*job{},
		ids: map[string]bool{}}, nil
}

// Attach connects the upstreams' side and discovery's side.
func (c *Coordinator) Attach(e Egress, d Directory) { c.egress, c.list = e, d }

// Watch has o told how each request ended. It must be called before Run.
func (c *Coordinator) Watch(o Observer) { c.watch = o }

// Turned tells the observer of a request that was answered before it came here.
func (c *Coordinator) Turned(r *Request, a Answer) {
	if c.watch != nil {
		c.watch.Ended(Ended{Request: r, Answer: a.Kind, Answered: time.Now()})
	}
}

// tell tells the observer of a job.
func (c *Coordinator) tell(j *job) {
	if c.watch == nil {
		return
	}
	e := Ended{Request: j.r, Answer: j.kind, Answered: j.at, Attempts: make([]EndedAttempt, len(j.attempts))}
	for i, attempt := range j.attempts {
		e.Attempts[i] = EndedAttempt{Target: attempt.target, Sent: attempt.sent, Took: attempt.took, Over: attempt.over, Outcome: attempt.outcome}
	}
	c.watch.Ended(e)
}

// do has f run by the coordinator's goroutine. Once the coordinator has ended it does nothing.
func (c *Coordinator) do(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// Submit takes a request and waits for its final answer, or for its client to leave, which ends ctx.
func (c *Coordinator) Submit(ctx context.Context, r *Request) Answer {
	j := &job{r: r, answer: make(chan Answer, 1)}
	select {
	case c.inbox <- func() { c.arrive(j) }:
	case <-c.done:
	case <-ctx.Done(): // it left while others were waited for
		a := Answer{Kind: Left}
		c.Turned(r, a)
		return a
	}
	select {
	case a := <-j.answer:
		return a
	case <-ctx.Done():
		c.do(func() { c.leave(j) })
		return Answer{Kind: Left}
	case <-c.done:
		select {
		case a := <-j.answer:
			return a
		default:
			return Answer{Kind: Broken}
		}
	}
}

// News takes in what discovery told.
func (c *Coordinator) News(e policy.Event) {
	c.do(func() {
		c.remember(&e)
		c.toAll(e)
		c.egress.Prune()
	})
}

// Share takes in which numbers of those that the dispatchers' budgets are cut into this one acts for: all of them for so
// long from now, after that only its own. living is how many dispatchers are held to be there.
func (c *Coordinator) Share(numbers []int, sure time.Duration, living int) {
	until := time.Duration(math.MaxInt64)
	if now := c.clock.now(); sure < until-now {
		until = now + sure
	}
	c.do(func() {
		c.fleet = &policy.Event{Kind: policy.FleetUpdated, Numbers: numbers, Until: until, Living: living}
		c.toAll(*c.fleet)
	})
}

// Close has every open request answered now, and every later one at once. The coordinator goes on so that the
// answers get out.
func (c *Coordinator) Close() {
	c.do(func() {
		c.closing = true
		c.toAll(policy.Event{Kind: policy.Closing})
	})
}
