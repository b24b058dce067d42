package jobs

// Phase is the phase of a task. Its number is part of the encoding of snapshots: new phases can only be appended.
type Phase uint8

// The phases of a task.
const (
	Blocked    Phase = iota // a step on which the task's step depends is not done
	Pending                 // the task may be started
	Running                 // a run of the task may exist
	Done                    // the task needs no further run
	Failed                  // the task failed as often as its queue allows, so that its job failed
	Cancelled               // the job was cancelled or has failed, and no run of the task may exist
	GangEnding              // the task's run has ended, but a run of another member of its gang may still exist
)

var phaseNames = [...]string{
	Blocked: "blocked", Pending: "pending", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled",
	GangEnding: "gang ending",
}

// String returns the phase's name for messages. It is not part of any encoding.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}
