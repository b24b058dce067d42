// Package policy decides, for one scheduler, which worker each request is sent to and when.
//
// It has no clock, sockets or goroutines: the caller passes the time and all events of that moment to
// Dispatcher.Step, from one goroutine at a time, and carries out the actions it returns in their order. The
// same settings, seed, times and events give the same actions. It promises that an attempt is only sent where
// the class's semantics allow one more, given every end of an attempt that was fed in, and that each request
// gets at most one final action; it relies on the caller for one AttemptEnded per Send.
//
// This file is the complete interface: the settings, the events a scheduler feeds in and the actions it
// carries out. policy.go names the files with the decisions.
package policy

import (
	"time"

	"ospreypond/internal/assignment"
)

// Semantics is whether a request may be run more than once.
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
	Name          string
	Semantics     Semantics
	Scope         Scope         // for Keyed
	Window        time.Duration // for Keyed: how long repeats are dropped
	LatencyTarget time.Duration // full value is earned within it plus Stretch times the request's own work
	Stretch       float64
	Deadline      time.Duration // the client's total wait
	LateValue     float64       // fraction of the value for a response after that and before Deadline
	Kind          string        // the only machine kind that runs it; empty: any
	Streamed      bool
}

// Tenant is a customer with an allowance of the service.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second over all schedulers; those beyond go last
}

// Settings is what a dispatcher is configured with. Zero values mean "absent" or "not allowed".
type Settings struct {
	Zone       string // where this scheduler runs
	Number     int    // this scheduler's number, from 0
	Schedulers int    // how many there are
	Classes    []Class
	Tenants    []Tenant
	Period     time.Duration // the minimum interval between two steps

	ListOnDemand  bool // the list of workers arrives only after Subscribe; else it is pushed
	ReportsStarts bool // workers report when a job starts
	Reports       bool // probes or outcomes carry load reports

	Cancel, Probes       bool          // what this scheduler may do
	MaxAttempts, MaxOpen int           // 0: no limit
	MaxRetryAfter        time.Duration // the longest that clients respect; 0: none is sent
	ConnIdle             time.Duration // idle connections close after this
	ConnectTimeout       time.Duration

	ResponseGrace  time.Duration // after the client's deadline, while a final response still counts
	MaxListAge     time.Duration // with ListOnDemand: how old an unconfirmed list may grow
	MinWarmth      float64       // fraction of its capacity that a worker has at its start, at least
	WarmUpTime     time.Duration // a worker has its full capacity after this time at most
	OverloadFactor float64       // sent more than this times its present capacity ...
	OverloadWindow time.Duration // ... within this time, a worker that is warming up fails

	DrainClose time.Duration // idle connections to a draining worker close within this; 0: no rule

	// In points per request at its first attempt.
	CrossZonePrice, HandshakePrice, ProbePrice float64
}

// State is what the list says of a worker.
type State int

// The states of a listed worker.
const (
	Ready State = iota
	Draining
	Removed
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

// NoReport is a Report without any field.
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

// NeverRan reports whether an outcome proves that the attempt never ran.
func NeverRan(o Outcome) bool { return o == Full || o == ConnectFailed || o == Moot }

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"ok", "failed", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	return names[o]
}

// EventKind determines which fields of an Event are set.
type EventKind int

// The events.
const (
	Request            EventKind = iota // ID, Class, Tenant, Key, Left, Work, Slots, Memory, Retry
	ResponseStarted                     // ID, Attempt: the response streams to the client from now on
	JobStarted                          // ID, Attempt
	JobProgress                         // ID, Attempt
	AttemptEnded                        // ID, Attempt, Outcome, Indeterminate, Elapsed, Complete, Report
	ClientDisconnected                  // ID
	TimerFired                          // Token
	ProbeEnded                          // Worker, Outcome, Elapsed, Report
	ListChanged                         // Members: changed entries only
	ListReplaced                        // Members: the complete list
	ListRestored                        // Members: the list as last known before a restart
	ListUnavailable                     // a list call failed or the subscription dropped
	FleetUpdated                        // Numbers, Until, Living; before the first, only its own number
	Closing                             // this scheduler stops: open and later requests are finished at once
)

// Event is one observation.
type Event struct {
	Kind          EventKind
	ID            uint32
	Class         string
	Tenant        string
	Key           string        // what the request needs cached at its worker; empty: nothing known
	Left          time.Duration // until the client gives up
	Work          time.Duration // expected runtime at speed 1; 0: no hint
	Slots         float64
	Memory        float64
	Retry         bool
	Attempt       int
	Outcome       Outcome
	Indeterminate bool // the proof that the attempt never ran may be another request's
	Elapsed       time.Duration
	Complete      bool
	Report        Report
	Token         uint64
	Worker        string
	Members       []Member
	Numbers       []int         // scheduler numbers, each with an equal part of shared budgets
	Until         time.Duration // from then on only this scheduler's own number is valid
	Living        int           // schedulers that are known to live
}

// ActionKind determines which fields of an Action are set.
type ActionKind int

// The actions.
const (
	Send      ActionKind = iota // ID, Worker, Timeout (0: until the client gives up), By
	Cancel                      // ID, Attempt
	Refuse                      // ID, RetryAfter: final; it never ran or is safe: a retry is harmless
	Fail                        // ID: final; it may have run
	Arm                         // At, Token: feed in TimerFired then
	Probe                       // Worker
	Subscribe                   // follow the list of workers from now on
	CloseIdle                   // Worker
	Log                         // Text
)

// Conditions that are logged as they begin and end.
const (
	listLost     = "the list of workers is unavailable and the last one is used"
	failingOpen  = "nearly all workers near by look sick and none is avoided"
	givingUpLate = "late jobs are given up"
)

// Action is one thing the scheduler is to do now, in the order given.
type Action struct {
	Kind       ActionKind
	ID         uint32
	Worker     string
	Timeout    time.Duration
	By         time.Duration // its first byte must be sent before that time or never; 0: no bound
	Attempt    int
	RetryAfter time.Duration
	At         time.Duration
	Token      uint64
	Text       string
}

// Assign returns for each row of costs its column in a minimum-cost one-to-one assignment, or -1 for rows
// beyond the number of columns. It is the matching that rounds use.
func Assign(costs [][]float64, cols int) []int { return assignment.Solve(costs, cols) }
