package placement

import (
	"time"

	"ospreypond/internal/assignment"
)

// Planner decides the rounds of one owner. It keeps the predictions and what room is held back for whom; all else
// comes with each round. It serves one caller at a time. One planner may serve several services, in rounds of their own.
type Planner struct {
	options   Options
	predictor *Predictor
	holds     map[any]*hold
	solver    assignment.Solver

	// What follows is of the present round; its buffers are kept from one round to the next.
	now     time.Duration
	tasks   []Task
	runners []Runner
	result  Result
	fleet
	ranking
	match    matching
	gangPlan planning
	stopping stopping
}

// NewPlanner returns a planner that has learnt nothing yet.
func NewPlanner(options Options) *Planner {
	options.FarFactor = max(options.FarFactor, 1)
	p := &Planner{options: options, predictor: NewPredictor(), holds: map[any]*hold{}, ranking: newRanking()}
	p.predictor.SetFarFactor(options.FarFactor)
	return p
}

// Predictor returns the planner's predictions, to be fed with the ends of runs.
func (p *Planner) Predictor() *Predictor { return p.predictor }

// Round decides which of the tasks, all ready to start, go to which runners now, and which runs are stopped to make room
// for others. All runners are those of the tasks' service. All members of a gang must be among the tasks. now is on any
// clock that does not go back. The result is valid until the next round; tasks and runners are not changed.
func (p *Planner) Round(now time.Duration, tasks []Task, runners []Runner) Result {
	p.now, p.tasks, p.runners = now, tasks, runners
	p.result.Placements = p.result.Placements[:0]
	p.result.Stops = p.result.Stops[:0]
	p.stopping.blocked = p.stopping.blocked[:0]
	p.match.bestOf = nil
	if len(tasks) == 0 || len(runners) == 0 {
		return p.result
	}
	p.openRooms()
	p.predictAll()
	p.choose()
	for first := 0; first < len(p.chosen); {
		next := first + 1
		for next < len(p.chosen) && p.chosen[next].task.Priority == p.chosen[first].task.Priority {
			next++
		}
		p.level(p.chosen[first:next])
		first = next
	}
	p.preempt()
	p.forgetHolds()
	return p.result
}

// level places the tasks of one priority, in order of their rank: first what needs much room at once, so that
// small tasks do not take it, then the rest.
func (p *Planner) level(level []*candidate) {
	p.formUnits(level)
	for i := range p.gangPlan.units {
		p.placeUnit(&p.gangPlan.units[i])
	}
	p.placeSingles(level)
}

// place starts a task in a room, where it is predicted to run for so many seconds.
func (p *Planner) place(c *candidate, r *room, runtime float64) {
	c.placed = true
	r.take(c, runtime)
	if c.task.LongRunning {
		p.lastingInRack[r.rack]++
	}
	if c.rescue {
		p.rescued[c.task.Group] = true
	}
	p.result.Placements = append(p.result.Placements, Placement{
		Task: c.index, Runner: r.index, Predicted: seconds(runtime),
	})
}

func seconds(s float64) time.Duration {
	const most = 1e6
	return time.Duration(min(s, most) * float64(time.Second))
}
