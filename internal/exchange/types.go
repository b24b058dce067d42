package exchange

import (
	"context"
	"errors"
	"time"

	"ospreypond/policy"
)

// Request is one client's request, whatever protocol it came by.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string        // what the request concerns; runners keep what it takes to serve it
	Arrived  time.Time     // when its last byte was read
	Deadline time.Time     // when the client gives up
	Work     time.Duration // the client's estimate; 0: none
	Slots    float64
	Memory   float64
	Retry    bool

	// What a runner is handed unchanged.
	Method, Target, IdempotencyKey, ContentType string
	Body                                        []byte
}

// AnswerKind is how a request ended.
type AnswerKind int

// The final answers.
const (
	Served   AnswerKind = iota // Result is a runner's
	Shed                       // refused: a retry is harmless
	Failed                     // nothing is promised about its effect
	Broken                     // failed through a fault of this program
	Left                       // its client has gone; there is nobody to answer
	Rejected                   // a runner cannot use it
	Repeated                   // its id is that of another request, which is not touched
)

func (k AnswerKind) String() string {
	return [...]string{"served", "shed", "failed", "broken", "left", "rejected", "repeated"}[k]
}

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Result     []byte
	RetryAfter time.Duration // with Shed: when to come back; 0: no advice
}

// Hop is one attempt at a request on one egress target.
type Hop struct {
	Target   string
	Request  *Request
	Deadline time.Time                // when the dispatcher stops waiting
	News     func(k policy.EventKind) // told of policy.JobStarted and policy.JobProgress
	// Begin is asked each time the hop's first byte is about to be written, under the lock of its connection. On an
	// error, which is ErrRevoked or ErrTooLate, nothing may be written, now or later.
	Begin func(now time.Time) error
}

// Why a hop may not begin any more. It never ran then.
var (
	ErrRevoked = errors.New("the request has its answer, or its client has left")
	ErrTooLate = errors.New("the time by which the hop had to begin is over")
)

// HopEnd is how a hop or a probe ended.
type HopEnd struct {
	Outcome policy.Outcome
	// Rejected: the target found the request itself unusable, which says nothing about the target. Outcome is
	// policy.Cancelled.
	Rejected bool
	// Doubtful: the outcome says that the attempt never ran, by a word that names no request, on a connection that
	// brought jobs' answers before. A second answer to one of those may pass for it, however late.
	Doubtful bool
	Result   []byte // with policy.OK of a hop
	Report   policy.Report
}

// Egress is the side of the egress targets. Hop and Probe block until the end is known; they end early when
// their context does.
type Egress interface {
	Hop(ctx context.Context, h *Hop) HopEnd
	Probe(ctx context.Context, target string) HopEnd
	CloseIdle(target string)
	Prune() // drops the state of targets that are gone
}

// Directory is the side of discovery: it is asked to follow the list, and answers by Exchange.News.
type Directory interface {
	Subscribe()
}

// Ended is a request with its answer and all its hops, when the last of them has ended. Hops that ran when the module
// was replaced, or when the program stopped, have no end.
type Ended struct {
	Request  *Request
	Answer   AnswerKind
	Answered time.Time
	Hops     []EndedHop
}

// EndedHop is one hop of an Ended.
type EndedHop struct {
	Target  string
	Sent    time.Time
	Took    time.Duration
	Over    bool // it has ended; otherwise Took and Outcome tell nothing
	Outcome policy.Outcome
}

// Observer is told how requests ended. It is called from several goroutines, the exchange's own among them, and must
// not wait for anything.
type Observer interface {
	Ended(Ended)
}
