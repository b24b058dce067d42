package placement

import (
	"time"

	"ospreypond/internal/assignment"
)

// Planner runs the rounds of one owner. From one round to the next it keeps only runtime predictions and the ages of
// reservations; all other state is passed to each round. One planner may serve several services, each in separate rounds.
// It may be used by one goroutine at a time.
type Planner struct {
	options      Options
	predictor    *Predictor
	reservations map[any]*reservationRecord // by reservation key
	solver       assignment.Solver

	// State of the current round. The next round reuses its buffers.
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

// NewPlanner returns a planner without observed runtimes.
func NewPlanner(options Options) *Planner {
	options.NonLocalFactor = max(options.NonLocalFactor, 1)
	p := &Planner{options: options, predictor: NewPredictor(), reservations: map[any]*reservationRecord{}, selection: newSelection()}
	p.predictor.SetNonLocalFactor(options.NonLocalFactor)
	return p
}

// Predictor returns the planner's predictor, which isn't nil. The caller reports the runtimes of runs to it.
func (p *Planner) Predictor() *Predictor { return p.predictor }

// Round decides which tasks start on which runners now, and which runs are preempted. The package comment describes its
// steps.
//
// All tasks are of one service and may start now. If a member of a gang is among them, all its members must be. runners are
// the service's runners. now is the time of a clock that never goes back. The result is valid until the next round. Round
// doesn't change tasks and runners, but keeps them for PendingReason.
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

// assignLevel places the candidates of one priority, in order of rank: first units, which need much capacity at once, so
// that small tasks don't take it from them; then all others.
func (p *Planner) assignLevel(level []*candidate) {
	p.formUnits(level)
	for i := range p.planning.units {
		p.assignUnit(&p.planning.units[i])
	}
	p.assignSingles(level)
}

// assign places a task on a runner. runtime is its predicted runtime there in seconds.
func (p *Planner) assign(c *candidate, r *runnerState, runtime float64) {
	c.placed = true
	r.assume(c, runtime)
	if c.task.LongRunning {
		p.longRunningInRack[r.rack]++
	}
	if c.starving {
		p.servedStarving[c.task.Group] = true
	}
	p.result.Placements = append(p.result.Placements, Placement{
		Task: c.index, Runner: r.index, Predicted: seconds(runtime),
	})
}

// seconds returns s seconds as a duration. Longer times than maxSeconds, even infinite ones, are shortened to it.
func seconds(s float64) time.Duration {
	const maxSeconds = 1e6
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
