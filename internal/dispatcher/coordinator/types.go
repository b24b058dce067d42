package coordinator

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
	Refused                    // it certainly never ran: a retry is harmless
	Failed                     // nothing is promised about its effect
	Broken                     // failed through a fault of this program
	Left                       // its client has gone; there is nobody to answer
	Rejected                   // a runner cannot use it
	Repeated                   // its id is that of another request, which is not touched
)

// String returns the word for the answer in logs and recorded traffic.
func (k AnswerKind) String() string {
	return [...]string{"served", "shed", "failed", "broken", "left", "rejected", "repeated"}[k]
}

// Answer is the one final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Result     []byte
	RetryAfter time.Duration // with Refused: when to come back; 0: no advice
}

// Attempt is one try of a request on one upstream.
type Attempt struct {
	Target   string // the upstream, by the name that the route table has for it
	Request  *Request
	Deadline time.Time                // when the dispatcher stops waiting
	News     func(k policy.EventKind) // told of policy.JobStarted and policy.JobProgress
	// Begin is asked each time the attempt's first byte is about to be written, under the lock of its connection. On an
	// error, which is ErrRevoked or ErrTooLate, nothing may be written, now or later.
	Begin func(now time.Time) error
}

// Why an attempt may not begin any more. It never ran then.
var (
	ErrRevoked = errors.New("the request has its answer, or its client has left")
	ErrTooLate = errors.New("the time by which the attempt had to begin is over")
)

// AttemptEnd is how an attempt or a probe ended.
type AttemptEnd struct {
	Outcome policy.Outcome
	// Rejected: the target found the request itself unusable, which says nothing about the target. Outcome is
	// policy.Cancelled.
	Rejected bool
	// Doubtful: the outcome says that the attempt never ran, by a word that names no request, on a connection that
	// brought jobs' answers before. A second answer to one of those may pass for it, however late.
	Doubtful bool
	Result   []byte // with policy.OK of an attempt
	Report   policy.Report
}

// Egress is the side of the upstreams. Attempt and Probe block until the end is known; they end early when
// their context does.
type Egress interface {
	Attempt(ctx context.Context, attempt *Attempt) AttemptEnd
	Probe(ctx context.Context, target string) AttemptEnd
	CloseIdle(target string)
	Prune() // drops the state of targets that are gone
}

// Directory is the side of discovery: it is asked to follow the list, and answers by Coordinator.News.
type Directory interface {
	Subscribe()
}

// Ended is a request with its answer and all its attempts, when the last of them has ended. Attempts that ran when the module
// was replaced, or when the program stopped, have no end.
type Ended struct {
	Request  *Request
	Answer   AnswerKind
	Answered time.Time
	Attempts []EndedAttempt
}

// EndedAttempt is one attempt of an Ended.
type EndedAttempt struct {
	Target  string
	Sent    time.Time
	Took    time.Duration
	Over    bool // it has ended; otherwise Took and Outcome tell nothing
	Outcome policy.Outcome
}

// Observer is told how requests ended. It is called from several goroutines, the coordinator's own among them, and must
// not wait for anything.
type Observer interface {
	Ended(Ended)
}
