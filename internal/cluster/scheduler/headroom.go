package scheduler

import (
	"math"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

const (
	peakHalfLife      = 20 * time.Second // in which the remembered peak of urgent work halves
	maxHeadroom       = 0.35             // of a service's processors that may be reserved for urgent work
	minHeadroom       = 0.08             // of a service's processors that are reserved if it has urgent work
	largeTaskFraction = 0.4              // of a runner's processors from which a task is exempt from the reservation
)

// headroom is the urgent work of each service: the tasks of the best priority that it has. Capacity is reserved for them
// by their recent peak.
type headroom struct{ byService map[string]*urgentDemand }

// urgentDemand is what the urgent tasks of a service use. Processors are in thousandths of a core.
type urgentDemand struct {
	priority  int
	peak      float64 // remembered, decaying
	updatedAt time.Duration
}

// update returns how many of the pending tasks, which are in order of priority, are urgent: they are assigned first and
// may use all capacity; and the fraction of each runner's processors that is reserved from the others: as much as urgent
// work used at its recent peak beyond what it uses now. A service with gangs in its best priority, or with one priority
// only, reserves nothing.
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

// urgentUsage returns the best priority of what is pending or runs, what runs of it use, and the capacity.
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

// updatePeak lets the peak decay, by half in peakHalfLife (linearly between two updates), but not below the present use.
func (d *urgentDemand) updatePeak(now time.Duration, using float64) {
	halfLives := float64(now-d.updatedAt) / float64(peakHalfLife)
	d.updatedAt = now
	d.peak = max(using, d.peak*(1-min(halfLives/2, 1)))
}

// headroom returns how much is to be kept free.
func (d *urgentDemand) headroom(using, capacity float64) float64 {
	return min(max(d.peak-using, minHeadroom*capacity), maxHeadroom*capacity)
}

// splitExempt splits tasks into those from which no capacity is reserved, and the others. Exempt are tasks that might
// never fit otherwise, long-running ones, and the first one of a job of which nothing runs though much of the service is
// free.
func splitExempt(pending []*jobs.Task, runners []placement.Runner) (exempt, others []*jobs.Task) {
	largest := int64(0)
	for i := range runners {
		largest = max(largest, runners[i].Capacity.CPU)
	}
	idle := isMostlyFree(runners)
	seen := map[*jobs.Job]bool{}
	for _, task := range pending {
		step := task.Group.Spec()
		isFirst := !seen[task.Group.Job]
		seen[task.Group.Job] = true
		unblocks := idle && !step.Gang && isFirst && nothingRuns(task.Group.Job)
		if step.LongRunning || unblocks || float64(step.CPU) > largeTaskFraction*float64(largest) {
			exempt = append(exempt, task)
		} else {
			others = append(others, task)
		}
	}
	return exempt, others
}

func nothingRuns(job *jobs.Job) bool {
	_, running, _ := job.Progress()
	return running == 0
}

// isMostlyFree reports whether less than half of a service's processors is in use.
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

// reserve takes a fraction of each runner's processors out of its free capacity; a negative one puts it back.
func reserve(runners []placement.Runner, fraction float64) {
	for i := range runners {
		subtract(&runners[i].Free, reservation(&runners[i], fraction))
	}
}

// reservation returns what is reserved on a runner.
func reservation(runner *placement.Runner, fraction float64) protocol.Resources {
	return protocol.Resources{CPU: int64(fraction * float64(runner.Capacity.CPU))}
}

// totalCapacity returns the capacity of all runners.
func totalCapacity(runners []placement.Runner) (total protocol.Resources) {
	for i := range runners {
		total.CPU += runners[i].Capacity.CPU
		total.MemoryMB += runners[i].Capacity.MemoryMB
		total.GPU += runners[i].Capacity.GPU
	}
	return total
}
