package placement

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	minUnreliableScore   = 0.5  // failure score from which on a runner is unreliable, so that tasks avoid it
	maxUnhealthyFraction = 0.67 // if a larger fraction of the runners is unreliable, no runner is avoided (fail open)
	minSlowness          = 0.05 // a smaller slowness is raised to this
)

// snapshot is the state of the runners at the start of the round, with the tasks that the round has placed since.
type snapshot struct {
	runnerStates      []runnerState // in the order of the runners
	kinds             []string      // distinct kinds of the runners
	racks             []string      // distinct racks of the runners
	longRunningInRack []int         // number of long-running tasks, by index of the rack
	failOpen          bool          // so many runners are unreliable that no runner is avoided
	mostlyFree        bool          // less than half of the service's cores, or of its accelerators, are in use
	runningGroups     map[any]bool  // groups with a running task at the start of the round; computed by hasRunning
}

// takeSnapshot copies the state of all runners at the start of a round.
func (p *Planner) takeSnapshot() {
	p.kinds, p.racks, p.longRunningInRack = p.kinds[:0], p.racks[:0], p.longRunningInRack[:0]
	p.runnerStates = slices.Grow(p.runnerStates[:0], len(p.runners))[:len(p.runners)]
	var capacity, free protocol.Resources
	ready, unreliable := 0, 0
	for i := range p.runners {
		runner, r := &p.runners[i], &p.runnerStates[i]
		r.reset(runner, i)
		r.kind, r.rack = intern(&p.kinds, runner.Kind), intern(&p.racks, runner.Rack)
		p.longRunningInRack = append(p.longRunningInRack, make([]int, len(p.racks)-len(p.longRunningInRack))...)
		p.longRunningInRack[r.rack] += r.longRunning
		add(&capacity, runner.Capacity)
		add(&free, runner.Free)
		if !runner.Draining {
			ready++
			if r.unreliable {
				unreliable++
			}
		}
	}
	p.runningGroups = nil
	p.failOpen = float64(unreliable) > maxUnhealthyFraction*float64(ready)
	p.mostlyFree = 2*free.CPU > capacity.CPU || capacity.GPU > 0 && 2*free.GPU > capacity.GPU
}

// intern returns the index of name in names, and appends name if it isn't there.
func intern(names *[]string, name string) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// hasRunning reports whether any task of a group was running at the start of the round.
func (p *Planner) hasRunning(group any) bool {
	if p.runningGroups == nil {
		p.runningGroups = map[any]bool{}
		for i := range p.runners {
			for known, count := range p.runners[i].GroupCount {
				p.runningGroups[known] = p.runningGroups[known] || count > 0
			}
		}
	}
	return p.runningGroups[group]
}
