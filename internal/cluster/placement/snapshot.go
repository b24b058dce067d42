package placement

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	minUnreliableScore   = 0.5  // failure score from which on a runner is avoided
	maxUnhealthyFraction = 0.67 // if a larger fraction of the runners is unreliable, none is avoided for it
	minSlowness          = 0.05
)

// snapshot is the runners as they were at the start of the round, and what the round has assigned to them since.
type snapshot struct {
	runnerStates      []runnerState // in the order of the runners
	kinds             []string
	racks             []string
	longRunningInRack []int        // long-running tasks, by rack
	failOpen          bool         // so many runners are unreliable that none is avoided for it
	mostlyFree        bool         // less than half of the service's cores, or of its accelerators, are in use
	runningGroups     map[any]bool // groups with a running task; nil until hasRunning needs it
}

// takeSnapshot starts a round with the state of all runners.
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

// intern returns the index of name in names, and appends it if it is not there.
func intern(names *[]string, name string) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// hasRunning reports whether any task of a group runs.
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
