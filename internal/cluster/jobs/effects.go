package jobs

import "ospreypond/internal/cluster/protocol"

// Effects are what one command did. Submits to Starts have one element for each of the command's, in its order.
type Effects struct {
	Submits []SubmitEffect
	Cancels []bool // whether the job is known here
	Fences  []bool // whether the shard has or had the job, and so did not fence its id
	Ends    []bool // whether it ended the task's current run
	Losses  []bool // whether it ended the task's current run
	Starts  []bool // whether the run may exist from now on

	Pending   []*Task // tasks that became Pending, in this order
	EndedRuns []*Task // tasks whose current run is over, or that are Done; their fields show the state afterwards
	FreedRuns []FreedRun
	EndedJobs []*Job // jobs that became completed, failed or cancelled, with their specs
}

// SubmitEffect is what became of a Submit.
type SubmitEffect uint8

// The effects of a Submit.
const (
	Accepted  SubmitEffect = iota
	Duplicate              // a job of this id was accepted before
	Fenced                 // the shard has promised not to accept it, for the Submit's version of the configuration
	Rejected               // invalid: Validate returns an error
)

// Lingering is a run of a gang's member that is Done by another member's end, while its own end has not been reported:
// until then it occupies capacity of its runner.
type Lingering struct {
	Task  TaskID
	Run   uint64
	Needs protocol.Resources
}

// FreedRun is a lingering run that is over.
type FreedRun struct {
	Runner string // incarnation
	Lingering
}
