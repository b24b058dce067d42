// Package jobs is the replicated state machine of one shard of jobs: what clients handed in, every run that may
// exist, and how runs ended. It is pure and deterministic: the same commands in the same order give the same state on
// each replica. What is only a guess (which runner has room, what is predicted) is the owner's, in package scheduler.
package jobs

import "ospreypond/internal/cluster/protocol"

// TaskID names a task: its text form is JOB.K.STEP.INDEX.
type TaskID struct {
	Job   string
	Time  int // K, counted from 0; 0 without repetitions
	Step  int
	Index int
}

// Command is one entry of the shard's log: everything that the owner decided in one round.
type Command struct {
	TimeOfDayMs     int64 // owner's estimate, ms since 1970; the shard's clock never goes back
	Submits         []Submit
	Cancels         []string // jobs
	Fences          []Fence
	Ends            []End // those of one runner with rising N
	Losses          []Loss
	Starts          []Start
	RunnerAddresses []RunnerAddress // applied before the starts
	// Departures are the runners that have said that they end. Nothing is started there any more, whoever owns the shard.
	Departures []string
}

// Submit hands a job in.
type Submit struct {
	ID      string
	Queue   protocol.Queue
	Job     protocol.JobSpec
	Version uint64 // of the configuration that the queue was picked by
}

// Fence says that the shard will never take a job from a hand-in whose queue was picked by Version or an older one.
type Fence struct {
	ID      string
	Version uint64 // of the configuration by which the queue belongs to another shard
}

// End is an end that a runner listed.
type End struct {
	Runner     string // instance id
	N          uint64
	Task       TaskID
	Run        uint64
	Outcome    string // one of the protocol's ends
	Checkpoint string
}

// Loss says that a run certainly runs nowhere and has no end that counts: it never reached its runner, or its
// runner's incarnation or hold is over.
type Loss struct {
	Runner     string
	Task       TaskID
	Run        uint64
	Checkpoint string // newest checkpoint seen of it, or empty
}

// RunnerAddress says at which address an incarnation of a runner stands. A later incarnation there proves that it is over,
// also to an owner that has never heard of it.
type RunnerAddress struct {
	Runner  string // instance id
	Address string
}

// Start says that a run may exist from now on. Run must be the task's Run + 1. All members of a gang come in one
// command with the same Run.
type Start struct {
	Task   TaskID
	Run    uint64
	Runner string
}

// Phase is where a task stands.
type Phase uint8

// The phases.
const (
	Blocked Phase = iota // for earlier steps or for its time
	Pending              // its turn has come; it may be started
	Running              // a run may exist
	Done
	Failed     // failed as often as allowed
	Cancelled  // its job was cancelled or has failed, and no run of it exists
	GangEnding // gang: its run is over, and the same run of another member may still exist
)

// Effects tells what a command did, in the order of its parts.
type Effects struct {
	Submits []SubmitEffect
	Cancels []bool  // whether the job is known here
	Fences  []bool  // whether the shard has the job (then it was not fenced)
	Ends    []bool  // whether it ended the task's present run
	Losses  []bool  // whether it ended the task's present run
	Starts  []bool  // whether the run may exist from now on
	Pending []*Task // tasks whose turn came by this command
	Ended   []*Task // tasks whose run is no longer, or is Done (their fields show the state after)
	Freed   []Freed // lingering runs that are no longer
	Over    []*Job  // jobs that became completed, failed or cancelled by this command, with their specs
}

// Freed is a lingering run that is no longer.
type Freed struct {
	Runner string
	Lingering
}

// Lingering is a run of a gang's member that is Done by another member's end, while its own end has not been seen:
// until then it takes room on its runner.
type Lingering struct {
	Task  TaskID
	Run   uint64
	Needs protocol.Resources
}

// SubmitEffect is what became of a Submit.
type SubmitEffect uint8

// What becomes of a Submit.
const (
	Taken    SubmitEffect = iota
	Known                 // taken before
	Fenced                // this shard has promised not to take it, for the hand-in's version of the configuration
	Rejected              // nonsense that Validate would have refused
)
