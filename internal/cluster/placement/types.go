package placement

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Task is a pending task that may be started at once.
type Task struct {
	Key           any     // the caller's own; comparable
	Queue         string  // runtimes are learnt by queue
	Priority      int     // 0 goes first
	SizeMs        float64 // the client's hint of the runtime in ms, which may be far off; 0 or less: none
	Needs         protocol.Resources
	TimeLeft      time.Duration // to its job's objective; negative once that has passed
	ValueLeft     time.Duration // to the moment from which its job earns nothing any more; not less than TimeLeft
	RemainingWork float64       // of its job's repetition, in core-seconds; 0 for a long-running task
	Aged          bool          // it earns nothing any more and is run all the same, as a late task
	Waited        time.Duration // since it became pending
	Requirements  string        // a label that the runner must have, or empty
	Affinity      string        // the rack of its data, or empty
	Group         any           // the step that it belongs to; comparable
	AntiAffinity  int           // how many tasks of Group may run on one runner; 0: any number
	Gang          bool          // it starts together with all other tasks of Group, or not at all
	RackLocal     bool          // of a gang: it runs longer if it is spread over racks
	LongRunning   bool          // it has no end of its own
	HasCheckpoint bool          // it resumes from a checkpoint
	Remaining     float64       // fraction of its work that is left, above 0 and at most 1; 1 if unknown
}

// Runner is what the caller knows of a runner.
type Runner struct {
	ID           string
	Kind         string // of hardware, as far as runtimes depend on it
	Rack         string
	Zone         string
	Labels       []string
	Capacity     protocol.Resources
	Free         protocol.Resources // Capacity less that of all runs, also of those that are being stopped or were ordered
	Slowness     float64            // its runtimes over those of its kind; 1 and 0: as its kind
	FailureScore float64            // how often it failed what it started: 0 never, 1 always
	WarmingUp    time.Duration      // how much longer it stays slow after its start
	Draining     bool               // it starts nothing any more

	GroupCount map[any]int // running tasks by Group
	Running    []Run
	Reserved   Reservation // by earlier rounds of the same moment; only tasks without value respect it
}

// Run is a task that runs on a runner or was ordered there.
type Run struct {
	Key           any // the caller's own; comparable
	Queue         string
	Priority      int
	Needs         protocol.Resources
	Predicted     time.Duration // the complete runtime, as predicted at its start
	Elapsed       time.Duration
	CheckpointAge time.Duration // the work that is lost if it is stopped now
	LongRunning   bool
	Gang          bool
	Stopping      bool // it was ordered to stop and has not ended yet
	Group         any
}

// Options are the settings of a deployment.
type Options struct {
	FarFactor float64       // how many times longer a task runs outside its rack, or a gang over several racks; at least 1
	StopTime  time.Duration // the longest time that it takes to stop a run
	Restore   time.Duration // the time that it takes to resume from a checkpoint
}

// Placement starts a task on a runner. Task and Runner are indices into what Round was given.
type Placement struct {
	Task      int
	Runner    int
	Predicted time.Duration // its runtime there
}

// Stop preempts a run. Runner is an index into what Round was given, Run one into that runner's Running.
type Stop struct {
	Runner int
	Run    int
}

// RunnerReservation is capacity that a round keeps for a unit that has to wait. Runner is an index into what Round was given.
type RunnerReservation struct {
	Runner      int
	Reservation Reservation
}

// Result is the decisions of a round.
type Result struct {
	Placements   []Placement
	Stops        []Stop
	Reservations []RunnerReservation
}
