package jobs

import "ospreypond/internal/cluster/protocol"

// Effects are the results of one command. Each of Submits to Starts has one element for each item of the command's field of
// the same name, in the same order.
type Effects struct {
	Submits []SubmitEffect
	Cancels []bool // whether the State has a job with this id
	Fences  []bool // whether the shard has or had the job; if so, the id was not fenced
	Ends    []bool // whether the End ended the task's current run
	Losses  []bool // whether the Loss ended the task's current run
	Starts  []bool // whether the Start was applied, so that the run may exist from now on

	Pending   []*Task    // tasks that became Pending, in the order of these transitions
	EndedRuns []*Task    // tasks that left Running because their run ended or lingers now; the fields have their new values
	FreedRuns []FreedRun // lingering runs that ended
	EndedJobs []*Job     // jobs that became completed, failed or cancelled; their Spec is still set
}

// SubmitEffect is the result of a Submit.
type SubmitEffect uint8

// The results of a Submit.
const (
	Accepted  SubmitEffect = iota // the job was added
	Duplicate                     // a job with this id was accepted before
	Fenced                        // the id is fenced for the Submit's version of the configuration
	Rejected                      // the spec is invalid: Validate returns an error
	Withdrawn                     // the id is fenced for every version: the job was cancelled before it was accepted
)

// Lingering is a run of a gang member that became Done when another member ended with protocol.EndDone, before the run's own
// end was reported. The run occupies capacity of its runner until its End or Loss is applied.
type Lingering struct {
	Task  TaskID
	Run   uint64
	Needs protocol.Resources
}

// FreedRun is a lingering run that has ended.
type FreedRun struct {
	Runner string // incarnation of the runner
	Lingering
}
