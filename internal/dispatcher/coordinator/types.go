package coordinator

import (
	"context"
	"errors"
	"time"

	"ospreypond/policy"
)

// Request is a client's request. It doesn't depend on the client's protocol.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string        // names the data that the request needs cached at its runner; empty: not known
	Arrived  time.Time     // when its last byte was read
	Deadline time.Time     // when the client gives up
	Work     time.Duration // the client's estimate of the runtime at speed 1; 0: none
	Slots    float64       // slots that the request occupies at a runner
	Memory   float64       // memory that it occupies, in the unit of the runners' load reports
	Retry    bool          // the client marked it as a retry

	// These are forwarded to the runner unchanged.
	Method, Target, IdempotencyKey, ContentType string
	Body                                        []byte
}

// ResponseKind says how a request ended.
type ResponseKind int

// The kinds of final responses.
const (
	Served             ResponseKind = iota // a runner's Result
	Shed                                   // refused: a retry is harmless
	Failed                                 // it may have run; its effect is unknown
	InternalFault                          // failed by a fault of this program; it may have run
	ClientDisconnected                     // the client has disconnected, so no response is sent
	InvalidRequest                         // a runner found the request itself invalid
	DuplicateID                            // refused: another request, which isn't affected, has the same id
)

// String returns the response's name in logs and recorded traffic, which use older names (docs/GLOSSARY.md).
func (k ResponseKind) String() string {
	return [...]string{"served", "shed", "failed", "broken", "left", "rejected", "repeated"}[k]
}

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Result     []byte
	RetryAfter time.Duration // with Shed: how long the client should wait before a retry; 0: no advice
}

// Attempt is one attempt of a request on one upstream.
type Attempt struct {
	Target     string // the upstream's name in the route table
	Request    *Request
	Deadline   time.Time                // when the dispatcher stops waiting
	OnProgress func(k policy.EventKind) // called with policy.JobStarted and policy.JobProgress
	// Begin must be called before the attempt's first byte is written to a connection, with that connection's lock
	// held. If it returns an error (ErrRevoked or ErrTooLate), no byte of the attempt may be written, now or later.
	Begin func(now time.Time) error
}

// Errors of Attempt.Begin. If the first call of Begin fails, the attempt never runs.
var (
	ErrRevoked = errors.New("attempt revoked: the request has its response, or its client has disconnected")
	ErrTooLate = errors.New("the time before which the attempt's first byte had to be written has passed")
)

// AttemptEnd is the end of an attempt or a probe.
type AttemptEnd struct {
	Outcome policy.Outcome
	// InvalidRequest is set if the target found the request itself invalid. Outcome is policy.Cancelled then, so that
	// the request doesn't count against the target.
	InvalidRequest bool
	// Indeterminate is set if Outcome says that the attempt never ran, but may belong to another attempt: it was read,
	// without a request's id, from a connection that carried responses to other jobs before.
	Indeterminate bool
	Result        []byte // with policy.OK of an attempt
	Report        policy.Report
}

// Egress is the upstreams' side. Attempt and Probe block until the end of the attempt or probe is known, or their
// context ends. All methods may be called from any goroutine.
type Egress interface {
	Attempt(ctx context.Context, attempt *Attempt) AttemptEnd
	Probe(ctx context.Context, target string) AttemptEnd
	CloseIdle(target string)
	Prune() // drops the state of targets that are no longer in the route table
}

// Directory is discovery's side. After Subscribe has been called, it passes the list of runners and its changes to
// Coordinator.UpdateList. Subscribe must not block.
type Directory interface {
	Subscribe()
}

// EndedRequest is a request with its response and all its attempts, after the last of these has ended. Attempts that
// were in flight when a panic made the coordinator replace the module, or when Run ended, have no end.
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
	Ended   bool // if not set, Took and Outcome are not set either
	Outcome policy.Outcome
}

// Observer is notified of the ends of requests. RequestEnded is called from several goroutines, Run's among them, and
// must not block.
type Observer interface {
	RequestEnded(EndedRequest)
}
