package placement

import "cmp"

const (
	rescueAfter        = 1.5 // seconds after which a task of a step that has nothing running goes wherever there is capacity
	runtimeRankWeight  = 0.5 // how much a second of runtime counts in the rank beside a second of time left
	maxLongRunningRank = 1.0 // seconds of time left that a long-running task ranks with, at most
)

// candidate is a task in the present round.
type candidate struct {
	task     *Task
	index    int     // in the planner's tasks
	timeLeft float64 // seconds
	lateness lateness
	rescue   bool    // its step has nothing running, and should have by now
	rank     float64 // seconds; lower ones go first
	order    int     // the index of the first task of its gang, so that members stay together, or its own
	large    bool    // it needs so much of a runner that capacity is reserved for it as for a gang
	attempts int     // matchings that it took part in
	placed   bool

	reliableAlternative tristate // see Planner.hasReliableAlternative
}

// lateness is what a task that starts now can still earn, by whether its job's objective can be met.
type lateness uint8

const (
	onTime    lateness = iota // it can meet its objective
	late                      // it can still earn the value of a late job
	worthless                 // neither
)

// tristate is a bool that is found out when it is first needed.
type tristate uint8

const (
	unknown tristate = iota
	no
	yes
)

// orderingWork returns the work by which what is on time is ordered; 0 for all else.
func (c *candidate) orderingWork() float64 {
	if c.lateness == onTime {
		return c.task.RemainingWork
	}
	return 0
}

// reservationKey is what capacity is reserved under for the task: the key of its gang, or its own.
func (c *candidate) reservationKey() any {
	if c.task.Gang {
		return c.task.Group
	}
	return c.task.Key
}

// newCandidate ranks the task of the given index. A gang ranks as its first member.
func (p *Planner) newCandidate(index int) candidate {
	task := &p.tasks[index]
	if task.Gang {
		if first := p.firstMember(task.Group, index); first != index {
			c := p.candidates[first]
			c.task, c.index = task, index
			return c
		}
	}
	fastest := p.fastestRuntime(index)
	if task.Remaining > 0 && task.Remaining < 1 {
		fastest *= task.Remaining
	}
	c := candidate{task: task, index: index, timeLeft: task.TimeLeft.Seconds(), order: index}
	waited := task.Waited.Seconds()
	c.lateness = latenessOf(task, fastest)
	switch {
	case task.LongRunning:
		c.rank = min(c.timeLeft, maxLongRunningRank)
	case c.lateness == onTime:
		c.rank = c.timeLeft + runtimeRankWeight*fastest
	default:
		c.rank = fastest - runtimeRankWeight*waited
	}
	c.rescue = waited >= rescueAfter && p.mostlyFree && !p.hasRunning(task.Group)
	return c
}

// latenessOf returns what a task can still earn if it starts now and runs for so many seconds. An aged task counts as late,
// so that it is not passed over forever, and never as on time, so that it costs nobody else their objective.
func latenessOf(task *Task, runtime float64) lateness {
	switch {
	case task.LongRunning:
		return onTime
	case task.Aged:
		return late
	case runtime <= timeLeftFraction*task.TimeLeft.Seconds():
		return onTime
	case runtime <= task.ValueLeft.Seconds():
		return late
	default:
		return worthless
	}
}

// firstMember returns the index of the first task of a gang, which is index if none came before.
func (p *Planner) firstMember(group any, index int) int {
	first, known := p.firstOfGang[group]
	if !known {
		p.firstOfGang[group] = index
		return index
	}
	return first
}

// compareCandidates orders by priority, then rescues, then what can still be on time before what is late. Among what is on
// time, the job with the least work left goes first: it earns the most for the capacity that it takes, and where there is
// too little for all, an order by deadlines makes each late job delay the next one. What is late goes by rank.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.task.Priority, b.task.Priority),
		compareBool(b.rescue, a.rescue),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.orderingWork(), b.orderingWork()),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.order, b.order),
		cmp.Compare(a.index, b.index),
	)
}

// compareBool orders false before true.
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
