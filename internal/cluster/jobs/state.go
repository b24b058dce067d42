package jobs

import "ospreypond/internal/cluster/protocol"

// Task is one task of a job, at one time K. Its fields are read by the owner and changed only by State.Apply.
type Task struct {
	ID             TaskID
	Group          *Group
	Phase          Phase
	Run            uint64 // newest run; 0: none yet
	Runner         string // of the newest run while Phase is Running, else empty
	Checkpoint     string // newest checkpoint, or empty; that of a gang is the same for all members while they are Held
	Attempts       int    // ends `failed` that count; those of a gang are counted by its group
	PendingSinceMs int64  // shard's time of day at which it last became Held

	sequence       uint64 // rises each time a task becomes Held or Running; orders the lists below
	previous, next *Task  // neighbours in the list of held tasks, or of its runner's running ones
	gathered       bool   // a start of it was seen in the command being applied
}

// Group is one step of a job at one time K: the unit that gangs, anti-affinity and dependsOn speak of.
type Group struct {
	Job        *Job
	Time       int
	Step       int
	Tasks      []*Task
	Left       int    // tasks that are not Done
	Run        uint64 // gang: newest run of all members
	Attempts   int    // gang: runs that ended `failed`
	Alive      int    // tasks that are Running
	Checkpoint string // gang: newest checkpoint that any member's end or loss brought

	released   bool   // its turn has come
	failedRun  uint64 // gang: newest run whose failure was counted
	savedByEnd uint64 // gang: newest run of which an end, which is newer than any loss, brought Saved
	gathered   int    // gang: members that the command being applied starts
	spoiled    bool   // gang: the command being applied has a start that doesn't fit
}

// Spec returns the step as the client gave it.
func (g *Group) Spec() *protocol.Step { return &g.Job.Spec.Steps[g.Step] }

// AttemptsOf returns how many ends `failed` count against t: its own, or those of its gang.
func (t *Task) AttemptsOf() int {
	if t.Group.Spec().Gang {
		return t.Group.Attempts
	}
	return t.Attempts
}

// Job is one job. Once it has ended and no run of it may exist, State.Job returns a copy without Spec and Groups.
type Job struct {
	ID         string
	Queue      protocol.Queue
	Spec       protocol.JobSpec
	Groups     []*Group // by time K, then step; made when their time falls due, dropped when all of that time is done
	State      string   // one of the protocol's job states
	AcceptedMs int64    // shard's time of day
	EndedMs    int64    // shard's time of day at which it became completed, failed or cancelled; 0: not yet

	made     int // times whose groups were made
	done     int // times all of whose tasks are done
	running  int // tasks that are Running
	dueIndex int // place among those that wait for a time; notWaiting: none
}

// Ended tells whether the job is completed, failed or cancelled.
func (j *Job) Ended() bool { return protocol.JobEnded(j.State) }

// times returns how often the steps run.
func (j *Job) times() int { return max(1, j.Spec.Repetitions) }

// dueMs returns the time of day at which time k falls due; only for jobs with repetitions.
func (j *Job) dueMs(k int) int64 { return j.Spec.FirstRunMs + int64(k)*j.Spec.IntervalMs }

// groupsOf returns the groups of time k, by step, or nil if they are not there.
func (j *Job) groupsOf(k int) []*Group {
	steps := len(j.Spec.Steps)
	if steps == 0 {
		return nil
	}
	low, high := 0, len(j.Groups)/steps
	for low < high {
		middle := (low + high) / 2
		if j.Groups[middle*steps].Time < k {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low*steps >= len(j.Groups) || j.Groups[low*steps].Time != k {
		return nil
	}
	return j.Groups[low*steps : (low+1)*steps]
}

// Group returns the group of a step at time k, or nil if its time is not due yet or wholly done.
func (j *Job) Group(k, step int) *Group {
	groups := j.groupsOf(k)
	if step < 0 || step >= len(groups) {
		return nil
	}
	return groups[step]
}

// task returns the task that id names, or nil.
func (j *Job) task(id TaskID) *Task {
	group := j.Group(id.Time, id.Step)
	if group == nil || id.Index < 0 || id.Index >= len(group.Tasks) {
		return nil
	}
	return group.Tasks[id.Index]
}
