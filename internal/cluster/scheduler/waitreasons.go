package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

const (
	maxLateJobs        = 32 // late jobs that are kept between two calls of TakeLate; further ones are dropped
	maxExplainedGroups = 16 // largest number of groups of one assignment whose wait reasons are determined individually
)

// LateJob is a job that has ended later than its objective, with the times that it spent by wait reason.
type LateJob struct {
	ID    string
	Queue string
	State protocol.JobState
	latency.JobSummary
}

// waitReasons record why tasks are not done, during one leadership.
type waitReasons struct {
	recorder *latency.Recorder
	late     []LateJob // that TakeLate hasn't returned; they outlast the leadership
}

// reset begins a new record. Late jobs stay until TakeLate returns them.
func (w *waitReasons) reset(now time.Duration) { w.recorder = latency.NewRecorder(now) }

// jobEnded records that a job has ended. took is the time since its acceptance.
func (w *waitReasons) jobEnded(job *jobs.Job, took time.Duration) {
	summary, ok := w.recorder.JobEnded(job, took)
	if ok && summary.IsLate() && len(w.late) < maxLateJobs {
		w.late = append(w.late, LateJob{ID: job.ID, Queue: job.Queue.Key, State: job.State, JobSummary: summary})
	}
}

// Queues returns the time that tasks have spent since this leadership began, split by wait reason, by key of the queue. The
// caller must not change the map.
func (o *Owner) Queues() map[string]*latency.QueueSummary { return o.reasons.recorder.Queues() }

// TakeLate returns the jobs that have ended later than their objective since the last call, at most maxLateJobs of them.
func (o *Owner) TakeLate() []LateJob {
	late := o.reasons.late
	o.reasons.late = nil
	return late
}

// recordApplied records the effects of an applied command in the wait reasons and in the index of pending steps.
func (o *Owner) recordApplied(now time.Duration, command *jobs.Command, effects *jobs.Effects) {
	recorder := o.reasons.recorder
	for _, task := range effects.EndedRuns {
		run, known := o.proposals.ending[runKey{task.ID, task.Run}]
		if !known { // the end of another member of the gang has ended this one's run
			run = latency.Run{Outcome: latency.Stopped}
			if task.Phase == jobs.Done {
				run.Outcome = latency.Running
			}
		}
		recorder.RunEnded(now, task, run)
	}
	for _, task := range effects.Pending {
		recorder.TaskPending(now, task)
		o.pending.add(now, task.Group)
	}
	for i := range command.Starts {
		if task := o.state.Task(command.Starts[i].Task); effects.Starts[i] && task != nil {
			recorder.RunStarted(now, task)
		}
	}
	for _, job := range effects.EndedJobs {
		o.pending.removeJob(job)
		o.reasons.jobEnded(job, time.Duration(o.clockMs(now)-job.AcceptedMs)*time.Millisecond)
	}
}

// explain records the wait reason of each group with pending tasks that an assignment has not placed. It determines the
// reasons of the first maxExplainedGroups groups individually. Another group gets the reason of one of these with the
// same explainedNeeds, or keeps its old reason if there is none. reserved is the fraction of the processors that was not
// available to the tasks because it is reserved for urgent ones.
func (o *Owner) explain(now time.Duration, pending []*jobs.Task, runners []placement.Runner, result placement.Result, reserved float64) {
	assigned := make(map[int]bool, len(result.Placements))
	for _, p := range result.Placements {
		assigned[p.Task] = true
	}
	known := map[explainedNeeds]latency.Reason{}
	explained := 0
	var newest *jobs.Group
	for i, task := range pending {
		if assigned[i] || task.Group == newest {
			continue
		}
		newest = task.Group
		reason, isKnown := known[needsToExplain(newest)]
		if explained < maxExplainedGroups {
			explained++
			reason, isKnown = o.pendingReason(i, task, runners, reserved), true
			known[needsToExplain(newest)] = reason
		}
		if isKnown {
			o.reasons.recorder.SetReason(now, newest, reason)
		}
	}
}

// explainedNeeds are the properties of a group that nearly always determine its wait reason.
type explainedNeeds struct {
	queue        string
	needs        protocol.Resources
	requirements string
	gang         bool
}

func needsToExplain(group *jobs.Group) explainedNeeds {
	step := group.Spec()
	return explainedNeeds{group.Job.Queue.Key, step.Needs(), step.Requirements, step.Gang}
}

// pendingReason returns why the planner's latest round has not placed a task. index is the index of the task in that round.
// An expired task that only lacks capacity waits because others rank before it.
func (o *Owner) pendingReason(index int, task *jobs.Task, runners []placement.Runner, reserved float64) latency.Reason {
	reason := waitReasonOf(o.planner.PendingReason(index))
	if reason == latency.NoCPU && reserved > 0 && fitsWithoutReservation(runners, task.Group.Spec().Needs(), reserved) {
		reason = latency.ReservedCapacity
	}
	if o.pending.isExpired(task.Group) && isLackOfCapacity(reason) {
		return latency.Outranked
	}
	return reason
}

// isLackOfCapacity reports whether a reason means that the task waits for capacity, which other tasks get first.
func isLackOfCapacity(reason latency.Reason) bool {
	switch reason {
	case latency.NoCPU, latency.NoMemory, latency.NoGPU, latency.ReservedCapacity, latency.NextRound:
		return true
	default:
		return false
	}
}

// explainNoRunner records that tasks wait because their service has no schedulable runner.
func (o *Owner) explainNoRunner(now time.Duration, pending []*jobs.Task) {
	for _, group := range groupsOf(pending) {
		o.reasons.recorder.SetReason(now, group, latency.NoRunner)
	}
}

// fitsWithoutReservation reports whether a task would fit on a runner if no processors were reserved for urgent tasks.
func fitsWithoutReservation(runners []placement.Runner, needs protocol.Resources, reserved float64) bool {
	for i := range runners {
		free := runners[i].Free
		free.CPU += reservation(&runners[i], reserved).CPU
		if needs.CPU <= free.CPU && needs.MemoryMB <= free.MemoryMB && needs.GPU <= free.GPU {
			return true
		}
	}
	return false
}

// runRecord returns the latency record of a run that ends now.
func (r *runner) runRecord(now time.Duration, key runKey, outcome latency.Reason) latency.Run {
	run := latency.Run{EndedAt: now, LastContactAt: r.lastContact, Outcome: outcome}
	if entry := r.listed[key]; entry != nil {
		run.ListedAt = entry.since
	}
	return run
}

// reasonOfOutcome returns the wait reason to which the time of a run is attributed, by its outcome.
func reasonOfOutcome(outcome protocol.RunEnd) latency.Reason {
	switch outcome {
	case protocol.EndDone:
		return latency.Running
	case protocol.EndFailed:
		return latency.Failed
	case protocol.EndLapsed:
		return latency.Lost
	default:
		return latency.Stopped
	}
}

// waitReasonOf returns the wait reason for the planner's reason not to place a task.
func waitReasonOf(reason placement.Reason) latency.Reason {
	switch reason {
	case placement.NoGPU:
		return latency.NoGPU
	case placement.NoCPU:
		return latency.NoCPU
	case placement.NoMemory:
		return latency.NoMemory
	case placement.NoRunner:
		return latency.NoRunner
	case placement.ReservedCapacity:
		return latency.ReservedCapacity
	case placement.UnreliableRunner:
		return latency.UnreliableRunner
	case placement.BetterLater:
		return latency.BetterLater
	default:
		return latency.NextRound
	}
}
