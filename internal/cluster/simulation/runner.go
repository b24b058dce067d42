package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Agent is the interface of an agent's process to the runner on its machine. reply is called at most once, and never if
// there is no response. Heartbeat returns a function that informs the agent that the runner no longer waits for the
// response.
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
	Speed            float64 // ms of work that it does per ms
	Capacity         protocol.Resources
	EnforcesCapacity bool          // it rejects runs that do not fit its capacity
	Interval         time.Duration // from a response to the next heartbeat, unless the response sets another
	ClockRate        float64       // ms of its monotonic clock per true ms, 0.98 to 1
	Invoked          bool          // the agent calls it with orders; false: they are in the responses to its heartbeats
}

// Runner stands in for a user's runner. It runs the tasks that it is ordered to run and follows the protocol of runners:
// leases, fencing tokens, and numbered ends of runs that it reports until they are acknowledged. Each start begins an
// incarnation.
type Runner struct {
	RunnerOptions
	Machine *Machine // the machine of its agent
	// Agent returns the agent on Machine, or nil while none is listening there.
	Agent func() Agent

	world       *World
	groundTruth *GroundTruth
	incarnation *RunnerIncarnation // nil while it is down
	starts      int                // number of incarnations

	fenceToken   uint64        // the highest that it has seen
	leaseExpiry  time.Duration // when the last lease expires or expired; 0: there has been no lease
	leaseTimer   *Timer
	active       []*execution
	finished     []finishedRun     // ends of runs that are not acknowledged, in the order of their numbers
	endSequence  uint64            // the number of the last end
	highestEnded map[string]uint64 // by task, the highest run number that ended or was stopped: runs up to it can't start

	heartbeats        uint64 // number of heartbeats that were sent
	heartbeatTimer    *Timer
	heartbeatInFlight bool
	heartbeatDue      bool // the next heartbeat follows soon after the response to the heartbeat in flight
	responseTimer     *Timer
	abandonHeartbeat  func() // tells the agent that the runner no longer waits; nil: the agent has not received the heartbeat

	resets    []func() // each resets a connection; called when this incarnation ends
	onNextEnd []func() // called when a run ends, and dropped then

	draining          bool
	leavesAt          time.Duration // when it deregisters, if it is draining
	slowFactor        float64       // work takes this factor longer, if it is above 1
	lateFraction      float64       // fraction of heartbeats that are late
	failFraction      float64       // fraction of started runs that fail
	hangFraction      float64       // fraction of started runs that hang
	listsUnknownStops bool          // it reports an end for a stop of a run that it does not have
	startsBeforeStops bool          // it carries out the starts of a response before its stops
}

// finishedRun is the end of a run, which the runner lists in its reports until it is acknowledged.
type finishedRun struct {
	row           protocol.FinishedRun
	record        *Run // nil: the run never started
	leaseExpiries int  // number of lease expiries of the incarnation before the end
}

// NewRunner returns a runner that is off.
func NewRunner(truth *GroundTruth, machine *Machine, options RunnerOptions) *Runner {
	return &Runner{RunnerOptions: options, Machine: machine, world: truth.World, groundTruth: truth,
		listsUnknownStops: truth.World.Chance(0.5), startsBeforeStops: truth.World.Chance(0.5)}
}

// Up reports whether the runner is running.
func (r *Runner) Up() bool { return r.incarnation != nil }

// bounds returns the bounds of the scenario.
func (r *Runner) bounds() *Bounds { return &r.groundTruth.History.Bounds }

// Start begins an incarnation of the runner. It has no effect if the runner is up.
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

// Crash ends the incarnation and all its runs at once. It has no effect if the runner is down.
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

// Drain puts the runner into the state `draining`. After a time the runner deregisters and ends.
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

// deregister deregisters an incarnation and ends it: soon after the response, or after maxWait if there is none.
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

// DeregisterUndrained deregisters the runner without the state `draining` before. The runner continues to work for a time
// and then ends. The history records the acknowledgement as that of `draining`.
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

// callDeregister calls the agent's Deregister, if the agent is listening.
func (r *Runner) callDeregister(incarnation *RunnerIncarnation, reply func(err error)) {
	if agent := r.Agent(); agent != nil {
		r.Machine.inIncarnation(r.Machine.incarnation, func() { agent.Deregister(r.Service, incarnation.Instance, reply) })
	}
}

// SetSlow sets a factor that multiplies the duration of all work; 1 is the usual speed.
func (r *Runner) SetSlow(factor float64) {
	before := r.speed()
	r.slowFactor = factor
	for _, e := range slices.Clone(r.active) {
		e.scaleSpeed(r.speed() / before)
	}
}

// SetGrayFailure sets the fractions of started runs that fail and that hang, while the runner's heartbeats continue.
func (r *Runner) SetGrayFailure(fail, hang float64) { r.failFraction, r.hangFraction = fail, hang }

// SetLate sets the fraction of heartbeats that arrive late, by 0.2 to 4 s.
func (r *Runner) SetLate(fraction float64) { r.lateFraction = fraction }

// speed returns the ms of work that the runner does per ms.
func (r *Runner) speed() float64 {
	if r.slowFactor > 1 {
		return r.Speed / r.slowFactor
	}
	return r.Speed
}

// used returns the resources that all active runs need, including runs that are being stopped.
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
