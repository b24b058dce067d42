package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

const (
	peakHalfLife      = 20 * time.Second // half-life of the remembered peak of the urgent demand
	maxHeadroom       = 0.35             // largest fraction of a service's processors that is reserved for urgent tasks
	minHeadroom       = 0.08             // smallest such fraction, once the service has had unexpired tasks
	largeTaskFraction = 0.4              // a task that needs more than this part of the largest runner's processors is exempt
)

// headroom is free capacity that rounds keep for urgent tasks that may arrive next, so that these needn't wait for
// other tasks to end. A service's urgent tasks are its tasks of the highest priority that it has had during this
// leadership. The headroom is based on the recent peak of their demand.
type headroom struct{ byService map[string]*urgentDemand }

// urgentDemand is the demand of a service's urgent tasks for processors, in thousandths of a core.
type urgentDemand struct {
	priority  int           // priority of the urgent tasks; 0 is the highest
	peak      float64       // recent peak of the demand, decaying
	updatedAt time.Duration // time of the newest updatePeak
}

// update updates the urgent demand of a service. pending has the service's unexpired tasks in order of priority, followed
// by the aged ones.
//
// urgent is the number of tasks at the start of pending that are urgent. The round places them first, on all capacity.
// reserved is the fraction of each runner's processors that the other tasks must leave free. It is the peak of the
// urgent demand less the current demand, within minHeadroom and maxHeadroom. A service with a pending gang among its
// urgent tasks reserves no headroom, and treats all tasks as urgent. In a service with one priority all unexpired tasks
// are urgent, so only expired tasks must leave the headroom free.
func (h *headroom) update(now time.Duration, service string, pending []*jobs.Task, runners []placement.Runner) (urgent int, reserved float64) {
	d := h.byService[service]
	if len(pending) == 0 && d == nil {
		return 0, 0
	}
	priority, using, capacity := urgentUsage(pending, runners)
	if d == nil || priority < d.priority {
		d = &urgentDemand{priority: priority, updatedAt: now}
		if h.byService == nil {
			h.byService = map[string]*urgentDemand{}
		}
		h.byService[service] = d
	}
	for urgent < len(pending) && pending[urgent].Group.Job.Queue.Priority <= d.priority {
		if pending[urgent].Group.Spec().Gang {
			return len(pending), 0
		}
		using += pending[urgent].Group.Spec().CPU
		urgent++
	}
	d.updatePeak(now, float64(using))
	return urgent, d.headroom(float64(using), float64(capacity)) / float64(capacity)
}

// urgentUsage returns the highest priority of the pending tasks and of the runs (gangs and long-running ones aside), the
// processors that runs of that priority use, and the processors of all runners.
func urgentUsage(pending []*jobs.Task, runners []placement.Runner) (priority int, using, capacity int64) {
	priority = math.MaxInt
	if len(pending) > 0 {
		priority = pending[0].Group.Job.Queue.Priority
	}
	for i := range runners {
		capacity += runners[i].Capacity.CPU
		for j := range runners[i].Running {
			run := &runners[i].Running[j]
			if run.Priority < priority && !run.LongRunning && !run.Gang {
				priority = run.Priority
				using = 0
			}
			if run.Priority == priority {
				using += run.Needs.CPU
			}
		}
	}
	return priority, using, capacity
}

// updatePeak updates the peak of the demand. The old peak decays by half per peakHalfLife, linearly between two updates;
// the new one is at least the current use.
func (d *urgentDemand) updatePeak(now time.Duration, using float64) {
	halfLives := float64(now-d.updatedAt) / float64(peakHalfLife)
	d.updatedAt = now
	d.peak = max(using, d.peak*(1-min(halfLives/2, 1)))
}

// headroom returns the processors to keep free, in thousandths of a core.
func (d *urgentDemand) headroom(using, capacity float64) float64 {
	return min(max(d.peak-using, minHeadroom*capacity), maxHeadroom*capacity)
}

// splitExempt separates the tasks that may use the headroom for urgent tasks (the exempt ones) from all other tasks.
// These tasks are exempt:
//
//   - tasks so large that they might never fit without the headroom (largeTaskFraction);
//   - long-running tasks;
//   - while the service is mostly free, the first pending task of each job without a running task, unless it is in a gang.
func splitExempt(pending []*jobs.Task, runners []placement.Runner) (exempt, others []*jobs.Task) {
	largest := int64(0)
	for i := range runners {
		largest = max(largest, runners[i].Capacity.CPU)
	}
	mostlyFree := isMostlyFree(runners)
	seen := map[*jobs.Job]bool{}
	for _, task := range pending {
		step := task.Group.Spec()
		isFirst := !seen[task.Group.Job]
		seen[task.Group.Job] = true
		startsIdleJob := mostlyFree && !step.Gang && isFirst && hasNoRuns(task.Group.Job)
		if step.LongRunning || startsIdleJob || float64(step.CPU) > largeTaskFraction*float64(largest) {
			exempt = append(exempt, task)
		} else {
			others = append(others, task)
		}
	}
	return exempt, others
}

// hasNoRuns reports whether none of the job's tasks is running.
func hasNoRuns(job *jobs.Job) bool {
	_, running, _ := job.Progress()
	return running == 0
}

// isMostlyFree reports whether listed runs use less than half of a service's processors.
func isMostlyFree(runners []placement.Runner) bool {
	var using, capacity int64
	for i := range runners {
		capacity += runners[i].Capacity.CPU
		for j := range runners[i].Running {
			using += runners[i].Running[j].Needs.CPU
		}
	}
	return 2*using < capacity
}

// reserve subtracts a fraction of each runner's processors from its free capacity. A negative fraction adds it again.
func reserve(runners []placement.Runner, fraction float64) {
	for i := range runners {
		subtract(&runners[i].Free, reservation(&runners[i], fraction))
	}
}

// reservation returns the processors that are reserved on a runner, as a fraction of its capacity.
func reservation(runner *placement.Runner, fraction float64) protocol.Resources {
	return protocol.Resources{CPU: int64(fraction * float64(runner.Capacity.CPU))}
}

// totalCapacity returns the sum of the runners' capacities.
func totalCapacity(runners []placement.Runner) (total protocol.Resources) {
	for i := range runners {
		total.CPU += runners[i].Capacity.CPU
		total.MemoryMB += runners[i].Capacity.MemoryMB
		total.GPU += runners[i].Capacity.GPU
	}
	return total
}
