package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Agent is what a runner calls on its machine. A reply is called at most once, and never if there is no response.
// Heartbeat returns a function that informs the agent that the runner no longer waits for the response.
type Agent interface {
	Heartbeat(heartbeat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) (disconnect func())
	Deregister(service, instance string, reply func(err error))
}

// RunnerOptions describe a runner.
type RunnerOptions struct {
	Service          string
	Zone             string
	Address          string
	Kind             string // a label that steps may require
	Rack             string
	Speed            float64 // ms of work done per ms
	Capacity         protocol.Resources
	EnforcesCapacity bool          // it rejects what does not fit
	Interval         time.Duration // between heartbeats, unless a response sets another
	ClockRate        float64       // of its monotonic clock, 0.98 to 1
	Invoked          bool          // it gets its orders by calls, not in responses to its heartbeats
}

// Runner stands in for a user's runner: it runs tasks as it is ordered, and follows the protocol of runners (leases,
// fencing tokens, numbered ends that are repeated until they are acknowledged). It has one incarnation after another.
type Runner struct {
	RunnerOptions
	Machine *Machine // of its agent
	// Agent returns the agent on Machine, or nil while none is listening there.
	Agent func() Agent

	world       *World
	groundTruth *GroundTruth
	incarnation *RunnerIncarnation // nil while it is down
	starts      int

	fenceToken   uint64
	leaseExpiry  time.Duration // 0: there has been no lease
	leaseTimer   *Timer
	active       []*execution
	finished     []finishedRun     // that are not acknowledged, in the order of their numbers
	endSequence  uint64            // number of the last of them
	highestEnded map[string]uint64 // by task, the number of the last run that ended or was stopped: none up to it starts

	heartbeats        uint64 // sent
	heartbeatTimer    *Timer
	heartbeatInFlight bool
	heartbeatDue      bool // the next one follows soon after the one in flight
	responseTimer     *Timer
	abandonHeartbeat  func() // informs the agent that nobody waits for the response; nil: it has not got the request

	resets    []func() // called when this incarnation ends
	onNextEnd []func() // called when a run ends

	draining          bool
	leavesAt          time.Duration // its end, while draining
	slowFactor        float64       // by which work takes longer; 0 is the same as 1
	lateFraction      float64       // of heartbeats that are late
	failFraction      float64       // of starts that fail
	hangFraction      float64       // of starts that hang
	listsUnknownStops bool          // a stop of a run that is not there is listed as an end at once
	startsBeforeStops bool          // of the orders of one response
}

// finishedRun is an end that is listed until it is acknowledged.
type finishedRun struct {
	row           protocol.FinishedRun
	record        *Run // nil: the run never started
	leaseExpiries int  // of the incarnation until the end
}

// NewRunner returns a runner that is off.
func NewRunner(truth *GroundTruth, machine *Machine, options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, Machine: machine, world: truth.World, groundTruth: truth,
		listsUnknownStops: truth.World.Chance(0.5), startsBeforeStops: truth.World.Chance(0.5)}
}

// Up reports whether the runner is running.
func (r *Runner) Up() bool { return r.incarnation != nil }

func (r *Runner) bounds() *Bounds { return &r.groundTruth.History.Bounds }

// Start begins an incarnation, unless the runner is up.
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
	r.fenceToken, r.leaseExpiry, r.endSequence, r.heartbeats = 0, 0, 0, 0
	r.active, r.finished, r.highestEnded = nil, nil, map[string]uint64{}
	r.heartbeatInFlight, r.heartbeatDue, r.draining = false, false, false
	r.scheduleHeartbeat(r.world.Between(0, 100*time.Millisecond))
}

// Crash ends the incarnation at once, and with it all its runs.
func (r *Runner) Crash() {
	if r.incarnation == nil {
		return
	}
	r.heartbeatTimer.Stop()
	r.responseTimer.Stop()
	r.leaseTimer.Stop()
	r.disconnect()
	r.resetConnections()
	r.incarnation.Ended = r.world.now
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

// Drain puts the runner into the state `draining`, from which it deregisters and ends after a time.
func (r *Runner) Drain(after time.Duration) {
	if r.incarnation == nil || r.draining {
		return
	}
	r.draining = true
	r.leavesAt = r.world.now + after
	incarnation := r.incarnation
	r.heartbeatSoon()
	r.world.At(r.leavesAt, func() {
		if r.incarnation == incarnation {
			r.deregister(incarnation)
		}
	})
}

// deregister deregisters an incarnation and ends it, whether that is acknowledged or not.
func (r *Runner) deregister(incarnation *RunnerIncarnation) {
	const maxWait = time.Second
	end := func() {
		if r.incarnation == incarnation {
			r.Crash()
		}
	}
	r.callDeregister(incarnation, func(error) { r.world.After(time.Millisecond, end) })
	r.world.After(maxWait, end)
}

// DeregisterUndrained deregisters the runner without `draining` before. It serves on for a time, and ends.
func (r *Runner) DeregisterUndrained(after time.Duration) {
	incarnation := r.incarnation
	if incarnation == nil || r.draining {
		return
	}
	r.callDeregister(incarnation, func(err error) {
		if err == nil && r.incarnation == incarnation {
			incarnation.DrainAcknowledged = r.world.now
		}
	})
	r.world.After(after, func() {
		if r.incarnation == incarnation {
			r.Crash()
		}
	})
}

func (r *Runner) callDeregister(incarnation *RunnerIncarnation, reply func(err error)) {
	if agent := r.Agent(); agent != nil {
		r.Machine.inIncarnation(r.Machine.incarnation, func() { agent.Deregister(r.Service, incarnation.Instance, reply) })
	}
}

// SetSlow sets the factor by which all work takes longer, 1 usually.
func (r *Runner) SetSlow(factor float64) {
	before := r.speed()
	r.slowFactor = factor
	for _, e := range slices.Clone(r.active) {
		e.scaleSpeed(r.speed() / before)
	}
}

// SetGrayFailure sets the fractions of starts that fail, and that hang, while the runner looks healthy.
func (r *Runner) SetGrayFailure(fail, hang float64) { r.failFraction, r.hangFraction = fail, hang }

// SetLate sets the fraction of heartbeats that arrive late, by up to seconds.
func (r *Runner) SetLate(fraction float64) { r.lateFraction = fraction }

// speed returns the ms of work that are done per ms.
func (r *Runner) speed() float64 {
	if r.slowFactor > 1 {
		return r.Speed / r.slowFactor
	}
	return r.Speed
}

// used returns the resources of all runs, those that are being stopped included.
func (r *Runner) used() protocol.Resources {
	var sum protocol.Resources
	for _, e := range r.active {
		if e.step != nil {
			sum.CPU += e.step.spec.CPU
			sum.MemoryMB += e.step.spec.MemoryMB
			sum.GPU += e.step.spec.GPU
		}
	}
	return sum
}

// fits reports whether the runner has the free capacity for a task of a step.
func (r *Runner) fits(step *protocol.Step) bool {
	used := r.used()
	return used.CPU+step.CPU <= r.Capacity.CPU && used.MemoryMB+step.MemoryMB <= r.Capacity.MemoryMB &&
		used.GPU+step.GPU <= r.Capacity.GPU
}
