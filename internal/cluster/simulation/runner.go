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
	Service          string
	Zone             string
	Address          string
	Kind             string
	Rack             string
	Speed            float64 // 1: as usual
	Capacity         protocol.Resources
	EnforcesCapacity bool
	Interval         time.Duration // between heartbeats, unless it is told otherwise
	ClockRate        float64       // of its steady clock: 0.98 to 1
	Invoked          bool          // it is told what to do by calls, and not in answers to its heartbeats
}

// Runner runs tasks on a side machine, as it is told in answers to its heartbeats, or by calls.
type Runner struct {
	RunnerOptions
	Machine *Machine
	// Agent returns what listens at the machine's control address, or nil.
	Agent func() Agent

	world       *World
	groundTruth *GroundTruth
	incarnation *RunnerIncarnation // nil while it is down
	starts      int

	fenceToken   uint64
	leaseExpiry  time.Duration // true time; 0: nothing is held
	leaseTimer   *Timer
	active       []*execution
	finished     []finishedRun
	endSequence  uint64
	highestEnded map[string]uint64 // by task: highest run stopped or ended here

	sequence          uint64
	heartbeatTimer    *Timer
	heartbeatInFlight bool // a heartbeat is out
	heartbeatDue      bool // an end came meanwhile
	responseTimer     *Timer
	abandonHeartbeat  func() // tells the agent that the runner waits no longer for its newest answer

	resets    []func() // called when this incarnation ends
	onNextEnd []func() // called at the next end

	draining          bool
	leavesAt          time.Duration // true time of its end while draining
	slowFactor        float64       // times as long; 0 or 1: as usual
	lateFraction      float64       // of heartbeats that come late
	failFraction      float64       // of starts that fail
	hangFraction      float64       // of starts that stand still
	listsUnknownStops bool          // a stop for a run not there is listed as refused at once
	startsBeforeStops bool          // of an answer's orders, starts are taken before stops
}

type finishedRun struct {
	row           protocol.FinishedRun
	record        *Run
	leaseExpiries int // of the runner as it ended
}

// NewRunner returns a runner that is off.
func NewRunner(plant *GroundTruth, machine *Machine, options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, Machine: machine, world: plant.World, groundTruth: plant,
		listsUnknownStops: plant.World.Chance(0.5), startsBeforeStops: plant.World.Chance(0.5)}
}

// Started tells whether the runner is running.
func (r *Runner) Up() bool { return r.incarnation != nil }

// Incarnation returns the runner's present incarnation, or nil.
func (r *Runner) Incarnation() *RunnerIncarnation { return r.incarnation }

// Start brings the runner up with a new id.
func (r *Runner) Start() {
	if r.incarnation != nil {
		return
	}
	r.starts++
	r.incarnation = &RunnerIncarnation{
		Instance: fmt.Sprintf("i-%s-%d", r.Machine.Name, r.starts), Machine: r.Machine.Name, Service: r.Service,
		Labels: []string{r.Kind, r.Rack}, Rack: r.Rack, Capacity: r.Capacity, EnforcesCapacity: r.EnforcesCapacity,
		Started: r.world.now, Ended: Never, DrainAcknowledged: Never,
	}
	r.groundTruth.History.Runners = append(r.groundTruth.History.Runners, r.incarnation)
	r.fenceToken, r.leaseExpiry, r.endSequence, r.sequence = 0, 0, 0, 0
	r.active, r.finished, r.highestEnded = nil, nil, map[string]uint64{}
	r.heartbeatInFlight, r.heartbeatDue, r.draining = false, false, false
	r.scheduleHeartbeat(r.world.Between(0, 100*time.Millisecond))
}

// Crash ends the runner without a word; everything on it dies.
func (r *Runner) Crash() {
	if r.incarnation == nil {
		return
	}
	r.heartbeatTimer.Stop()
	r.responseTimer.Stop()
	r.leaseTimer.Stop()
	r.abandon()
	r.resetConnections()
	life := r.incarnation
	life.Ended = r.world.now
	r.incarnation = nil
	for _, e := range slices.Clone(r.active) {
		e.stopTimers()
		e.advance(r.world.now)
		e.record.Ended, e.record.EndReason = r.world.now, EndCrashed
		if e.isGang() {
			r.groundTruth.leaveGang(e)
		}
	}
	r.active, r.finished = nil, nil
}

// Drain makes the runner say that it leaves, and leave after a time.
func (r *Runner) Drain(after time.Duration) {
	if r.incarnation == nil || r.draining {
		return
	}
	r.draining = true
	r.leavesAt = r.world.now + after
	life := r.incarnation
	r.heartbeatSoon()
	r.world.At(r.leavesAt, func() {
		if r.incarnation == life {
			r.deregister(life)
		}
	})
}

// deregister says goodbye and ends, acknowledged or not.
func (r *Runner) deregister(life *RunnerIncarnation) {
	const longestGoodbye = time.Second
	end := func() {
		if r.incarnation == life {
			r.Crash()
		}
	}
	if agent := r.Agent(); agent != nil {
		r.Machine.inIncarnation(r.Machine.incarnation, func() {
			agent.Deregister(r.Service, life.Instance, func(error) { r.world.After(time.Millisecond, end) })
		})
	}
	r.world.After(longestGoodbye, end)
}

// DeregisterUndrained makes the runner say goodbye without having said that it drains, serve on for a time, and end.
func (r *Runner) DeregisterUndrained(after time.Duration) {
	life := r.incarnation
	if life == nil || r.draining {
		return
	}
	if agent := r.Agent(); agent != nil {
		r.Machine.inIncarnation(r.Machine.incarnation, func() {
			agent.Deregister(r.Service, life.Instance, func(err error) {
				if err == nil && r.incarnation == life {
					life.DrainAcknowledged = r.world.now
				}
			})
		})
	}
	r.world.After(after, func() {
		if r.incarnation == life {
			r.Crash()
		}
	})
}

// SetSlow makes all work take x times as long; 1 is as usual.
func (r *Runner) SetSlow(x float64) {
	before := r.speed()
	r.slowFactor = x
	for _, e := range slices.Clone(r.active) {
		e.scaleSpeed(r.speed() / before)
	}
}

// SetGrayFailure makes shares of the starts fail or stand still.
func (r *Runner) SetGrayFailure(fail, hang float64) { r.failFraction, r.hangFraction = fail, hang }

// SetLate makes a share of the heartbeats come late, up to seconds.
func (r *Runner) SetLate(share float64) { r.lateFraction = share }

// speed is the work a ms gives.
func (r *Runner) speed() float64 {
	if r.slowFactor > 1 {
		return r.Speed / r.slowFactor
	}
	return r.Speed
}

// used is what everything running needs, what is being stopped included.
func (r *Runner) used() protocol.Resources {
	var sum protocol.Resources
	for _, e := range r.active {
		if e.step == nil {
			continue
		}
		sum.CPU += e.step.spec.CPU
		sum.MemoryMB += e.step.spec.MemoryMB
		sum.GPU += e.step.spec.GPU
	}
	return sum
}

// fits tells whether a step's task has room.
func (r *Runner) fits(step *protocol.Step) bool {
	used := r.used()
	return used.CPU+step.CPU <= r.Capacity.CPU && used.MemoryMB+step.MemoryMB <= r.Capacity.MemoryMB &&
		used.GPU+step.GPU <= r.Capacity.GPU
}
