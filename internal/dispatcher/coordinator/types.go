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
	Key      string        // what the request needs cached at its runner; empty: nothing known
	Arrived  time.Time     // when its last byte was read
	Deadline time.Time     // when the client gives up
	Work     time.Duration // the client's estimate; 0: none
	Slots    float64
	Memory   float64
	Retry    bool

	// Forwarded to the runner unchanged.
	Method, Target, IdempotencyKey, ContentType string
	Body                                        []byte
}

// ResponseKind is how a request ended.
type ResponseKind int

// The final responses.
const (
	Served             ResponseKind = iota // with the Result of a runner
	Shed                                   // it certainly never ran: a retry is harmless
	Failed                                 // nothing is promised about its effect
	InternalFault                          // failed by a fault of this program
	ClientDisconnected                     // there is nobody to respond to
	Unusable                               // a runner found the request itself invalid
	DuplicateID                            // its id is that of another request, which goes on
)

// String returns the response's word in logs and recorded traffic, which keep older words (docs/GLOSSARY.md).
func (k ResponseKind) String() string {
	return [...]string{"served", "shed", "failed", "broken", "left", "rejected", "repeated"}[k]
}

// Response is the one final response to a request.
type Response struct {
	Kind       ResponseKind
	Result     []byte
	RetryAfter time.Duration // with Shed: when to retry; 0: no advice
}

// Attempt is one attempt of a request on one upstream.
type Attempt struct {
	Target     string // the upstream, by the name that the route table has for it
	Request    *Request
	Deadline   time.Time                // when the dispatcher stops waiting
	OnProgress func(k policy.EventKind) // called with policy.JobStarted and policy.JobProgress
	// Begin must be called each time the attempt's first byte is about to be written, with the lock of its connection
	// held. After an error, which is ErrRevoked or ErrTooLate, nothing may be written, now or later.
	Begin func(now time.Time) error
}

// Errors of Attempt.Begin. The attempt never ran then.
var (
	ErrRevoked = errors.New("the request has its response, or its client has disconnected")
	ErrTooLate = errors.New("the time by which the attempt had to begin is over")
)

// AttemptEnd is how an attempt or a probe ended.
type AttemptEnd struct {
	Outcome policy.Outcome
	// Unusable reports whether the target found the request itself invalid, which says nothing about the target. Outcome is
	// policy.Cancelled then.
	Unusable bool
	// Indeterminate reports whether the outcome, which says that the attempt never ran, may be that of another attempt:
	// it was read, without a request's id, from a connection that carried other jobs' responses before.
	Indeterminate bool
	Result        []byte // with policy.OK of an attempt
	Report        policy.Report
}

// Egress is the upstreams' side. Attempt and Probe block until the end is known, or until their context ends. All
// methods may be called from any goroutine.
type Egress interface {
	Attempt(ctx context.Context, attempt *Attempt) AttemptEnd
	Probe(ctx context.Context, target string) AttemptEnd
	CloseIdle(target string)
	Prune() // drops the state of targets that are not in the route table any more
}

// Directory is discovery's side. After Subscribe, which must not block, it passes the list and its changes to
// Coordinator.UpdateList.
type Directory interface {
	Subscribe()
}

// EndedRequest is a request with its response and all its attempts, once the last of them has ended. Attempts that were
// in flight when the module was replaced, or the program stopped, have no end.
type EndedRequest struct {
	Request     *Request
	Response    ResponseKind
	RespondedAt time.Time
	Attempts    []EndedAttempt
}

// EndedAttempt is one attempt of an EndedRequest.
type EndedAttempt struct {
	Target  string
	Sent    time.Time
	Took    time.Duration
	Ended   bool // whether it has ended; if not, Took and Outcome are not set
	Outcome policy.Outcome
}

// Observer is notified of the ends of requests. It is called from several goroutines, that of Run among them, and must
// not block.
type Observer interface {
	RequestEnded(EndedRequest)
}
