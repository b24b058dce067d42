package jobs

import "ospreypond/internal/protocol"

// Task is one task of a job, at one time K. Its fields are read by the owner and changed only by State.Apply.
type Task struct {
	ID       TaskID
	Group    *Group
	Phase    Phase
	Run      uint64 // newest run; 0: none yet
	Runner   string // of the newest run while Phase is Running, else empty
	Saved    string // newest checkpoint, or empty
	Attempts int    // ends `failed` that count
	HeldAtMs int64  // shard's time of day at which it last became Held
}

// Group is one step of a job at one time K: the unit that gangs, anti-affinity and dependsOn speak of.
type Group struct {
	Job      *Job
	Time     int
	Step     int
	Tasks    []*Task
	Left     int    // tasks that are not Done
	Run      uint64 // gang: newest run of all members
	Attempts int    // gang: runs that ended `failed`
}

// Spec returns the step as the client gave it.
func (g *Group) Spec() *protocol.Step { return &g.Job.Spec.Steps[g.Step] }

// Job is one job.
type Job struct {
	ID         string
	Queue      protocol.Queue
	Spec       protocol.JobSpec
	Groups     []*Group // by time K, then step; those of later times are made when they fall due
	State      string   // one of the protocol's job states
	AcceptedMs int64    // shard's time of day
	EndedMs    int64    // shard's time of day at which it became completed, failed or cancelled; 0: not yet
}
