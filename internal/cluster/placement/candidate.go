package placement

import "cmp"

const (
	minStarvingWait    = 1.5 // least time in seconds that a task of a starving step has waited; see candidate.starving
	runtimeRankWeight  = 0.5 // weight of a second of runtime, or of waiting, in the rank; a second of time left weighs 1
	maxLongRunningRank = 1.0 // largest rank of a long-running task, in seconds
)

// candidate is a task in the current round.
type candidate struct {
	task     *Task
	index    int      // index into the planner's tasks
	timeLeft float64  // Task.TimeLeft in seconds
	lateness lateness // deadline that the task can still meet
	starving bool     // it has waited for minStarvingWait, its step has no running task, and the service is mostly free
	rank     float64  // order among tasks of the same priority and lateness, in seconds; lower ranks are placed first
	order    int      // index of the first task of its gang, or its own index; keeps members adjacent
	large    bool     // it needs so much of any runner that capacity is reserved for it as for a gang
	attempts int      // matchings so far; set to maxAttempts if the task must not take part in further ones
	placed   bool     // the round has placed it

	reliableAlternative tristate // result of Planner.hasReliableAlternative
}

// lateness says which of its job's two deadlines a task can meet if it starts now.
type lateness uint8

const (
	onTime  lateness = iota // the job can meet its objective
	late                    // the job can end before its expiry, when its value drops to zero
	expired                 // the job can't end before its expiry
)

// tristate is a boolean that is computed when it is first needed.
type tristate uint8

const (
	unknown tristate = iota
	no
	yes
)

// orderingWork returns the remaining work of the job, in core-seconds, if the task can be on time. Such tasks are
// ordered by this work. It returns 0 for all other tasks, which are ordered by rank.
func (c *candidate) orderingWork() float64 {
	if c.lateness == onTime {
		return c.task.RemainingWork
	}
	return 0
}

// reservationKey returns the key of the task's reservations: its gang, or the task itself.
func (c *candidate) reservationKey() any {
	if c.task.Gang {
		return c.task.Group
	}
	return c.task.Key
}

// newCandidate returns the candidate for the task of an index. All members of a gang get the rank and lateness of the
// first member. The rank depends on the task, with the runtime predicted on the fastest kind of runner:
//
//	long-running:  time left, at most maxLongRunningRank
//	on time:       time left + runtimeRankWeight * runtime
//	otherwise:     runtime - runtimeRankWeight * waited
//
// So among tasks on time, the most urgent and shortest come first. Among all other tasks, the shortest come first, and
// a long wait raises a task's priority.
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
	c.starving = waited >= minStarvingWait && p.mostlyFree && !p.hasRunning(task.Group)
	return c
}

// latenessOf returns the lateness of a task that starts now and runs for runtime seconds. A long-running task has no
// deadline, so it is on time. An aged task is treated as late: not as expired, so that it doesn't starve, and not as on
// time, so that it doesn't make another task miss its objective.
func latenessOf(task *Task, runtime float64) lateness {
	switch {
	case task.LongRunning:
		return onTime
	case task.Aged:
		return late
	case runtime <= timeLeftFraction*task.TimeLeft.Seconds():
		return onTime
	case runtime <= task.TimeToExpiry.Seconds():
		return late
	default:
		return expired
	}
}

// firstMember returns the index of the first task of a gang. That is index if the function is called for the gang for the
// first time in this round.
func (p *Planner) firstMember(group any, index int) int {
	first, known := p.firstOfGang[group]
	if !known {
		p.firstOfGang[group] = index
		return index
	}
	return first
}

// compareCandidates orders candidates by priority, then starving ones first, then by lateness. Candidates that can be
// on time are ordered by the remaining work of their jobs, the least first, then by rank. All other candidates are
// ordered by rank.
//
// A job with little remaining work meets its objective for the least capacity. If there is too little capacity for all
// jobs, an order by deadline would make each late job delay the next one. A job with only long-running tasks has no
// remaining work, so its tasks come first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.task.Priority, b.task.Priority),
		compareBool(b.starving, a.starving),
		cmp.Compare(a.lateness, b.lateness),
		cmp.Compare(a.orderingWork(), b.orderingWork()),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.order, b.order),
		cmp.Compare(a.index, b.index),
	)
}

// compareBool compares two booleans; false is less than true.
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
