package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	heartbeatTimeout        = time.Second           // an answer that comes later is dropped
	heartbeatDelayAfterEnd  = 50 * time.Millisecond // to the next heartbeat
	maxFinishedPerHeartbeat = 500                   // ends in one heartbeat
)

// scheduleHeartbeat sets the time of the next heartbeat.
func (r *Runner) scheduleHeartbeat(d time.Duration) {
	r.heartbeatTimer.Stop()
	life := r.incarnation
	r.heartbeatTimer = r.world.After(d, func() {
		if r.incarnation == life && life != nil {
			r.sendHeartbeat()
		}
	})
}

// heartbeatSoon brings the next heartbeat forward because something ended.
func (r *Runner) heartbeatSoon() {
	if r.heartbeatInFlight {
		r.heartbeatDue = true
		return
	}
	if !r.heartbeatTimer.Pending() || r.heartbeatTimer.at > r.world.now+heartbeatDelayAfterEnd {
		r.scheduleHeartbeat(heartbeatDelayAfterEnd)
	}
}

// sendHeartbeat sends a heartbeat.
func (r *Runner) sendHeartbeat() {
	life, sent := r.incarnation, r.world.now
	r.sequence++
	r.heartbeatInFlight, r.abandonHeartbeat = true, nil
	settled := false
	settle := func(next time.Duration) {
		if settled || r.incarnation != life {
			return
		}
		settled = true
		r.heartbeatInFlight = false
		r.responseTimer.Stop()
		if r.heartbeatDue {
			r.heartbeatDue = false
			next = min(next, heartbeatDelayAfterEnd)
		}
		r.scheduleHeartbeat(next)
	}
	wait := time.Duration(float64(heartbeatTimeout) / r.ClockRate)
	r.responseTimer = r.world.After(wait, func() {
		r.abandon()
		settle(r.retryBackoff())
	})
	report := r.report()
	agent := r.Agent()
	if agent == nil {
		r.world.After(time.Millisecond, func() { settle(r.retryBackoff()) })
		return
	}
	machine, agentLife := r.Machine, r.Machine.incarnation
	r.world.After(r.heartbeatDelay(), func() {
		machine.inIncarnation(agentLife, func() {
			left := agent.Heartbeat(report, func(orders *protocol.Orders, err error) {
				r.world.After(LoopbackDelay, func() {
					if settled || r.incarnation != life {
						return
					}
					if err != nil {
						settle(r.retryBackoff())
						return
					}
					next := r.Interval
					if orders.RetryDelayMs > 0 {
						next = time.Duration(orders.RetryDelayMs) * time.Millisecond
					}
					r.apply(orders, sent, report.State)
					settle(next)
				})
			})
			if r.incarnation == life && r.sequence == report.Sequence {
				r.abandonHeartbeat = func() { machine.inIncarnation(agentLife, left) }
			}
		})
	})
}

// abandon has the agent hear, if a heartbeat is out, that the runner does not wait for its answer.
func (r *Runner) abandon() {
	if !r.heartbeatInFlight || r.abandonHeartbeat == nil {
		return
	}
	leave := r.abandonHeartbeat
	r.abandonHeartbeat = nil
	r.world.After(LoopbackDelay, leave)
}

// heartbeatDelay is how long a heartbeat takes to the agent.
func (r *Runner) heartbeatDelay() time.Duration {
	const least, most = 200 * time.Millisecond, 4 * time.Second
	if r.world.Chance(r.lateFraction) {
		return r.world.Between(least, most)
	}
	return LoopbackDelay
}

// retryBackoff is the pause after a heartbeat that failed.
func (r *Runner) retryBackoff() time.Duration {
	return r.world.Between(50*time.Millisecond, 300*time.Millisecond)
}

// report is the runner's heartbeat as of now.
func (r *Runner) report() *protocol.Heartbeat {
	beat := &protocol.Heartbeat{
		Instance: r.incarnation.Instance, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: "v1", Slots: 8,
		State: protocol.Ready, Capacity: r.Capacity, Labels: []string{r.Kind, r.Rack}, Sequence: r.sequence,
		ClockMs: r.clockMs(),
	}
	if r.draining {
		beat.State = protocol.Draining
		beat.RemainingMs = max(0, r.leavesAt-r.world.now).Milliseconds()
	}
	if !r.Invoked {
		beat.Active, beat.Finished = r.lists()
	}
	return beat
}

// lists are what runs, and the ends that are not taken note of.
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

// apply carries out the answer to a heartbeat that was sent at a time.
func (r *Runner) apply(orders *protocol.Orders, sent time.Duration, state string) {
	life := r.incarnation
	life.Heartbeats++
	if state == protocol.Draining && life.DrainAcknowledged == Never {
		life.DrainAcknowledged = r.world.now
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

func (r *Runner) startAll(orders *protocol.Orders, sent time.Duration) {
	if orders.HoldMs <= 0 {
		return
	}
	for i := range orders.Start {
		r.startOrdered(&orders.Start[i], sent)
	}
}

// acknowledgeEnds forgets the ends up to lastSeen.
func (r *Runner) acknowledgeEnds(lastSeen uint64) {
	kept := 0
	for kept < len(r.finished) && r.finished[kept].row.N <= lastSeen {
		end := &r.finished[kept]
		if end.record != nil {
			end.record.Acknowledged = r.world.now
			end.record.LapsedBeforeAck = len(r.incarnation.LeaseExpiries) > end.leaseExpiries
		}
		kept++
	}
	r.finished = r.finished[kept:]
}

// extendLease holds everything for a time on the runner's own clock, counted from when the heartbeat was sent.
func (r *Runner) extendLease(sent, hold time.Duration) {
	hold = min(hold, r.groundTruth.History.Bounds.MaxLease)
	until := sent + time.Duration(float64(hold)/r.ClockRate)
	if until <= r.leaseExpiry {
		return
	}
	r.leaseExpiry = until
	r.leaseTimer.Stop()
	life := r.incarnation
	r.leaseTimer = r.world.At(until, func() {
		if r.incarnation == life {
			r.expireLease()
		}
	})
}

// expireLease kills everything: the hold is over.
func (r *Runner) expireLease() {
	r.incarnation.LeaseExpiries = append(r.incarnation.LeaseExpiries, r.world.now)
	for len(r.active) > 0 {
		r.endRun(r.active[0], protocol.EndLapsed)
	}
}
