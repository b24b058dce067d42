// Package policy decides, for one scheduler, which worker each request is sent to and when.
//
// This file is the whole interface: the settings, the events a scheduler feeds in and the actions it
// carries out. policy.go names the files with the decisions.
package policy

import (
	"time"

	"ospreypond/internal/assignment"
)

// Semantics says whether a request may be run more than once.
type Semantics int

// The three kinds of effect a request can have.
const (
	Safe   Semantics = iota // may be repeated freely
	Keyed                   // repeats are dropped by one group of workers, for a while
	Unsafe                  // must never run twice
)

// Scope is the group of workers that remembers a keyed request.
type Scope int

// The groups that may share their memory of keys.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Semantics Semantics
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped
	Aim       time.Duration // full worth is earned within Aim plus Stretch times the request's own work
	Stretch   float64
	Deadline  time.Duration // the client's total wait
	LateWorth float64       // part of the worth that an answer between Aim and Deadline earns
	Kind      string        // the only machine kind that runs it; empty: any
	Streamed  bool
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second, over all schedulers, inside its share
}

// Settings is what a dispatcher is told when it starts. Zero values mean "absent" or "not allowed".
type Settings struct {
	Zone       string // where this scheduler runs
	Number     int    // this scheduler's number, from 0
	Schedulers int    // how many there are
	Classes    []Class
	Tenants    []Tenant
	Period     time.Duration // the shortest gap between two steps

	AskList    bool // the list of workers arrives only when asked for
	TellsStart bool // workers say when a job starts
	Reports    bool // probes or outcomes bring load reports

	Cancel, Probes       bool          // what this scheduler may do
	MaxAttempts, MaxOpen int           // 0: no limit
	MaxRetryAfter        time.Duration // the longest wait that clients respect; 0: they are told none
	ConnIdle             time.Duration // idle connections close after this
	ConnectTimeout       time.Duration

	AnswerSlack  time.Duration // how long after the client's deadline a final answer still counts
	AskWithin    time.Duration // where AskList: how old an unconfirmed list may grow
	ColdFrom     float64       // share of its capacity a fresh worker has at least
	ColdFor      time.Duration // it is warm after this time at most
	FallMultiple float64       // sent more than this times its present capacity ...
	TipAfter     time.Duration // ... for this long, a cold worker falls over

	DrainClose time.Duration // idle connections to a draining worker are closed within this; 0: no such rule

	// Points of service, for each first try.
	CrossZonePrice, HandshakePrice, ProbePrice float64
}

// State is what the list says of a worker.
type State int

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Gone
)

// Member is one entry of the list of workers.
type Member struct {
	Worker  string
	Zone    string
	Cell    int
	Kind    string
	State   State
	Started time.Duration // when it last started; 0: long ago
}

// Report is a worker's load report. A field is negative where it was not reported.
type Report struct {
	FreeSlots, FreeMemory, Queued, InFlight, Load float64
}

// NoReport is a Report that tells nothing.
var NoReport = Report{-1, -1, -1, -1, -1}

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	OK Outcome = iota
	Failed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// NeverRan tells whether an outcome proves that the attempt never ran.
func NeverRan(o Outcome) bool { return o == Full || o == ConnectFailed || o == Moot }

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"ok", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	return names[o]
}

// EventKind tells which fields of an Event are set.
type EventKind int

// The events.
const (
	Request         EventKind = iota // ID, Class, Tenant, Key, Left, Work, Slots, Memory, Retry
	AnswerStarted                    // ID, Attempt: the answer streams and belongs to the client now
	JobStarted                       // ID, Attempt
	JobProgress                      // ID, Attempt
	AttemptEnded                     // ID, Attempt, Outcome, Doubtful, Elapsed, Complete, Report
	ClientGone                       // ID
	TimerFired                       // Token
	ProbeEnded                       // Worker, Outcome, Elapsed, Report
	ListChanged                      // Members: changed entries only
	ListReplaced                     // Members: the complete list
	ListRestored                     // Members: the list as last known before a restart
	ListUnavailable                  // a list call failed or the subscription dropped
	FleetTold                        // Numbers, Until, Living: a fleet's word; without one its own number
	Closing                          // this scheduler stops: what is open, and what still comes, ends now
)

// Event is one observation.
type Event struct {
	Kind     EventKind
	ID       uint32
	Class    string
	Tenant   string
	Key      string        // what the request needs at its worker; empty: nothing that is known
	Left     time.Duration // until the client gives up
	Work     time.Duration // expected runtime at speed 1; 0: no hint
	Slots    float64
	Memory   float64
	Retry    bool
	Attempt  int
	Outcome  Outcome
	Doubtful bool // the outcome's proof that the attempt never ran may be another request's
	Elapsed  time.Duration
	Complete bool
	Report   Report
	Token    uint64
	Worker   string
	Members  []Member
	Numbers  []int         // each stands for an equal part of what Schedulers share
	Until    time.Duration // from then on only this scheduler's own of them holds
	Living   int           // schedulers that are there, as far as is known
}

// ActionKind tells which fields of an Action are set.
type ActionKind int

// The actions.
const (
	Send      ActionKind = iota // ID, Worker, Timeout (0: until the client gives up), By
	Cancel                      // ID, Attempt
	Refuse                      // ID, RetryAfter: final, a retry is harmless
	Fail                        // ID: final, nothing is promised
	Arm                         // At, Token
	Probe                       // Worker
	Subscribe                   // follow the list from now on
	CloseIdle                   // Worker
	Log                         // Text
)

// listLost is logged when the list can't be had any more, and when it can again.
const listLost = "the list of workers is unavailable and the last one is used"

// Action is one thing the scheduler is to do now, in the order given.
type Action struct {
	Kind       ActionKind
	ID         uint32
	Worker     string
	Timeout    time.Duration
	By         time.Duration // its first byte goes out before that moment or never; 0: no such bound
	Attempt    int
	RetryAfter time.Duration
	At         time.Duration
	Token      uint64
	Text       string
}

// Assign returns for each row of costs the column of a minimum-cost one-to-one assignment, or -1 where
// columns are short: the module's own matching, for whoever places other things.
func Assign(costs [][]float64, cols int) []int { return assignment.Solve(costs, cols) }
