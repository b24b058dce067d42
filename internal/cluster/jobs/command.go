package jobs

import "ospreypond/internal/cluster/protocol"

// Command is one entry of the shard's log: all that the owner decided in one step. State.Apply applies its parts in the
// order of the fields, except that Starts come last. So a run can be started in the command that has the previous run's end.
type Command struct {
	// TimeOfDayMs is the owner's estimate of the time of day, in ms since 1970. The shard's clock never goes back: a time
	// below State.ClockMs is ignored.
	TimeOfDayMs     int64
	Submits         []Submit
	Cancels         []string // ids of the jobs to cancel
	Fences          []Fence
	Ends            []End // the ends of each runner must be in ascending order of N: Apply ignores an N that isn't higher
	Losses          []Loss
	Starts          []Start // applied after RunnerAddresses and Departures
	RunnerAddresses []RunnerAddress
	// Departures are the incarnations of runners that have deregistered. State.Departed then reports it to every later
	// owner of the shard, which must not start anything there.
	Departures []string
}

// Submit asks the shard to accept a job.
type Submit struct {
	ID      string
	Queue   protocol.Queue
	Job     protocol.JobSpec
	Version uint64 // version of the configuration that Queue comes from
}

// Fence asks the shard never to accept job ID from a Submit with Version or an older one, unless it has or had the job. The
// configuration of that version assigns the job's queue to another shard, which may accept the job after the fence.
//
// A fence with protocol.EveryVersion withdraws the id: while the tombstone is retained, no Submit of it is accepted. The
// cancel of an unknown job is recorded so, and not by a command of its own, because replicas of earlier releases apply a
// fence in the same way: replicas of both releases on one log stay equal.
type Fence struct {
	ID      string
	Version uint64 // version of the configuration, or protocol.EveryVersion
}

// End states that a run has ended, as its runner reported it.
type End struct {
	Runner     string          // incarnation of the runner
	N          uint64          // number of this end among the runner's ends, ascending from 1; see State.LastSeen
	Task       TaskID          // task of the run
	Run        uint64          // number of the run
	Outcome    protocol.RunEnd // unknown outcomes have the effect of protocol.EndStopped
	Checkpoint string          // newest checkpoint of the run, or empty
}

// Loss states that a run no longer exists on any runner, although no End of it was applied: its start order never reached
// the runner, or the runner's incarnation or lease has ended.
type Loss struct {
	Runner     string // incarnation of the runner
	Task       TaskID // task of the run
	Run        uint64 // number of the run
	Checkpoint string // newest checkpoint that the runner reported of the run, or empty
}

// RunnerAddress records the address at which an incarnation of a runner serves. A later incarnation at the same address
// proves that this one has ended. Because the address is replicated, an owner that never had contact with this incarnation
// can draw this conclusion too.
type RunnerAddress struct {
	Runner  string // incarnation of the runner
	Address string
}

// Start states that a run may exist from now on. Run must be one more than the task's newest run. All members of a gang
// must start in one command with the same Run; otherwise no member starts.
type Start struct {
	Task   TaskID // task of the run
	Run    uint64 // number of the run
	Runner string // incarnation of the runner
}
