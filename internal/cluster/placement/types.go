package placement

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Task is a pending task that may be started now.
type Task struct {
	Key           any     // identifies the task for the caller; comparable
	Queue         string  // the predictor learns runtimes by queue
	Priority      int     // 0 is the highest
	SizeMs        float64 // the client's hint of the runtime in ms, which may be very inaccurate; 0 or less: none
	Needs         protocol.Resources
	TimeLeft      time.Duration // time until the task must end for its job to meet its objective; may be negative
	TimeToExpiry  time.Duration // time until the task must end for its job to keep any value; at least TimeLeft
	RemainingWork float64       // work that is left of its job's repetition, in core-seconds, without long-running tasks
	Aged          bool          // the task is expired and was promoted against starvation; it ranks as a late task
	Waited        time.Duration // time since the task became pending
	Requirements  string        // label that the runner must have; empty: any runner
	Affinity      string        // rack of the task's data; empty: no preference
	Group         any           // identifies the step of the task; comparable
	AntiAffinity  int           // largest number of tasks of Group on one runner; 0: no limit
	Gang          bool          // all tasks of Group start together, or none does
	RackLocal     bool          // only for a gang: it runs NonLocalFactor times longer if its members are in several racks
	LongRunning   bool          // the task runs until it is stopped
	HasCheckpoint bool          // the task resumes from a checkpoint
	Remaining     float64       // fraction of its work that is left, above 0 and at most 1; 1 if unknown
}

// Runner is the state of a runner as the caller knows it.
type Runner struct {
	ID           string
	Kind         string // kind of hardware, on which runtimes depend
	Rack         string
	Zone         string
	Labels       []string
	Capacity     protocol.Resources
	Free         protocol.Resources // Capacity less the needs of all runs, including runs that are being started or stopped
	Slowness     float64            // runtimes on this runner over the runtimes on its kind; 0 stands for 1
	FailureScore float64            // recent failures: 0 if no run has failed, up to 1 if all have
	WarmingUp    time.Duration      // remaining time during which the runner is slow after its start
	Draining     bool               // no task may be started on the runner

	GroupCount map[any]int // number of running tasks by Group
	Running    []Run       // runs that release capacity when they end; some of them may be preempted
	Reserved   Reservation // reservation of an earlier round at the same time; only expired tasks respect it
}

// Run is a run of a task on a runner.
type Run struct {
	Key           any // identifies the run for the caller; comparable
	Queue         string
	Priority      int // 0 is the highest
	Needs         protocol.Resources
	Predicted     time.Duration // predicted runtime of the complete run
	Elapsed       time.Duration // time since its start
	CheckpointAge time.Duration // runtime that is lost if the run is stopped now
	LongRunning   bool
	Gang          bool
	Stopping      bool // the run was ordered to stop and hasn't ended
	Group         any  // identifies the step of its task; comparable
}

// Options are the settings of a deployment.
type Options struct {
	// NonLocalFactor is how many times longer a task runs outside the rack of its data, or a rack-local gang across
	// racks. It is at least 1.
	NonLocalFactor float64
	StopTime       time.Duration // longest time that it takes to stop a run
	RestoreTime    time.Duration // extra start-up time of a run that resumes from a checkpoint
}

// Placement starts a task on a runner. Task and Runner are indices into the arguments of Round.
type Placement struct {
	Task      int
	Runner    int
	Predicted time.Duration // predicted runtime of the task on the runner
}

// Stop preempts a run. Runner is an index into the argument of Round, Run an index into that runner's Running.
type Stop struct {
	Runner int
	Run    int
}

// RunnerReservation is capacity that a round has reserved for a unit that must wait. Runner is an index into the argument
// of Round.
type RunnerReservation struct {
	Runner      int
	Reservation Reservation
}

// Result has the decisions of a round.
type Result struct {
	Placements   []Placement
	Stops        []Stop
	Reservations []RunnerReservation
}
