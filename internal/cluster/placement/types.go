// Package placement decides in rounds which held task starts on which runner. Each round is a minimum-cost one-to-one
// assignment of tasks to the places that runners offer; the cost of task i on runner j is C_j x L_ij, i's predicted
// runtime on j weighed by j's kind, and a pairing that would end too late costs a fixed penalty. Gangs are placed
// whole, room may be held back for one, and runs of less priority may be stopped for what is urgent.
//
// The package is pure: what it knows comes with each call, it starts nothing and reads no clock.
package placement

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Task is a held task that may be started at once.
type Task struct {
	Key           any     // the caller's own
	Queue         string  // what predictions are learnt by
	Priority      int     // 0 goes first
	SizeMs        float64 // the client's guess of the runtime, which may be far off; ms
	Needs         protocol.Resources
	TimeLeft      time.Duration // to its job's objective; negative once that has passed
	Waited        time.Duration // since its turn came
	Requirements  string        // a label that the runner must have, or empty
	Affinity      string        // rack where its data lies, or empty
	Group         any           // the step of one time that it belongs to; comparable
	AntiAffinity  int           // most tasks of Group on one runner; 0: no bound
	Gang          bool          // it starts together with all other tasks of Group, or not at all
	RackLocal     bool          // a gang that is slower if it is spread over racks
	LongRunning   bool          // it has no end of its own
	HasCheckpoint bool          // it goes on from a checkpoint
	Remaining     float64       // share of its work that is left, above 0 and at most 1; 1 if unknown
}

// Runner is what the caller knows of a runner.
type Runner struct {
	ID           string
	Kind         string // of hardware, as far as runtimes depend on it
	Rack         string
	Zone         string
	Labels       []string
	Capacity     protocol.Resources
	Free         protocol.Resources // capacity less everything that runs, is being stopped or was ordered
	Slowness     float64            // its runtimes over those of its kind; 1 and 0: as its kind
	FailureScore float64            // 0: none; 1: what it starts fails or stands still
	WarmingUp    time.Duration      // how much longer it stays slow after its start
	Draining     bool               // it starts nothing any more

	RemainingLeft time.Duration // of a draining one: least time left; 0: unknown
	GroupCount    map[any]int   // running tasks by Group
	Running       []Run
}

// Run is a task at work on a runner, or on its way to it.
type Run struct {
	Key           any
	Queue         string
	Priority      int
	Needs         protocol.Resources
	Predicted     time.Duration // whole runtime, as predicted at its start
	Elapsed       time.Duration
	CheckpointAge time.Duration // work that is lost if it is stopped now
	LongRunning   bool
	Gang          bool
	Stopping      bool
	Group         any
}

// Options are the figures of a deployment.
type Options struct {
	FarFactor float64       // how much longer a task runs outside its rack, or a gang over several racks
	GangWait  time.Duration // how long a gang's member waits at a runner for the others
	StopTime  time.Duration // most time that a stop takes
	SaveEvery time.Duration // work between two checkpoints
	Restore   time.Duration // what it takes to go on from a checkpoint
}

// Placement starts a task on a runner. Task and Runner are positions in what Round was given.
type Placement struct {
	Task      int
	Runner    int
	Predicted time.Duration // its runtime there
}

// Stop ends a run early, to make room. Run is a position in the runner's Running.
type Stop struct {
	Runner int
	Run    int
}

// Result is what a round decided.
type Result struct {
	Placements []Placement
	Stops      []Stop
}
