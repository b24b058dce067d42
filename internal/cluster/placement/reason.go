package placement

import "ospreypond/internal/cluster/protocol"

// Reason is the reason that a round hasn't placed a task. The reasons are ordered: a larger reason means that the task
// was closer to a placement.
type Reason uint8

// Reasons of pending tasks.
const (
	NoRunner         Reason = iota // even an empty runner couldn't run the task, or anti-affinity forbids it
	NoGPU                          // every runner that could run the task lacks free accelerators
	NoCPU                          // a runner has enough free accelerators, but none has enough free cores as well
	NoMemory                       // a runner has enough free accelerators and cores, but none has enough free memory as well
	UnreliableRunner               // the free capacity is on unreliable runners, which the task avoids
	ReservedCapacity               // the free capacity is reserved for another task or gang
	BetterLater                    // the task waits for a better runner, which is expected to be free soon
	LaterRound                     // there is free capacity, but the task didn't take part in the round or lost it to others
)

// PendingReason returns the reason that the latest round hasn't placed a task. task is the index of the task in that
// round. Each runner has its own reason. The result is the largest of them: the reason of the runner on which the task
// was closest to a placement. PendingReason must be called before the next round. The result has no meaning for a task
// that was placed.
func (p *Planner) PendingReason(task int) Reason {
	c := candidate{task: &p.tasks[task], index: task}
	nearest := NoRunner
	for i := range p.runnerStates {
		if r := &p.runnerStates[i]; r.couldRun(c.task) {
			nearest = max(nearest, p.reasonOn(&c, r))
		}
	}
	return nearest
}

// reasonOn returns the reason that a task wasn't placed on a runner that could run it.
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

// missingResource returns the reason for needs that don't fit into free: the first lacking resource in the order of
// reasons.
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
