package placement

import (
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxSingles     = 200 // tasks in a round, besides the members of gangs and large tasks
	maxGangMembers = 200 // members of gangs in a round; the last gang is completed beyond it
	maxLarge       = 40  // large tasks in a round
)

// selection is the tasks of the present round, those that take part in it, and what was found out about them.
type selection struct {
	runtimes        []float64 // predicted seconds, by task and kind: see Planner.runtimesOf
	weights         []float64 // the heterogeneity coefficient C_j (Kairos, definition 1), by kind
	candidates      []candidate
	selected        []*candidate // those that take part, in their order
	largestTimeLeft float64      // seconds
	firstOfGang     map[any]int  // index of each gang's first task
	shapes          map[shape]shapeFacts
	rescued         map[any]bool // groups with a task that was rescued in this round
}

func newSelection() selection {
	return selection{firstOfGang: map[any]int{}, shapes: map[shape]shapeFacts{}, rescued: map[any]bool{}}
}

// shape is what decides whether any runner has capacity for a task. Many tasks have the same.
type shape struct {
	needs        protocol.Resources
	requirements string
}

// shapeFacts is what follows from a shape.
type shapeFacts struct {
	hasCapacity bool // some runner has free capacity now
	large       bool // it takes much of each runner that could take it
}

// selectCandidates selects the tasks that take part in the round, in the order of compareCandidates. Tasks for which no
// runner has free capacity don't count towards the limits, so that they don't hide those behind them.
func (p *Planner) selectCandidates() {
	p.candidates = slices.Grow(p.candidates[:0], len(p.tasks))[:len(p.tasks)]
	clear(p.firstOfGang)
	for i := range p.tasks {
		p.candidates[i] = p.newCandidate(i)
	}
	slices.SortFunc(p.candidates, compareCandidates)
	p.selected, p.preemption.singles = p.selected[:0], p.preemption.singles[:0]
	p.largestTimeLeft = minLargestTimeLeft
	clear(p.shapes)
	clear(p.rescued)
	singles, large, members := 0, 0, 0
	for i := range p.candidates {
		c := &p.candidates[i]
		switch {
		case c.task.Gang:
			if members >= maxGangMembers && p.candidates[i-1].order != c.order {
				members = math.MaxInt // no further gang
			}
			if members == math.MaxInt {
				continue
			}
			members++
		case large < maxLarge && p.isLarge(c):
			c.large = true
			large++
		case !p.factsOf(c.task).hasCapacity:
			p.addUnschedulableTask(c)
			continue
		case singles >= maxSingles:
			continue
		default:
			singles++
		}
		p.selected = append(p.selected, c)
		p.largestTimeLeft = max(p.largestTimeLeft, c.timeLeft)
	}
}

// isLarge reports whether a task needs much of a runner and has waited, so that small tasks could starve it. One without
// value may be starved until it is aged.
func (p *Planner) isLarge(c *candidate) bool {
	if c.task.Waited < minLargeWait || c.task.LongRunning || c.lateness == worthless {
		return false
	}
	return p.factsOf(c.task).large
}

// factsOf returns what follows from a task's shape. What it says of free capacity is as of the start of the round.
func (p *Planner) factsOf(task *Task) shapeFacts {
	key := shape{task.Needs, task.Requirements}
	facts, known := p.shapes[key]
	if known {
		return facts
	}
	facts.large = true
	for i := range p.runnerStates {
		r := &p.runnerStates[i]
		if !r.couldRun(task) {
			continue
		}
		facts.hasCapacity = facts.hasCapacity || fits(r.free, task.Needs)
		facts.large = facts.large && dominantFraction(task.Needs, r.runner.Capacity) >= minLargeFraction
	}
	p.shapes[key] = facts
	return facts
}
