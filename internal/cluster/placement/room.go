package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	distrustFrom    = 0.5  // runners distrusted that much are avoided
	sickShare       = 0.67 // share of distrusted runners from which on none is avoided
	overdueShare    = 0.1  // an overdue run is expected to last for another such part of the time it has run
	overdueLeast    = 0.2  // and for so many seconds at least
	gpuCores        = 8.0  // cores that an accelerator counts as (rules)
	milliCores      = 1000.0
	begunNow        = -1 // in place of the position of a run
	almostNoSlowing = 0.05
)

// fleet is the runners in the present round.
type fleet struct {
	rooms         []room
	kinds         []string
	racks         []string
	lastingInRack []int        // long-running tasks by rack
	failOpen      bool         // most runners are distrusted, so none is avoided for it
	halfFree      bool         // less than half of the service's cores, or of its accelerators, are in use
	busyGroups    map[any]bool // groups of which a task runs; filled when first wanted
}

// room is a runner in the present round.
type room struct {
	runner     *Runner
	index      int
	kind       int // position in the planner's kinds
	rack       int // position in the planner's racks
	free       protocol.Resources
	slowness   float64
	distrusted bool
	lasting    int          // long-running tasks there
	placed     []groupCount // tasks placed in this round, by group
	begun      []ending     // of what was placed in this round
	ends       []ending     // of all that runs there, the first end first; filled when wanted
	endsKnown  bool
	promised   protocol.Resources // of what will become free, that others wait for
	held       heldRoom
}

type groupCount struct {
	group any
	count int
}

// ending is the expected end of a run.
type ending struct {
	in    float64 // seconds from now
	needs protocol.Resources
	run   int // position in Running, or begunNow
}

// heldRoom is room held back for a unit.
type heldRoom struct {
	group    any // nil: none
	priority int
	from     float64            // seconds from now until it is needed
	spare    protocol.Resources // what may be taken for longer beside it
}

// openRooms takes stock of the runners.
func (p *Planner) openRooms() {
	p.kinds, p.racks, p.lastingInRack = p.kinds[:0], p.racks[:0], p.lastingInRack[:0]
	p.rooms = slices.Grow(p.rooms[:0], len(p.runners))[:len(p.runners)]
	var capacity, free protocol.Resources
	ready, distrusted := 0, 0
	for i := range p.runners {
		runner, r := &p.runners[i], &p.rooms[i]
		*r = room{runner: runner, index: i, kind: position(&p.kinds, runner.Kind), rack: position(&p.racks, runner.Rack),
			free: runner.Free, slowness: max(runner.Slowness, almostNoSlowing), distrusted: runner.FailureScore >= distrustFrom,
			placed: r.placed[:0], begun: r.begun[:0], ends: r.ends[:0]}
		if runner.Slowness <= 0 {
			r.slowness = 1
		}
		for k := range runner.Running {
			if runner.Running[k].LongRunning {
				r.lasting++
			}
		}
		p.lastingInRack = append(p.lastingInRack, make([]int, len(p.racks)-len(p.lastingInRack))...)
		p.lastingInRack[r.rack] += r.lasting
		add(&capacity, runner.Capacity)
		add(&free, runner.Free)
		if !runner.Draining {
			ready++
			if r.distrusted {
				distrusted++
			}
		}
	}
	p.busyGroups = nil
	p.failOpen = float64(distrusted) > sickShare*float64(ready)
	p.halfFree = 2*free.CPU > capacity.CPU || capacity.GPU > 0 && 2*free.GPU > capacity.GPU
}

// position returns where name is in names, and adds it if it is not there.
func position(names *[]string, name string) int {
	for i, known := range *names {
		if known == name {
			return i
		}
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// take counts a task in.
func (r *room) take(c *candidate, runtime float64) {
	task := c.task
	subtract(&r.free, task.Needs)
	if task.LongRunning {
		r.lasting++
		runtime = math.Inf(1)
	}
	if r.held.group != nil && r.held.group != c.holdKey() && runtime > r.held.from {
		subtract(&r.held.spare, task.Needs)
	}
	r.begun = append(r.begun, ending{runtime, task.Needs, begunNow})
	r.endsKnown = false
	for i := range r.placed {
		if r.placed[i].group == task.Group {
			r.placed[i].count++
			return
		}
	}
	r.placed = append(r.placed, groupCount{task.Group, 1})
}

// count returns how many tasks of a group are there.
func (r *room) count(group any) int {
	count := 0
	if len(r.runner.GroupCount) > 0 {
		count = r.runner.GroupCount[group]
	}
	for i := range r.placed {
		if r.placed[i].group == group {
			return count + r.placed[i].count
		}
	}
	return count
}

// capable tells whether the runner could ever take the task.
func (r *room) capable(task *Task) bool {
	if r.runner.Draining || !fits(r.runner.Capacity, task.Needs) {
		return false
	}
	return task.Requirements == "" || slices.Contains(r.runner.Labels, task.Requirements)
}

// takes tells whether the task may start there now, by the rules: capacity, label, anti-affinity, draining.
func (r *room) takes(task *Task) bool {
	if !fits(r.free, task.Needs) || !r.capable(task) {
		return false
	}
	return task.AntiAffinity <= 0 || r.count(task.Group) < task.AntiAffinity
}

// fitting returns how many tasks with these needs have room there, most at the most.
func (r *room) fitting(task *Task, most int) int {
	most = times(r.free, task.Needs, most)
	if task.AntiAffinity > 0 {
		most = min(most, task.AntiAffinity-r.count(task.Group))
	}
	return max(most, 0)
}

// endings returns what runs there by its expected end.
func (p *Planner) endings(r *room) []ending {
	if r.endsKnown {
		return r.ends
	}
	r.endsKnown = true
	r.ends = append(r.ends[:0], r.begun...)
	for i := range r.runner.Running {
		run := &r.runner.Running[i]
		r.ends = append(r.ends, ending{p.left(run), run.Needs, i})
	}
	sortEndings(r.ends)
	return r.ends
}

func sortEndings(ends []ending) {
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.run, b.run)) })
}

// left returns the seconds until a run is expected to end.
func (p *Planner) left(run *Run) float64 {
	if run.Stopping {
		return p.options.StopTime.Seconds()
	}
	if run.LongRunning {
		return math.Inf(1)
	}
	if rest := (run.Predicted - run.Elapsed).Seconds(); rest > overdueLeast {
		return rest
	}
	return max(overdueShare*run.Elapsed.Seconds(), overdueLeast)
}

// freeIn returns the seconds until the room has place for needs, count times over, beside what it has promised;
// infinity if it is not foreseen.
func (p *Planner) freeIn(r *room, needs protocol.Resources, count int) float64 {
	free := r.free
	subtract(&free, r.promised)
	if times(free, needs, count) >= count {
		return 0
	}
	for _, end := range p.endings(r) {
		add(&free, end.needs)
		if times(free, needs, count) >= count {
			return end.in
		}
	}
	return math.Inf(1)
}

func fits(free, needs protocol.Resources) bool {
	return needs.CPU <= free.CPU && needs.MemoryMB <= free.MemoryMB && needs.GPU <= free.GPU
}

// times returns how many times over needs fit, most at the most.
func times(free, needs protocol.Resources, most int) int {
	if !fits(free, needs) {
		return 0
	}
	most = timesOf(free.CPU, needs.CPU, most)
	most = timesOf(free.MemoryMB, needs.MemoryMB, most)
	return timesOf(free.GPU, needs.GPU, most)
}

func timesOf(free, need int64, most int) int {
	if need <= 0 {
		return most
	}
	return int(min(free/need, int64(most)))
}

func add(sum *protocol.Resources, more protocol.Resources) {
	sum.CPU += more.CPU
	sum.MemoryMB += more.MemoryMB
	sum.GPU += more.GPU
}

func subtract(sum *protocol.Resources, less protocol.Resources) {
	sum.CPU -= less.CPU
	sum.MemoryMB -= less.MemoryMB
	sum.GPU -= less.GPU
}

// cores returns resources as the rules price them: in cores, each accelerator counting as 8.
func cores(r protocol.Resources) float64 {
	return float64(r.CPU)/milliCores + gpuCores*float64(r.GPU)
}

// shareOf returns the largest share that needs are of capacity.
func shareOf(needs, capacity protocol.Resources) float64 {
	return max(ratio(needs.CPU, capacity.CPU), ratio(needs.MemoryMB, capacity.MemoryMB), ratio(needs.GPU, capacity.GPU))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
