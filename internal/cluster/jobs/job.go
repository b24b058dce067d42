package jobs

import "ospreypond/internal/cluster/protocol"

// Task is one task of a job in one repetition. The owner of the shard reads its fields; only State.Apply changes them.
type Task struct {
	ID             TaskID
	Group          *Group
	Phase          Phase
	Run            uint64 // number of the newest run, from 1; 0 before the first run
	Runner         string // while Phase is Running: incarnation of the runner of the newest run; else empty
	Checkpoint     string // newest checkpoint, or empty; in a gang, all Pending members have the gang's checkpoint
	Attempts       int    // runs that ended with protocol.EndFailed; 0 in gangs (see Group.Attempts) and long-running steps
	PendingSinceMs int64  // State.ClockMs when the task last became Pending

	sequence       uint64 // set from State.sequence when the task becomes Pending or Running; orders each taskList
	previous, next *Task  // neighbours in the task's taskList
	isStarting     bool   // gangs only: the command being applied has a valid Start of this task
}

// Group is all tasks of one step of a job in one repetition. Gangs, anti-affinity and dependsOn refer to groups. The fields
// marked "gang" are used only if the step is a gang. All tasks of a gang must run at the same time.
type Group struct {
	Job        *Job
	Repetition int // from 0
	Step       int // index in Job.Spec.Steps
	Tasks      []*Task
	Unfinished int    // number of tasks that are not Done
	Run        uint64 // gang: number of the newest run, which is the same for all members
	Attempts   int    // gang: number of runs with a member that ended with protocol.EndFailed; 0 for a long-running step
	Running    int    // number of tasks that are Running
	Checkpoint string // gang: checkpoint from which the next run starts; see keepCheckpointOfLoss

	isReleased       bool   // the tasks were made Pending at least once
	failedRun        uint64 // gang: newest run that Attempts counts, so that each run counts at most once
	endCheckpointRun uint64 // gang: newest run with a checkpoint from an End
	startingMembers  int    // gang: number of tasks with a valid Start in the command being applied
	hasInvalidStart  bool   // gang: the command being applied has an invalid Start of a task, or a second one
}

// Spec returns the step as the client submitted it.
func (g *Group) Spec() *protocol.Step { return &g.Job.Spec.Steps[g.Step] }

// Job is one job. Once it has ended and none of its tasks is Running, State.Job returns a copy without Spec and Groups.
type Job struct {
	ID         string
	Queue      protocol.Queue // the configuration of the job's queue when the job was submitted
	Spec       protocol.JobSpec
	Groups     []*Group // groups of the open repetitions, ordered by repetition and then by step
	State      protocol.JobState
	AcceptedMs int64 // State.ClockMs when the job was accepted
	EndedMs    int64 // State.ClockMs when the job became completed, failed or cancelled; 0 before that

	// A repetition is open from when its groups are created, at the earliest when it falls due, until all its tasks are
	// Done. Repetitions are opened in order, but may complete in any order.
	openedRepetitions    int // number of repetitions opened so far, complete ones included
	completedRepetitions int
	runningTasks         int // number of tasks that are Running
	dueIndex             int // position in State.dueJobs, or notScheduled
}

// Ended reports whether the job is completed, failed or cancelled.
func (j *Job) Ended() bool { return protocol.JobEnded(j.State) }

// Abandoned reports whether the job was cancelled or has failed. The remaining runs of such a job must be stopped.
func (j *Job) Abandoned() bool {
	return j.State == protocol.JobCancelled || j.State == protocol.JobFailed
}

// Progress returns how many tasks of the job's open repetitions are Done, how many are Running, and how many there are.
// Tasks of repetitions that are complete or not open yet are not counted.
func (j *Job) Progress() (done, running, all int) {
	for _, group := range j.Groups {
		all += len(group.Tasks)
		done += len(group.Tasks) - group.Unfinished
		running += group.Running
	}
	return done, running, all
}

// repetitions returns how many times the job's steps must run: 1 for a job without repetitions.
func (j *Job) repetitions() int { return max(1, j.Spec.Repetitions) }

// dueMs returns the time of day, in ms since 1970, at which repetition k (from 0) falls due. The job must have repetitions.
func (j *Job) dueMs(k int) int64 { return j.Spec.FirstRunMs + int64(k)*j.Spec.IntervalMs }

// GroupsOf returns the groups of repetition k, one for each step in order, or nil if the repetition is not open. It is a
// binary search: Groups has all steps of an open repetition, in ascending order of repetitions.
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

// Group returns the group of a step in repetition k, or nil if the repetition is not open or has no such step.
func (j *Job) Group(k, step int) *Group {
	groups := j.GroupsOf(k)
	if step < 0 || step >= len(groups) {
		return nil
	}
	return groups[step]
}

// task returns the task that id names, or nil if its repetition is not open or its step or index doesn't exist.
func (j *Job) task(id TaskID) *Task {
	group := j.Group(id.Repetition, id.Step)
	if group == nil || id.Index < 0 || id.Index >= len(group.Tasks) {
		return nil
	}
	return group.Tasks[id.Index]
}

// newGroup returns a group with all tasks of the step, each Blocked. It doesn't add the group to the job.
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
