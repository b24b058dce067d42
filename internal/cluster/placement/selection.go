package placement

import (
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	maxSingles     = 200 // largest number of tasks in a round that are neither members of gangs nor large
	maxGangMembers = 200 // largest number of members of gangs in a round; the last gang takes part completely beyond it
	maxLarge       = 40  // largest number of large tasks in a round
)

// selection has the candidates of the current round, the selected ones among them, and data derived from both.
type selection struct {
	runtimes        []float64    // predicted runtimes in seconds, by task and kind: see Planner.runtimesOf
	weights         []float64    // heterogeneity coefficients C_j (Kairos, definition 1), by kind
	candidates      []candidate  // of all tasks, in the order of compareCandidates
	selected        []*candidate // candidates that take part, in the same order
	largestTimeLeft float64      // of the selected candidates, in seconds
	firstOfGang     map[any]int  // index of the first task of each gang, by group
	shapes          map[shape]shapeFacts
	servedStarving  map[any]bool // groups with a starving task that the round has placed
}

func newSelection() selection {
	return selection{firstOfGang: map[any]int{}, shapes: map[shape]shapeFacts{}, servedStarving: map[any]bool{}}
}

// shape has the properties of a task that decide which runners could run it. Many tasks have the same shape.
type shape struct {
	needs        protocol.Resources
	requirements string
}

// shapeFacts has properties of all tasks of a shape.
type shapeFacts struct {
	hasCapacity bool // a runner had free capacity for the task at the start of the round
	large       bool // the task needs at least minLargeFraction of each runner that could run it
}

// selectCandidates ranks the tasks and selects the candidates that take part in the round, up to the limits for each
// sort of task. If no runner has free capacity for a task, the task takes part only in preemption. It doesn't count
// towards maxSingles, so that such tasks don't keep tasks of lower rank out of the round.
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
	clear(p.servedStarving)
	singles, large, members := 0, 0, 0
	for i := range p.candidates {
		c := &p.candidates[i]
		switch {
		case c.task.Gang:
			if members >= maxGangMembers && p.candidates[i-1].order != c.order {
				members = math.MaxInt // no further gang takes part
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

// isLarge reports whether a task needs much of any runner and has waited for minLargeWait, so that small tasks could
// starve it. An expired task isn't protected from starvation in this way; aging does that.
func (p *Planner) isLarge(c *candidate) bool {
	if c.task.Waited < minLargeWait || c.task.LongRunning || c.lateness == expired {
		return false
	}
	return p.factsOf(c.task).large
}

// factsOf returns the facts of a task's shape, and computes them for the first task of a shape in the round.
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
