package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// LateJob is a job that has ended beyond its objective, and why.
type LateJob struct {
	ID    string
	Queue string
	State string
	latency.Job
}

// lateMost is how many late jobs are kept for the shell between two calls of TakeLate.
const lateMost = 32

// explainMost is for how many groups of held tasks a round finds out why they wait.
const explainMost = 16

// Queues returns where the time of tasks went since this leadership began, by key of the queue. The map must not be
// changed.
func (o *Owner) Queues() map[string]*latency.QueueSummary { return o.ledger.Queues() }

// TakeLate returns the jobs that have ended beyond their objective since it was called last, some of them if they are many.
func (o *Owner) TakeLate() []LateJob {
	late := o.late
	o.late = nil
	return late
}

// outcomeOf returns what the time of a run counts as, by how it ended.
func outcomeOf(how string) latency.Reason {
	switch how {
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

// runOf returns what is known of a run that ends now by an outcome.
func (r *runner) runOf(now time.Duration, key runKey, outcome latency.Reason) latency.Run {
	run := latency.Run{EndedAt: now, LastContactAt: r.heardAt, Outcome: outcome}
	if entry := r.listed[key]; entry != nil {
		run.ListedAt = entry.since
	}
	return run
}

// isEnding tells whether a run's end or loss is in the next command or in the one in flight.
func (o *Owner) isEnding(key runKey) bool {
	_, ending := o.ending[key]
	return ending
}

// account enters what a command has done.
func (o *Owner) account(now time.Duration, command *jobs.Command, effects *jobs.Effects) {
	for _, task := range effects.Ended {
		run, known := o.ending[runKey{task.ID, task.Run}]
		if !known { // a gang's member that another one's end has ended
			run = latency.Run{Outcome: latency.Stopped}
			if task.Phase == jobs.Done {
				run.Outcome = latency.Running
			}
		}
		o.ledger.Ended(now, task, run)
	}
	for _, task := range effects.Pending {
		o.ledger.Pending(now, task)
	}
	for i := range command.Starts {
		if task := o.state.Task(command.Starts[i].Task); effects.Starts[i] && task != nil {
			o.ledger.Started(now, task)
		}
	}
	for _, job := range effects.Over {
		o.accountJob(now, job)
	}
}

func (o *Owner) accountJob(now time.Duration, job *jobs.Job) {
	took := time.Duration(o.clockMs(now)-job.AcceptedMs) * time.Millisecond
	account, ok := o.ledger.Over(job, took)
	if ok && account.Late() && len(o.late) < lateMost {
		o.late = append(o.late, LateJob{ID: job.ID, Queue: job.Queue.Key, State: job.State, Job: account})
	}
}

// explain enters why the held tasks wait that a round has not placed. kept is the share of the processors that was kept
// from them.
func (o *Owner) explain(now time.Duration, held []*jobs.Task, runners []placement.Runner, result placement.Result, kept float64) {
	placed := make(map[int]bool, len(result.Placements))
	for _, p := range result.Placements {
		placed[p.Task] = true
	}
	var newest *jobs.Group
	explained := 0
	for i, task := range held {
		if placed[i] || task.Group == newest {
			continue
		}
		if explained++; explained > explainMost {
			return
		}
		newest = task.Group
		cause := causeOf(o.planner.Why(i))
		if cause == latency.CPU && kept > 0 && fitsIn(runners, task.Group.Spec().Needs(), kept) {
			cause = latency.Reserved
		}
		o.ledger.Waits(now, task.Group, cause)
	}
}

// fitsIn tells whether a task would have room if no share of the processors were kept free.
func fitsIn(runners []placement.Runner, needs protocol.Resources, kept float64) bool {
	for i := range runners {
		free := runners[i].Free
		free.CPU += int64(kept * float64(runners[i].Capacity.CPU))
		if needs.CPU <= free.CPU && needs.MemoryMB <= free.MemoryMB && needs.GPU <= free.GPU {
			return true
		}
	}
	return false
}

func causeOf(reason placement.Reason) latency.Reason {
	switch reason {
	case placement.NoGPU:
		return latency.GPU
	case placement.NoCPU:
		return latency.CPU
	case placement.NoMemory:
		return latency.Memory
	case placement.NoRunner:
		return latency.Runner
	case placement.ReservedCapacity:
		return latency.Reserved
	case placement.UnreliableRunner:
		return latency.UnreliableRunner
	case placement.BetterLater:
		return latency.Better
	default:
		return latency.Round
	}
}
