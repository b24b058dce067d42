package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

const (
	peakFade      = 20 * time.Second // in which the remembered peak of urgent work halves
	headroomMost  = 0.35             // of a service's processors that may be kept free for urgent work
	largeShare    = 0.4              // of a runner's processors from which a task is large: room is not kept from it
	headroomLeast = 0.08             // of the processors kept free for a service that has urgent work
)

// demand is what the urgent tasks of a service take: those of the best priority that it has.
type demand struct {
	priority int
	peak     float64 // thousandths of a core, remembered
	at       time.Duration
}

// urgentPart returns how many of the held tasks, which are in order of priority, are urgent: they are placed first and
// may take all room. spare is the share of each runner's processors that the others must leave free: as much as urgent
// work took of late at its peak beyond what it takes now. A service with gangs in its best priority, or with one
// priority only, keeps nothing back.
func (o *Owner) urgentPart(now time.Duration, service string, held []*jobs.Task, runners []placement.Runner) (urgent int, spare float64) {
	best, using, capacity := o.usage(held, runners)
	d := o.demands[service]
	if d == nil || best < d.priority {
		d = &demand{priority: best, at: now}
		o.demands[service] = d
	}
	for urgent < len(held) && held[urgent].Group.Job.Queue.Priority <= d.priority {
		if held[urgent].Group.Spec().Gang {
			return len(held), 0
		}
		using += held[urgent].Group.Spec().CPU
		urgent++
	}
	d.update(now, float64(using))
	return urgent, d.spare(float64(using), float64(capacity)) / float64(capacity)
}

// byNeed splits tasks into those from which no room is kept, since they might never fit, earn by being there all the
// time, or are the first of a job that stands still though much of the service is free; and the others.
func byNeed(held []*jobs.Task, runners []placement.Runner) (free, others []*jobs.Task) {
	largest := int64(0)
	for i := range runners {
		largest = max(largest, runners[i].Capacity.CPU)
	}
	calm := mostlyFree(runners)
	first := map[*jobs.Job]bool{}
	for _, task := range held {
		step := task.Group.Spec()
		alone := calm && !step.Gang && !first[task.Group.Job] && standsStill(task.Group.Job)
		first[task.Group.Job] = true
		if step.LongRunning || alone || float64(step.CPU) > largeShare*float64(largest) {
			free = append(free, task)
		} else {
			others = append(others, task)
		}
	}
	return free, others
}

// standsStill tells whether nothing of a job runs.
func standsStill(job *jobs.Job) bool {
	_, running, _ := job.Progress()
	return running == 0
}

// mostlyFree tells whether less than half of a service's processors is in use.
func mostlyFree(runners []placement.Runner) bool {
	var using, capacity int64
	for i := range runners {
		capacity += runners[i].Capacity.CPU
		for j := range runners[i].Running {
			using += runners[i].Running[j].Needs.CPU
		}
	}
	return 2*using < capacity
}

// usage sums what runs: the best priority there is, what that takes, and what there is, in thousandths of a core.
func (o *Owner) usage(held []*jobs.Task, runners []placement.Runner) (best int, using, capacity int64) {
	best = held[0].Group.Job.Queue.Priority
	for i := range runners {
		capacity += runners[i].Capacity.CPU
		for j := range runners[i].Running {
			run := &runners[i].Running[j]
			if run.Priority < best && !run.LongRunning && !run.Gang {
				best = run.Priority
				using = 0
			}
			if run.Priority == best {
				using += run.Needs.CPU
			}
		}
	}
	return best, using, capacity
}

func (d *demand) update(now time.Duration, using float64) {
	share := float64(now-d.at) / float64(peakFade)
	d.at = now
	d.peak = max(using, d.peak*(1-min(share/2, 1)))
}

// spare is how much is to be kept free.
func (d *demand) spare(using, capacity float64) float64 {
	return min(max(d.peak-using, headroomLeast*capacity), headroomMost*capacity)
}

// keepFree takes a share of each runner's processors out of what it offers.
func keepFree(runners []placement.Runner, share float64) {
	for i := range runners {
		kept := protocol.Resources{CPU: int64(share * float64(runners[i].Capacity.CPU))}
		subtract(&runners[i].Free, kept)
	}
}
