package placement

import "ospreypond/internal/cluster/protocol"

// Reason is why a task was not placed in a round, from what is farthest from a placement to what is nearest.
type Reason uint8

// The reasons.
const (
	NoRunner         Reason = iota // no runner could ever take it
	NoGPU                          // those that could have too few accelerators free
	NoCPU                          // those that could have too few processors free
	NoMemory                       // those that could have too little memory free
	UnreliableRunner               // what is free is on runners that are avoided
	ReservedCapacity               // what is free is kept for another
	BetterLater                    // a better place is expected to become free soon
	LaterRound                     // there is room; the round did not come to it
)

// Why tells why a task of the newest round was not placed, by its position among the tasks: what the runner lacked that
// came nearest to taking it.
func (p *Planner) Why(task int) Reason {
	c := candidate{task: &p.tasks[task], index: task}
	nearest := NoRunner
	for i := range p.rooms {
		if r := &p.rooms[i]; r.capable(c.task) {
			nearest = max(nearest, p.whyNot(&c, r))
		}
	}
	return nearest
}

// whyNot tells why a runner that could take a task did not.
func (p *Planner) whyNot(c *candidate, r *room) Reason {
	task := c.task
	switch {
	case task.AntiAffinity > 0 && r.count(task.Group) >= task.AntiAffinity:
		return NoRunner
	case !fits(r.free, task.Needs):
		return lack(r.free, task.Needs)
	case !p.trusts(c, r):
		return UnreliableRunner
	case !p.leavesHeld(c, r):
		return ReservedCapacity
	case p.betterWaits(c, r):
		return BetterLater
	default:
		return LaterRound
	}
}

// lack returns which resource there is too little of.
func lack(free, needs protocol.Resources) Reason {
	switch {
	case needs.GPU > free.GPU:
		return NoGPU
	case needs.CPU > free.CPU:
		return NoCPU
	default:
		return NoMemory
	}
}
