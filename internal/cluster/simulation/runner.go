package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Agent is what a runner calls on its machine. A heartbeat returns what tells the agent that the runner has left.
type Agent interface {
	Heartbeat(beat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) (left func())
	Deregister(service, instance string, reply func(err error))
}

// RunnerOptions describe a runner.
type RunnerOptions struct {
	Service   string
	Zone      string
	Address   string
	Kind      string
	Rack      string
	Speed     float64 // 1: as usual
	Capacity  protocol.Resources
	Guards    bool
	Interval  time.Duration // between heartbeats, unless it is told otherwise
	ClockRate float64       // of its steady clock: 0.98 to 1
	Called    bool          // it is told what to do by calls, and not in answers to its heartbeats
}

// Runner runs tasks on a side machine, as it is told in answers to its heartbeats, or by calls.
type Runner struct {
	RunnerOptions
	Machine *Machine
	// Agent returns what listens at the machine's control address, or nil.
	Agent func() Agent

	world    *World
	plant    *Plant
	instance *RunnerLife // nil while it is down
	lives    int

	fence     uint64
	heldUntil time.Duration // true time; 0: nothing is held
	lapse     *Timer
	active    []*execution
	finished  []finishedEnd
	counter   uint64
	barred    map[string]uint64 // by task: highest run stopped or ended here

	sequence  uint64
	beatTimer *Timer
	out       bool // a heartbeat is out
	early     bool // an end came meanwhile
	giveUp    *Timer
	closeBeat func() // tells the agent that the runner waits no longer for its newest answer

	resets   []func() // called when this incarnation ends
	awaiting []func() // called at the next end

	draining    bool
	leaves      time.Duration // true time of its end while draining
	slow        float64       // times as long; 0 or 1: as usual
	lateShare   float64       // of heartbeats that come late
	failShare   float64       // of starts that fail
	hangShare   float64       // of starts that stand still
	listStopped bool          // a stop for a run not there is listed as refused at once
	startFirst  bool          // of an answer's orders, starts are taken before stops
}

type finishedEnd struct {
	row    protocol.FinishedRun
	record *Run
	lapses int // of the runner as it ended
}

// NewRunner returns a runner that is off.
func NewRunner(plant *Plant, machine *Machine, options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, Machine: machine, world: plant.World, plant: plant,
		listStopped: plant.World.Chance(0.5), startFirst: plant.World.Chance(0.5)}
}

// Up tells whether the runner is running.
func (r *Runner) Up() bool { return r.instance != nil }

// Life returns the runner's present incarnation, or nil.
func (r *Runner) Life() *RunnerLife { return r.instance }

// Start brings the runner up with a new id.
func (r *Runner) Start() {
	if r.instance != nil {
		return
	}
	r.lives++
	r.instance = &RunnerLife{
		Instance: fmt.Sprintf("i-%s-%d", r.Machine.Name, r.lives), Machine: r.Machine.Name, Service: r.Service,
		Labels: []string{r.Kind, r.Rack}, Rack: r.Rack, Capacity: r.Capacity, Guards: r.Guards,
		Up: r.world.now, Down: Never, DrainAck: Never,
	}
	r.plant.Ledger.Runners = append(r.plant.Ledger.Runners, r.instance)
	r.fence, r.heldUntil, r.counter, r.sequence = 0, 0, 0, 0
	r.active, r.finished, r.barred = nil, nil, map[string]uint64{}
	r.out, r.early, r.draining = false, false, false
	r.beatIn(r.world.Between(0, 100*time.Millisecond))
}

// Crash ends the runner without a word; everything on it dies.
func (r *Runner) Crash() {
	if r.instance == nil {
		return
	}
	r.beatTimer.Stop()
	r.giveUp.Stop()
	r.lapse.Stop()
	r.hangUp()
	r.resetConnections()
	life := r.instance
	life.Down = r.world.now
	r.instance = nil
	for _, e := range slices.Clone(r.active) {
		e.forget()
		e.settle(r.world.now)
		e.record.Ended, e.record.How = r.world.now, EndCrashed
		if e.isGang() {
			r.plant.leaveGang(e)
		}
	}
	r.active, r.finished = nil, nil
}

// Drain makes the runner say that it leaves, and leave after a time.
func (r *Runner) Drain(after time.Duration) {
	if r.instance == nil || r.draining {
		return
	}
	r.draining = true
	r.leaves = r.world.now + after
	life := r.instance
	r.beatSoon()
	r.world.At(r.leaves, func() {
		if r.instance == life {
			r.leave(life)
		}
	})
}

// leave says goodbye and ends, acknowledged or not.
func (r *Runner) leave(life *RunnerLife) {
	const longestGoodbye = time.Second
	end := func() {
		if r.instance == life {
			r.Crash()
		}
	}
	if agent := r.Agent(); agent != nil {
		r.Machine.inLife(r.Machine.life, func() {
			agent.Deregister(r.Service, life.Instance, func(error) { r.world.After(time.Millisecond, end) })
		})
	}
	r.world.After(longestGoodbye, end)
}

// LeaveUndrained makes the runner say goodbye without having said that it drains, serve on for a time, and end.
func (r *Runner) LeaveUndrained(after time.Duration) {
	life := r.instance
	if life == nil || r.draining {
		return
	}
	if agent := r.Agent(); agent != nil {
		r.Machine.inLife(r.Machine.life, func() {
			agent.Deregister(r.Service, life.Instance, func(err error) {
				if err == nil && r.instance == life {
					life.DrainAck = r.world.now
				}
			})
		})
	}
	r.world.After(after, func() {
		if r.instance == life {
			r.Crash()
		}
	})
}

// SetSlow makes all work take x times as long; 1 is as usual.
func (r *Runner) SetSlow(x float64) {
	before := r.speed()
	r.slow = x
	for _, e := range slices.Clone(r.active) {
		e.changeSpeed(r.speed() / before)
	}
}

// SetGrey makes shares of the starts fail or stand still.
func (r *Runner) SetGrey(fail, hang float64) { r.failShare, r.hangShare = fail, hang }

// SetLate makes a share of the heartbeats come late, up to seconds.
func (r *Runner) SetLate(share float64) { r.lateShare = share }

// speed is the work a ms gives.
func (r *Runner) speed() float64 {
	if r.slow > 1 {
		return r.Speed / r.slow
	}
	return r.Speed
}

// used is what everything running needs, what is being stopped included.
func (r *Runner) used() protocol.Resources {
	var sum protocol.Resources
	for _, e := range r.active {
		if e.group == nil {
			continue
		}
		sum.CPU += e.group.step.CPU
		sum.MemoryMB += e.group.step.MemoryMB
		sum.GPU += e.group.step.GPU
	}
	return sum
}

// fits tells whether a step's task has room.
func (r *Runner) fits(step *protocol.Step) bool {
	used := r.used()
	return used.CPU+step.CPU <= r.Capacity.CPU && used.MemoryMB+step.MemoryMB <= r.Capacity.MemoryMB &&
		used.GPU+step.GPU <= r.Capacity.GPU
}
