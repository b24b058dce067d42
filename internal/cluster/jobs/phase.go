package jobs

// Phase is the phase of a task. Its number is part of the encoding of snapshots.
type Phase uint8

// The phases.
const (
	Blocked Phase = iota // an earlier step or the task's repetition is awaited
	Pending              // it may be started
	Running              // a run may exist
	Done
	Failed     // its attempts are exhausted
	Cancelled  // its job was cancelled or has failed, and no run of it exists
	GangEnding // member of a gang: its run is over, and the same run of another member may still exist
)

var phaseNames = [...]string{
	Blocked: "blocked", Pending: "pending", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled",
	GangEnding: "gang ending",
}

// String returns the phase's name, for people.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}
