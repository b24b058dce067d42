// Package policy is the decision module of one scheduler: it decides which worker each request is sent to,
// and when.
//
// The package has no clock, sockets or goroutines. The caller passes the time and all events of that moment
// to Dispatcher.Step, from one goroutine at a time, and carries out the returned actions in their order.
// Equal settings, seeds, times and events give equal actions.
//
// A Dispatcher guarantees:
//   - It sends another attempt for a request only where the semantics of the request's class allow one after
//     the attempts that it knows of.
//   - It returns at most one final action (Refuse or Fail) for a request.
//
// It relies on the caller to feed in exactly one AttemptEnded for each Send.
//
// This file is the complete interface: the settings, the events that a scheduler feeds in, and the actions
// that it carries out. policy.go lists the files that make the decisions.
package policy

import (
	"time"

	"ospreypond/internal/assignment"
)

// Semantics says whether a request may run more than once.
type Semantics int

// The semantics that a class can have.
const (
	Safe   Semantics = iota // may run any number of times
	Keyed                   // one group of workers drops duplicates by an idempotency key, for a limited time
	Unsafe                  // must run at most once
)

// DedupScope is the group of workers that share their memory of keys. Only a worker of the group that got the
// first attempt recognizes a second one as a duplicate.
type DedupScope int

// The groups of workers that can share their memory of keys.
const (
	ScopeCell DedupScope = iota // the workers of a cell
	ScopeZone                   // the workers of a zone
	ScopeAll                    // all workers
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Semantics     Semantics
	DedupScope    DedupScope    // with Keyed: the workers that drop duplicates
	DedupWindow   time.Duration // with Keyed: how long after an attempt they drop duplicates
	LatencyTarget time.Duration // a response has full value up to LatencyTarget + Stretch x its work
	Stretch       float64       // see LatencyTarget; 0: the target doesn't depend on the work
	Deadline      time.Duration // how long the client waits in total, retries included
	LateValue     float64       // fraction of the full value that a later response has, until Deadline
	Kind          string        // the only machine kind that can run the class; empty: any
	Streamed      bool          // responses stream to the client while the job runs
}

// Tenant is a customer with an allowance: a rate of requests that rank before all requests beyond it.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second, summed over all schedulers
}

// Settings configures a dispatcher. A zero value means "absent" or "not allowed".
type Settings struct {
	Zone            string // the zone that this scheduler runs in
	Number          int    // this scheduler's number: 0 to Schedulers-1, each used once
	Schedulers      int    // how many schedulers share the workers
	Classes         []Class
	Tenants         []Tenant
	MinStepInterval time.Duration // the least time between two calls of Step

	ListOnDemand  bool // the list of workers arrives only after Subscribe; otherwise it is pushed
	ReportsStarts bool // workers report when a job starts
	LoadReports   bool // the ends of probes or attempts carry load reports

	MayCancel, MayProbe bool // this scheduler may cancel attempts; it may probe workers
	// MaxAttempts is the most attempts for a request. A request is refused if it makes the number of open
	// requests reach MaxOpenRequests. Either may be 0: no limit.
	MaxAttempts, MaxOpenRequests int
	MaxRetryAfter                time.Duration // the longest RetryAfter that clients respect; 0: none is sent
	ConnIdleTimeout              time.Duration // an idle connection closes after this time
	ConnectTimeout               time.Duration // how long setting up a connection may take

	ResponseGrace    time.Duration // how long after the client's deadline a final response still counts
	MaxListAge       time.Duration // with ListOnDemand: greatest age of a list without confirmation
	MinStartCapacity float64       // least fraction of its full capacity that a worker has when it starts
	MaxWarmUpTime    time.Duration // longest time after its start until a worker has its full capacity
	// A worker that is warming up fails if it is sent more than OverloadFactor times the work that its
	// present capacity completes in OverloadWindow, within that time.
	OverloadFactor float64
	OverloadWindow time.Duration

	DrainCloseTimeout time.Duration // idle connections to a draining worker close within it; 0: no rule

	// The costs of one crossing of zones, one connection handshake and one probe, in points. A point is
	// also the unit of maxProbeCostPerRequest.
	CrossZonePrice, HandshakePrice, ProbePrice float64
}

// State is a worker's state on the list.
type State int

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Removed
)

// Member is an entry of the list of workers.
type Member struct {
	Worker  string
	Zone    string
	Cell    int
	Kind    string
	State   State
	Started time.Duration // when its process last started; 0: long ago
}

// Report is a worker's load report. A field that was not reported is negative.
type Report struct {
	FreeSlots, FreeMemory, Queued, InFlight, Load float64
}

// NoReport is the Report of a worker that reported no field.
var NoReport = Report{-1, -1, -1, -1, -1}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. NeverRan lists the outcomes that prove that the attempt never ran.
const (
	OK            Outcome = iota // a result arrived
	Failed                       // the worker responded with an error
	Full                         // the worker rejected it: it has no room
	TimedOut                     // no response in time
	ConnectFailed                // no connection could be set up
	Reset                        // the connection broke
	Cancelled                    // this scheduler cancelled it, or the worker found the request invalid
	Moot                         // it ended before any part of it was sent
)

// NeverRan reports whether an outcome proves that the attempt never ran.
func NeverRan(o Outcome) bool { return o == Full || o == ConnectFailed || o == Moot }

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"ok", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	return names[o]
}

// EventKind is the kind of an Event. It determines which of the event's fields are set.
type EventKind int

// The kinds of events, with the fields that each sets.
const (
	Request            EventKind = iota // ID, Class, Tenant, Key, TimeLeft, Work, Slots, Memory, IsRetry
	ResponseStarted                     // ID, Attempt: the client gets the response's first part
	JobStarted                          // ID, Attempt
	JobProgress                         // ID, Attempt
	AttemptEnded                        // ID, Attempt, Outcome, Indeterminate, Elapsed, Responded, Report
	ClientDisconnected                  // ID
	TimerFired                          // Token
	ProbeEnded                          // Worker, Outcome, Elapsed, Report
	ListChanged                         // Members: the changed entries only
	ListReplaced                        // Members: the complete list
	ListRestored                        // Members: the list as this scheduler last knew it before its restart
	ListUnavailable                     // a call for the list failed, or the subscription ended
	FleetUpdated                        // Numbers, NumbersValidUntil, LiveSchedulers
	Closing                             // shutdown: open and later requests get their final response at once
)

// Event is an observation that a scheduler feeds in. Kind determines which fields are set.
type Event struct {
	Kind              EventKind
	ID                uint32
	Class             string
	Tenant            string
	Key               string        // the data that the request needs cached at its worker; empty: not known
	TimeLeft          time.Duration // until the client gives up
	Work              time.Duration // expected runtime on a machine of speed 1; 0: not known
	Slots             float64       // slots that the request occupies at a worker
	Memory            float64       // memory that it occupies, in the unit of Report.FreeMemory
	IsRetry           bool          // the client marked the request as a retry
	Attempt           int           // index of the attempt within its request, from 0
	Outcome           Outcome
	Indeterminate     bool          // Outcome, one of NeverRan, may be another request's
	Elapsed           time.Duration // since the attempt or probe was sent
	Responded         bool          // the request has its final response
	Report            Report
	Token             uint64
	Worker            string
	Members           []Member
	Numbers           []int         // scheduler numbers; it may use their budget shares
	NumbersValidUntil time.Duration // from then on only this scheduler's own number is valid
	LiveSchedulers    int           // number of schedulers that are assumed to be alive
}

// ActionKind is the kind of an Action. It determines which of the action's fields are set.
type ActionKind int

// The kinds of actions, with the fields that each sets.
const (
	Send      ActionKind = iota // ID, Worker, Timeout (0: until the client gives up), FirstByteBy
	Cancel                      // ID, Attempt
	Refuse                      // ID, RetryAfter: final response; a retry is harmless
	Fail                        // ID: final response; an attempt may have run
	ArmTimer                    // At, Token: feed in TimerFired with Token at that time
	Probe                       // Worker: ask it for a load report
	Subscribe                   // call for the list of workers and its changes
	CloseIdle                   // Worker: close the idle connections to it
	Log                         // Text
)

// Texts of the conditions that logChange logs when they begin and when they end.
const (
	listLostText = "the list of workers is unavailable and the last one is used"
	failOpenText = "nearly all workers near by look sick and none is avoided"
	overloadText = "late jobs are given up"
)

// Action is an action that the caller of Step has to carry out now. Kind determines which fields are set.
type Action struct {
	Kind        ActionKind
	ID          uint32
	Worker      string
	Timeout     time.Duration
	FirstByteBy time.Duration // the first byte may be sent only before this time; 0: no bound
	Attempt     int
	RetryAfter  time.Duration
	At          time.Duration
	Token       uint64
	Text        string
}

// Assign returns for each row of costs its column in a minimum-cost one-to-one assignment. A row that gets no
// column, as there are fewer columns than rows, has -1. Rounds match jobs to slots by the same algorithm.
func Assign(costs [][]float64, cols int) []int { return assignment.Solve(costs, cols) }
