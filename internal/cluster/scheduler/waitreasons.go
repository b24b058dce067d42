package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

const (
	maxLateJobs        = 32 // that are kept between two calls of TakeLate
	maxExplainedGroups = 16 // of pending tasks for which a round finds out why they wait
)

// LateJob is a job that has ended beyond its objective, and why.
type LateJob struct {
	ID    string
	Queue string
	State protocol.JobState
	latency.JobSummary
}

// waitReasons record why tasks are not done yet.
type waitReasons struct {
	recorder *latency.Recorder
	late     []LateJob
}

// reset begins a new record. Late jobs stay until they are taken.
func (w *waitReasons) reset(now time.Duration) { w.recorder = latency.NewRecorder(now) }

// jobEnded records that a job has ended after the time given.
func (w *waitReasons) jobEnded(job *jobs.Job, took time.Duration) {
	summary, ok := w.recorder.JobEnded(job, took)
	if ok && summary.IsLate() && len(w.late) < maxLateJobs {
		w.late = append(w.late, LateJob{ID: job.ID, Queue: job.Queue.Key, State: job.State, JobSummary: summary})
	}
}

// Queues returns where the time of tasks went since this leadership began, by key of the queue. The map must not be
// changed.
func (o *Owner) Queues() map[string]*latency.QueueSummary { return o.reasons.recorder.Queues() }

// TakeLate returns the jobs that have ended beyond their objective since the last call, at most 32 of them.
func (o *Owner) TakeLate() []LateJob {
	late := o.reasons.late
	o.reasons.late = nil
	return late
}

// recordApplied records what a command has done.
func (o *Owner) recordApplied(now time.Duration, command *jobs.Command, effects *jobs.Effects) {
	recorder := o.reasons.recorder
	for _, task := range effects.EndedRuns {
		run, known := o.proposals.ending[runKey{task.ID, task.Run}]
		if !known { // a gang's member that another one's end has ended
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

// explain records why pending tasks wait that a round has not assigned: for the first groups each by itself, for the others
// by those that need the same. reserved is the fraction of the processors that was reserved from them.
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
			reason, isKnown = o.whyNot(i, task, runners, reserved), true
			known[needsToExplain(newest)] = reason
		}
		if isKnown {
			o.reasons.recorder.SetReason(now, newest, reason)
		}
	}
}

// explainedNeeds is what decides, nearly always, why a group waits.
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

// whyNot returns why the planner did not assign a task of the latest round, by its index there.
func (o *Owner) whyNot(index int, task *jobs.Task, runners []placement.Runner, reserved float64) latency.Reason {
	reason := waitReasonOf(o.planner.Why(index))
	if reason == latency.NoCPU && reserved > 0 && fitsWithoutReservation(runners, task.Group.Spec().Needs(), reserved) {
		reason = latency.ReservedCapacity
	}
	if o.pending.isWorthless(task.Group) && isLackOfCapacity(reason) {
		return latency.Outranked
	}
	return reason
}

// isLackOfCapacity reports whether a task waits for capacity that goes to others first.
func isLackOfCapacity(reason latency.Reason) bool {
	switch reason {
	case latency.NoCPU, latency.NoMemory, latency.NoGPU, latency.ReservedCapacity, latency.NextRound:
		return true
	default:
		return false
	}
}

// explainNoRunner records that tasks wait since their service has no runner.
func (o *Owner) explainNoRunner(now time.Duration, pending []*jobs.Task) {
	for _, group := range groupsOf(pending) {
		o.reasons.recorder.SetReason(now, group, latency.NoRunner)
	}
}

// fitsWithoutReservation reports whether a task would fit if no processors were reserved.
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

// runRecord returns what is known of a run that ends now.
func (r *runner) runRecord(now time.Duration, key runKey, outcome latency.Reason) latency.Run {
	run := latency.Run{EndedAt: now, LastContactAt: r.lastContact, Outcome: outcome}
	if entry := r.listed[key]; entry != nil {
		run.ListedAt = entry.since
	}
	return run
}

// reasonOf returns what the time of a run counts as, by its outcome.
func reasonOf(outcome protocol.RunEnd) latency.Reason {
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

// waitReasonOf returns the wait reason of a task that the planner did not assign.
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
