package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	chosenMost  = 200  // tasks looked at in one round, besides whole gangs
	membersMost = 200  // members of gangs looked at in one round, and the rest of their last gang
	largeMost   = 40   // large tasks looked at besides them
	rescueAfter = 1.5  // seconds after which something of a step that has nothing running goes wherever there is room
	agedAfter   = 30.0 // seconds after which late tasks rank with those that are not
	lateTimes   = 3.0  // objectives after which nothing is earned (rules)
	runtimeRank = 0.5  // how much a second of runtime counts in the rank beside a second of time left
	lastingRank = 1.0  // seconds of time left that a long-running task ranks with, at most
)

// ranking is the tasks in the present round, and what is found out about them.
type ranking struct {
	runtimes    []float64 // predicted seconds, by task and kind
	weights     []float64 // C by kind
	candidates  []candidate
	chosen      []*candidate
	largestLeft float64     // seconds
	gangs       map[any]int // position of each gang's first task
	shapes      map[shape]shapeFacts
	rescued     map[any]bool // groups of which a task was rescued
}

func newRanking() ranking {
	return ranking{gangs: map[any]int{}, shapes: map[shape]shapeFacts{}, rescued: map[any]bool{}}
}

// candidate is a task in the present round.
type candidate struct {
	task     *Task
	index    int
	timeLeft float64 // seconds
	late     int     // 0: it can meet its objective; 1: it can still earn as late; 2: neither
	rescue   bool    // its step has nothing running, and should have by now
	rank     float64 // seconds; lower ones go first
	order    int     // of the first task of its group, so that members stay together
	large    bool    // it takes so much of a runner that room is made for it as for a gang
	tries    int
	placed   bool

	otherwise answer // whether it could run on any trusted runner
}

// answer is a yes or no that is found out when it is first wanted.
type answer uint8

const (
	unknown answer = iota
	no
	yes
)

// holdKey is what room is held back for the task under.
func (c *candidate) holdKey() any {
	if c.task.Gang {
		return c.task.Group
	}
	return c.task.Key
}

// shape is what decides whether there is room for a task at all.
type shape struct {
	needs        protocol.Resources
	requirements string
}

// shapeFacts is what follows from a shape.
type shapeFacts struct {
	room  bool // some runner has room now
	large bool // it takes much of each runner that could take it
}

// choose picks the candidates of the round, in their order: by priority, then what can still be in time before what is late,
// then what has little time left and runs for a short time. Tasks that have room nowhere aren't counted, so that they don't
// hide those behind them.
func (p *Planner) choose() {
	p.candidates = slices.Grow(p.candidates[:0], len(p.tasks))[:len(p.tasks)]
	clear(p.gangs)
	for i := range p.tasks {
		p.candidates[i] = p.newCandidate(i)
	}
	slices.SortFunc(p.candidates, compareCandidates)
	p.chosen, p.stopping.alone = p.chosen[:0], p.stopping.alone[:0]
	p.largestLeft = leastLeft
	clear(p.shapes)
	clear(p.rescued)
	singles, large, members := 0, 0, 0
	for i := range p.candidates {
		c := &p.candidates[i]
		switch {
		case c.task.Gang:
			if members >= membersMost && p.candidates[i-1].order != c.order {
				members = math.MaxInt // no further gang
			}
			if members == math.MaxInt {
				continue
			}
			members++
		case large < largeMost && p.isLarge(c):
			c.large = true
			large++
		case !p.factsOf(c.task).room:
			p.blockAlone(c)
			continue
		case singles >= chosenMost:
			continue
		default:
			singles++
		}
		p.chosen = append(p.chosen, c)
		p.largestLeft = max(p.largestLeft, c.timeLeft)
	}
}

func (p *Planner) newCandidate(i int) candidate {
	task := &p.tasks[i]
	width := len(p.kinds)
	fastest := least(p.runtimes[i*width : (i+1)*width])
	if task.Remaining > 0 && task.Remaining < 1 {
		fastest *= task.Remaining
	}
	c := candidate{task: task, index: i, timeLeft: task.TimeLeft.Seconds(), order: i}
	waited := task.Waited.Seconds()
	if task.Gang {
		if c.order = p.firstOf(task.Group, i); c.order != i {
			return p.candidates[c.order].member(task, i)
		}
	}
	switch {
	case task.LongRunning:
		c.rank = min(c.timeLeft, lastingRank)
	case fastest <= timeLeftTest*c.timeLeft:
		c.rank = c.timeLeft + runtimeRank*fastest
	default:
		c.late = lateness(waited, c.timeLeft, fastest)
		c.rank = fastest - runtimeRank*waited
	}
	c.rescue = waited >= rescueAfter && p.halfFree && !p.running(task.Group)
	return c
}

// member returns another member of a gang, which ranks as the first one does.
func (c candidate) member(task *Task, i int) candidate {
	c.task, c.index = task, i
	return c
}

// lateness tells how late a task is that misses its objective: what is late earns less, and nothing from three times its
// objective on. The objective ran from its turn at the latest.
func lateness(waited, timeLeft, runtime float64) int {
	objective := waited + timeLeft
	switch {
	case waited >= agedAfter:
		return 0
	case waited+runtime <= lateTimes*objective:
		return 1
	default:
		return 2
	}
}

func (p *Planner) firstOf(group any, i int) int {
	first, known := p.gangs[group]
	if !known {
		p.gangs[group] = i
		return i
	}
	return first
}

// running tells whether any task of a group runs.
func (p *Planner) running(group any) bool {
	if p.busyGroups == nil {
		p.busyGroups = map[any]bool{}
		for i := range p.runners {
			for known, count := range p.runners[i].GroupCount {
				p.busyGroups[known] = p.busyGroups[known] || count > 0
			}
		}
	}
	return p.busyGroups[group]
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.task.Priority, b.task.Priority),
		compareBool(b.rescue, a.rescue),
		cmp.Compare(a.late, b.late),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.order, b.order),
		cmp.Compare(a.index, b.index),
	)
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// factsOf returns what follows from a task's shape.
func (p *Planner) factsOf(task *Task) shapeFacts {
	key := shape{task.Needs, task.Requirements}
	facts, known := p.shapes[key]
	if known {
		return facts
	}
	facts.large = true
	for i := range p.rooms {
		r := &p.rooms[i]
		if !r.capable(task) {
			continue
		}
		facts.room = facts.room || fits(r.free, task.Needs)
		facts.large = facts.large && shareOf(task.Needs, r.runner.Capacity) >= largeShare
	}
	p.shapes[key] = facts
	return facts
}

// may tells whether a task may start in a room now: by the rules, and by what is held back or distrusted.
func (p *Planner) may(c *candidate, r *room) bool {
	return r.takes(c.task) && p.trusts(c, r) && p.leavesHeld(c, r)
}

// trusts tells whether a task may go to a room as far as its runner is trusted. Where that is avoided, it still gets one
// task at a time, if that has room nowhere else or the runner is idle.
func (p *Planner) trusts(c *candidate, r *room) bool {
	if !r.distrusted || p.failOpen || p.rescues(c) || !p.otherwise(c) {
		return true
	}
	probe := len(r.runner.Running) == 0 && len(r.placed) == 0
	return probe && !c.task.Gang && !c.task.LongRunning
}

// otherwise tells whether a task could run on any trusted runner.
func (p *Planner) otherwise(c *candidate) bool {
	if c.otherwise == unknown {
		c.otherwise = no
		for i := range p.rooms {
			if !p.rooms[i].distrusted && p.rooms[i].capable(c.task) {
				c.otherwise = yes
				break
			}
		}
	}
	return c.otherwise == yes
}

// rescues tells whether a task is the first of its step to be rescued; the others then have one that runs. A gang is
// rescued whole.
func (p *Planner) rescues(c *candidate) bool {
	return c.rescue && !p.rescued[c.task.Group]
}

// leavesHeld tells whether a task leaves the room that is held back there: it is not for that task's like, or the
// task ends before it is needed, or it fits in beside.
func (p *Planner) leavesHeld(c *candidate, r *room) bool {
	held := &r.held
	if held.group == nil || held.group == c.holdKey() || c.task.Priority < held.priority {
		return true
	}
	if p.rescues(c) {
		return true
	}
	if !c.task.LongRunning && p.runtime(c, r) <= held.from {
		return true
	}
	return fits(held.spare, c.task.Needs)
}
