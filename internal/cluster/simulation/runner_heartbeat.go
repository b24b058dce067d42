package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	heartbeatTimeout        = time.Second           // on the runner's clock; a later response is dropped
	heartbeatDelayAfterEnd  = 50 * time.Millisecond // from the end of a run to the next heartbeat, at most
	maxFinishedPerHeartbeat = 500                   // number of ends that one report lists
)

// scheduleHeartbeat schedules the next heartbeat for the time d from now, in place of any that was scheduled.
func (r *Runner) scheduleHeartbeat(d time.Duration) {
	r.heartbeatTimer.Stop()
	incarnation := r.incarnation
	r.heartbeatTimer = r.world.After(d, func() {
		if r.incarnation == incarnation && incarnation != nil {
			r.sendHeartbeat()
		}
	})
}

// heartbeatSoon brings the next heartbeat forward to heartbeatDelayAfterEnd from now, because there is news to report. If
// one is in flight, the next follows that long after its response.
func (r *Runner) heartbeatSoon() {
	if r.heartbeatInFlight {
		r.heartbeatDue = true
		return
	}
	if !r.heartbeatTimer.Pending() || r.heartbeatTimer.at > r.world.now+heartbeatDelayAfterEnd {
		r.scheduleHeartbeat(heartbeatDelayAfterEnd)
	}
}

// heartbeatCall is a heartbeat and the wait for its response.
type heartbeatCall struct {
	runner      *Runner
	incarnation *RunnerIncarnation
	sent        time.Duration
	report      *protocol.Heartbeat
	isFinished  bool
}

// sendHeartbeat sends a heartbeat to the agent. The response, an error or the timeout schedules the next one.
func (r *Runner) sendHeartbeat() {
	r.heartbeats++
	r.heartbeatInFlight, r.abandonHeartbeat = true, nil
	call := &heartbeatCall{runner: r, incarnation: r.incarnation, sent: r.world.now}
	r.responseTimer = r.world.After(time.Duration(float64(heartbeatTimeout)/r.ClockRate), func() {
		r.disconnect()
		call.finish(r.retryBackoff())
	})
	call.report = r.report()
	agent := r.Agent()
	if agent == nil {
		r.world.After(time.Millisecond, func() { call.finish(r.retryBackoff()) })
		return
	}
	machine, agentIncarnation := r.Machine, r.Machine.incarnation
	r.world.After(r.heartbeatDelay(), func() {
		machine.inIncarnation(agentIncarnation, func() {
			disconnect := agent.Heartbeat(call.report, func(orders *protocol.Orders, err error) {
				r.world.After(LoopbackDelay, func() { call.receive(orders, err) })
			})
			if r.incarnation == call.incarnation && r.heartbeats == call.report.Sequence {
				r.abandonHeartbeat = func() { machine.inIncarnation(agentIncarnation, disconnect) }
			}
		})
	})
}

// receive carries out the agent's response, unless the call has finished.
func (c *heartbeatCall) receive(orders *protocol.Orders, err error) {
	r := c.runner
	if c.isFinished || r.incarnation != c.incarnation {
		return
	}
	if err != nil {
		c.finish(r.retryBackoff())
		return
	}
	next := r.Interval
	if orders.RetryDelayMs > 0 {
		next = time.Duration(orders.RetryDelayMs) * time.Millisecond
	}
	r.apply(orders, c.sent, c.report.State)
	c.finish(next)
}

// finish ends the call and schedules the next heartbeat for the time next from now, or sooner if heartbeatDue is set.
func (c *heartbeatCall) finish(next time.Duration) {
	r := c.runner
	if c.isFinished || r.incarnation != c.incarnation {
		return
	}
	c.isFinished = true
	r.heartbeatInFlight = false
	r.responseTimer.Stop()
	if r.heartbeatDue {
		r.heartbeatDue = false
		next = min(next, heartbeatDelayAfterEnd)
	}
	r.scheduleHeartbeat(next)
}

// disconnect informs the agent that the runner no longer waits for the response to the heartbeat in flight, if there is one.
func (r *Runner) disconnect() {
	if !r.heartbeatInFlight || r.abandonHeartbeat == nil {
		return
	}
	abandon := r.abandonHeartbeat
	r.abandonHeartbeat = nil
	r.world.After(LoopbackDelay, abandon)
}

// heartbeatDelay draws the time that a heartbeat takes to reach the agent.
func (r *Runner) heartbeatDelay() time.Duration {
	const minLate, maxLate = 200 * time.Millisecond, 4 * time.Second
	if r.world.Chance(r.lateFraction) {
		return r.world.Between(minLate, maxLate)
	}
	return LoopbackDelay
}

// retryBackoff draws the time from the failure of a heartbeat to the next one.
func (r *Runner) retryBackoff() time.Duration {
	return r.world.Between(50*time.Millisecond, 300*time.Millisecond)
}

// report returns the runner's heartbeat as of now.
func (r *Runner) report() *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{
		Instance: r.incarnation.Instance, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: "v1", Slots: 8,
		State: protocol.RunnerReady, Capacity: r.Capacity, Labels: []string{r.Kind, r.Rack}, Sequence: r.heartbeats,
		ClockMs: r.clockMs(),
	}
	if r.draining {
		heartbeat.State = protocol.RunnerDraining
		heartbeat.RemainingMs = max(0, r.leavesAt-r.world.now).Milliseconds()
	}
	if !r.Invoked {
		heartbeat.Active, heartbeat.Finished = r.lists()
	}
	return heartbeat
}

// lists returns the active runs, and the first maxFinishedPerHeartbeat ends that are not acknowledged.
func (r *Runner) lists() (active []protocol.ActiveRun, finished []protocol.FinishedRun) {
	for _, e := range r.active {
		e.updateCheckpoint(r.world.now)
		active = append(active, protocol.ActiveRun{
			Task: e.record.TaskText, Run: e.record.Number, Saved: e.checkpoint, Percent: e.percent(r.world.now)})
	}
	for i := range min(len(r.finished), maxFinishedPerHeartbeat) {
		finished = append(finished, r.finished[i].row)
	}
	return active, finished
}

// apply carries out the orders in the response to a heartbeat, given when the heartbeat was sent and the state that it
// reported. Orders with a lower fencing token than the runner has seen are ignored.
func (r *Runner) apply(orders *protocol.Orders, sent time.Duration, state protocol.RunnerState) {
	if state == protocol.RunnerDraining && r.incarnation.DrainAcknowledged == Never {
		r.incarnation.DrainAcknowledged = r.world.now
	}
	if orders.FenceToken < r.fenceToken {
		return
	}
	r.fenceToken = orders.FenceToken
	r.acknowledgeEnds(orders.LastSeen)
	if orders.HoldMs > 0 {
		r.extendLease(sent, time.Duration(orders.HoldMs)*time.Millisecond)
	}
	if r.startsBeforeStops {
		r.startAll(orders, sent)
	}
	for _, order := range orders.Stop {
		r.stopOrdered(order)
	}
	if !r.startsBeforeStops {
		r.startAll(orders, sent)
	}
}

// startAll carries out the start orders of a response. Without a lease in the response it ignores them.
func (r *Runner) startAll(orders *protocol.Orders, sent time.Duration) {
	if orders.HoldMs <= 0 {
		return
	}
	for i := range orders.Start {
		r.startOrdered(&orders.Start[i], sent)
	}
}

// acknowledgeEnds records that the ends up to a number are acknowledged, and drops them from the list.
func (r *Runner) acknowledgeEnds(lastSeen uint64) {
	acknowledged := 0
	for acknowledged < len(r.finished) && r.finished[acknowledged].row.N <= lastSeen {
		end := &r.finished[acknowledged]
		if end.record != nil {
			end.record.Acknowledged = r.world.now
			end.record.LapsedBeforeAck = len(r.incarnation.LeaseExpiries) > end.leaseExpiries
		}
		acknowledged++
	}
	r.finished = r.finished[acknowledged:]
}

// extendLease extends the lease to a time that is the duration, on the runner's own clock, after sent: when the heartbeat
// was sent or the call was received. The duration is capped at Bounds.MaxLease.
func (r *Runner) extendLease(sent, duration time.Duration) {
	duration = min(duration, r.bounds().MaxLease)
	expiry := sent + time.Duration(float64(duration)/r.ClockRate)
	if expiry <= r.leaseExpiry {
		return
	}
	r.leaseExpiry = expiry
	r.leaseTimer.Stop()
	incarnation := r.incarnation
	r.leaseTimer = r.world.At(expiry, func() {
		if r.incarnation == incarnation {
			r.expireLease()
		}
	})
}

// expireLease records that the lease has expired and ends all runs with EndLapsed.
func (r *Runner) expireLease() {
	r.incarnation.LeaseExpiries = append(r.incarnation.LeaseExpiries, r.world.now)
	for len(r.active) > 0 {
		r.endRun(r.active[0], protocol.EndLapsed)
	}
}
