package jobs

import "ospreypond/internal/cluster/protocol"

// Task is one task of a job, in one of its repetitions. The owner reads its fields; only State.Apply changes them.
type Task struct {
	ID             TaskID
	Group          *Group
	Phase          Phase
	Run            uint64 // newest run; 0: none yet
	Runner         string // incarnation that has the newest run while Phase is Running, else empty
	Checkpoint     string // newest checkpoint, or empty; the same for all members of a gang while they are Pending
	Attempts       int    // failed runs that count; those of a gang are counted by its group
	PendingSinceMs int64  // shard's time of day at which it last became Pending

	sequence       uint64 // rises each time a task becomes Pending or Running; orders the lists below
	previous, next *Task  // neighbours in the list of pending tasks, or in that of its runner's running ones
	isStarting     bool   // member of a gang: the command being applied has a start of it
}

// Group is one step of a job in one repetition: the unit of gangs, anti-affinity and dependsOn.
type Group struct {
	Job        *Job
	Repetition int
	Step       int
	Tasks      []*Task
	Unfinished int    // tasks that are not Done
	Run        uint64 // gang: newest run of all members
	Attempts   int    // gang: runs that failed
	Running    int    // tasks that are Running
	Checkpoint string // gang: newest checkpoint that any member's end or loss brought

	isReleased       bool   // its tasks are no longer Blocked
	failedRun        uint64 // gang: newest run whose failure was counted
	endCheckpointRun uint64 // gang: newest run of which an end brought Checkpoint; an end is newer than any loss
	starting         int    // gang: members that the command being applied starts
	hasInvalidStart  bool   // gang: the command being applied has a start that doesn't fit
}

// Spec returns the step as the client submitted it.
func (g *Group) Spec() *protocol.Step { return &g.Job.Spec.Steps[g.Step] }

// Job is one job. Once it has ended and no run of it may exist, State.Job returns a copy without Spec and Groups.
type Job struct {
	ID         string
	Queue      protocol.Queue
	Spec       protocol.JobSpec
	Groups     []*Group // by repetition, then step; those of repetitions that are due and not complete
	State      protocol.JobState
	AcceptedMs int64 // shard's time of day
	EndedMs    int64 // shard's time of day at which it became completed, failed or cancelled; 0: not yet

	opened    int // repetitions whose groups were made
	completed int // repetitions all of whose tasks are done
	running   int // tasks that are Running
	dueIndex  int // position in State.dueJobs, or notScheduled
}

// Ended reports whether the job is completed, failed or cancelled.
func (j *Job) Ended() bool { return protocol.JobEnded(j.State) }

// Abandoned reports whether the job was cancelled or has failed: its remaining runs are to be stopped.
func (j *Job) Abandoned() bool {
	return j.State == protocol.JobCancelled || j.State == protocol.JobFailed
}

// Progress counts the tasks of the job's open repetitions: those that are Done, those that are Running, and all. Tasks of
// repetitions that are complete or not due yet are not counted.
func (j *Job) Progress() (done, running, all int) {
	for _, group := range j.Groups {
		all += len(group.Tasks)
		done += len(group.Tasks) - group.Unfinished
		running += group.Running
	}
	return done, running, all
}

// repetitions returns how often the steps run: 1 for a job without repetitions.
func (j *Job) repetitions() int { return max(1, j.Spec.Repetitions) }

// dueMs returns the time of day at which repetition k falls due; only for jobs with repetitions.
func (j *Job) dueMs(k int) int64 { return j.Spec.FirstRunMs + int64(k)*j.Spec.IntervalMs }

// GroupsOf returns the groups of repetition k, by step, or nil if it is not open.
func (j *Job) GroupsOf(k int) []*Group {
	steps := len(j.Spec.Steps)
	if steps == 0 {
		return nil
	}
	low, high := 0, len(j.Groups)/steps
	for low < high {
		middle := (low + high) / 2
		if j.Groups[middle*steps].Repetition < k {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low*steps >= len(j.Groups) || j.Groups[low*steps].Repetition != k {
		return nil
	}
	return j.Groups[low*steps : (low+1)*steps]
}

// Group returns the group of a step in repetition k, or nil if the repetition is not due yet or complete.
func (j *Job) Group(k, step int) *Group {
	groups := j.GroupsOf(k)
	if step < 0 || step >= len(groups) {
		return nil
	}
	return groups[step]
}

// task returns the task that id names, or nil.
func (j *Job) task(id TaskID) *Task {
	group := j.Group(id.Repetition, id.Step)
	if group == nil || id.Index < 0 || id.Index >= len(group.Tasks) {
		return nil
	}
	return group.Tasks[id.Index]
}

func newGroup(job *Job, repetition, step int) *Group {
	count := job.Spec.Steps[step].Count
	group := &Group{Job: job, Repetition: repetition, Step: step, Unfinished: count}
	tasks := make([]Task, count)
	group.Tasks = make([]*Task, count)
	for i := range tasks {
		tasks[i].ID = TaskID{Job: job.ID, Repetition: repetition, Step: step, Index: i}
		tasks[i].Group = group
		group.Tasks[i] = &tasks[i]
	}
	return group
}
