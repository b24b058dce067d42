package placement

import "ospreypond/internal/cluster/protocol"

// Reason is why a task was not assigned in a round, in the order from what is farthest from an assignment to what is
// nearest.
type Reason uint8

// The reasons.
const (
	NoRunner         Reason = iota // no runner could ever take it
	NoGPU                          // the runners that could have too few accelerators free
	NoCPU                          // the runners that could have too few cores free
	NoMemory                       // the runners that could have too little memory free
	UnreliableRunner               // the free capacity is on runners that are avoided for their failures
	ReservedCapacity               // the free capacity is reserved for another task or gang
	BetterLater                    // a better runner is expected to be free soon
	LaterRound                     // there is capacity; the round didn't come to it
)

// Why returns why a task of the latest round was not assigned, by its index among that round's tasks: the reason on the
// runner that came nearest to taking it. It must be called before the next round, and its answer is of no use for a task
// that was assigned.
func (p *Planner) Why(task int) Reason {
	c := candidate{task: &p.tasks[task], index: task}
	nearest := NoRunner
	for i := range p.runnerStates {
		if r := &p.runnerStates[i]; r.couldRun(c.task) {
			nearest = max(nearest, p.reasonOn(&c, r))
		}
	}
	return nearest
}

// reasonOn returns why a runner that could take a task did not.
func (p *Planner) reasonOn(c *candidate, r *runnerState) Reason {
	task := c.task
	switch {
	case r.limitByAntiAffinity(task, 1) < 1:
		return NoRunner
	case !fits(r.free, task.Needs):
		return missingResource(r.free, task.Needs)
	case !p.passesReliability(c, r):
		return UnreliableRunner
	case !p.respectsReservation(c, r):
		return ReservedCapacity
	case p.shouldWait(c, r):
		return BetterLater
	default:
		return LaterRound
	}
}

// missingResource returns the reason for needs that don't fit into free.
func missingResource(free, needs protocol.Resources) Reason {
	switch {
	case needs.GPU > free.GPU:
		return NoGPU
	case needs.CPU > free.CPU:
		return NoCPU
	default:
		return NoMemory
	}
}
