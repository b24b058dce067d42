package placement

import (
	"time"

	"ospreypond/internal/assignment"
)

// Planner decides the rounds of one owner. From one round to the next it keeps only predictions and reservations;
// everything else comes with each round. One planner may serve several services, each in rounds of its own. It serves one
// goroutine at a time.
type Planner struct {
	options      Options
	predictor    *Predictor
	reservations map[any]*reservationRecord // by reservation key
	solver       assignment.Solver

	// The state of the present round; its buffers are reused by the next one.
	now     time.Duration
	tasks   []Task
	runners []Runner
	result  Result
	snapshot
	selection
	planning   unitPlanning
	matching   batchMatching
	preemption preemption
}

// NewPlanner returns a planner that has learnt nothing yet.
func NewPlanner(options Options) *Planner {
	options.FarFactor = max(options.FarFactor, 1)
	p := &Planner{options: options, predictor: NewPredictor(), reservations: map[any]*reservationRecord{}, selection: newSelection()}
	p.predictor.SetFarFactor(options.FarFactor)
	return p
}

// Predictor returns the planner's predictor, to which the caller reports the runs that ended. It is never nil.
func (p *Planner) Predictor() *Predictor { return p.predictor }

// Round decides which of the tasks, all ready to start, go to which runners now, and which runs are preempted for others.
// The runners are all those of the tasks' service, and all members of a gang must be among the tasks. now is the time on
// any clock that does not go back. The result is valid until the next round. Round doesn't change tasks and runners, but
// keeps them for Why.
func (p *Planner) Round(now time.Duration, tasks []Task, runners []Runner) Result {
	p.now, p.tasks, p.runners = now, tasks, runners
	p.result.Placements = p.result.Placements[:0]
	p.result.Stops = p.result.Stops[:0]
	p.result.Reservations = p.result.Reservations[:0]
	p.preemption.unschedulable = p.preemption.unschedulable[:0]
	p.matching.bestRuntimeOf = nil
	if len(tasks) == 0 || len(runners) == 0 {
		return p.result
	}
	p.takeSnapshot()
	p.predictRuntimes()
	p.selectCandidates()
	for first := 0; first < len(p.selected); {
		next := first + 1
		for next < len(p.selected) && p.selected[next].task.Priority == p.selected[first].task.Priority {
			next++
		}
		p.assignLevel(p.selected[first:next])
		first = next
	}
	p.preempt()
	p.expireReservations()
	p.listReservations()
	return p.result
}

// assignLevel assigns the tasks of one priority in the order of their rank: first those that need much capacity at once,
// so that small tasks don't take it from them, then all others.
func (p *Planner) assignLevel(level []*candidate) {
	p.formUnits(level)
	for i := range p.planning.units {
		p.assignUnit(&p.planning.units[i])
	}
	p.assignSingles(level)
}

// assign starts a task on a runner, where it is predicted to run for so many seconds.
func (p *Planner) assign(c *candidate, r *runnerState, runtime float64) {
	c.placed = true
	r.assume(c, runtime)
	if c.task.LongRunning {
		p.longRunningInRack[r.rack]++
	}
	if c.rescue {
		p.rescued[c.task.Group] = true
	}
	p.result.Placements = append(p.result.Placements, Placement{
		Task: c.index, Runner: r.index, Predicted: seconds(runtime),
	})
}

// seconds returns s seconds as a duration, for which very long and infinite times are shortened.
func seconds(s float64) time.Duration {
	const maxSeconds = 1e6
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
