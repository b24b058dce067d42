package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	answerTime   = time.Second           // an answer that comes later is dropped
	afterAnEnd   = 50 * time.Millisecond // to the next heartbeat
	mostFinished = 500                   // ends in one heartbeat
)

// beatIn sets the time of the next heartbeat.
func (r *Runner) beatIn(d time.Duration) {
	r.beatTimer.Stop()
	life := r.instance
	r.beatTimer = r.world.After(d, func() {
		if r.instance == life && life != nil {
			r.beat()
		}
	})
}

// beatSoon brings the next heartbeat forward because something ended.
func (r *Runner) beatSoon() {
	if r.out {
		r.early = true
		return
	}
	if !r.beatTimer.Pending() || r.beatTimer.at > r.world.now+afterAnEnd {
		r.beatIn(afterAnEnd)
	}
}

// beat sends a heartbeat.
func (r *Runner) beat() {
	life, sent := r.instance, r.world.now
	r.sequence++
	r.out, r.closeBeat = true, nil
	settled := false
	settle := func(next time.Duration) {
		if settled || r.instance != life {
			return
		}
		settled = true
		r.out = false
		r.giveUp.Stop()
		if r.early {
			r.early = false
			next = min(next, afterAnEnd)
		}
		r.beatIn(next)
	}
	wait := time.Duration(float64(answerTime) / r.ClockRate)
	r.giveUp = r.world.After(wait, func() {
		r.hangUp()
		settle(r.retryPause())
	})
	report := r.report()
	agent := r.Agent()
	if agent == nil {
		r.world.After(time.Millisecond, func() { settle(r.retryPause()) })
		return
	}
	machine, agentLife := r.Machine, r.Machine.life
	r.world.After(r.beatDelay(), func() {
		machine.inLife(agentLife, func() {
			left := agent.Heartbeat(report, func(orders *protocol.Orders, err error) {
				r.world.After(LoopbackDelay, func() {
					if settled || r.instance != life {
						return
					}
					if err != nil {
						settle(r.retryPause())
						return
					}
					next := r.Interval
					if orders.RetryDelayMs > 0 {
						next = time.Duration(orders.RetryDelayMs) * time.Millisecond
					}
					r.obey(orders, sent, report.State)
					settle(next)
				})
			})
			if r.instance == life && r.sequence == report.Sequence {
				r.closeBeat = func() { machine.inLife(agentLife, left) }
			}
		})
	})
}

// hangUp has the agent hear, if a heartbeat is out, that the runner does not wait for its answer.
func (r *Runner) hangUp() {
	if !r.out || r.closeBeat == nil {
		return
	}
	leave := r.closeBeat
	r.closeBeat = nil
	r.world.After(LoopbackDelay, leave)
}

// beatDelay is how long a heartbeat takes to the agent.
func (r *Runner) beatDelay() time.Duration {
	const least, most = 200 * time.Millisecond, 4 * time.Second
	if r.world.Chance(r.lateShare) {
		return r.world.Between(least, most)
	}
	return LoopbackDelay
}

// retryPause is the pause after a heartbeat that failed.
func (r *Runner) retryPause() time.Duration {
	return r.world.Between(50*time.Millisecond, 300*time.Millisecond)
}

// report is the runner's heartbeat as of now.
func (r *Runner) report() *protocol.Heartbeat {
	beat := &protocol.Heartbeat{
		Instance: r.instance.Instance, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: "v1", Slots: 8,
		State: protocol.RunnerReady, Capacity: r.Capacity, Labels: []string{r.Kind, r.Rack}, Sequence: r.sequence,
		ClockMs: r.clockMs(),
	}
	if r.draining {
		beat.State = protocol.RunnerDraining
		beat.RemainingMs = max(0, r.leaves-r.world.now).Milliseconds()
	}
	if !r.Called {
		beat.Active, beat.Finished = r.lists()
	}
	return beat
}

// lists are what runs, and the ends that are not taken note of.
func (r *Runner) lists() (active []protocol.ActiveRun, finished []protocol.FinishedRun) {
	for _, e := range r.active {
		e.refreshSaved(r.world.now)
		active = append(active, protocol.ActiveRun{
			Task: e.record.Text, Run: e.record.Run, Saved: e.saved, Percent: e.percent(r.world.now)})
	}
	for i := range min(len(r.finished), mostFinished) {
		finished = append(finished, r.finished[i].row)
	}
	return active, finished
}

// obey carries out the answer to a heartbeat that was sent at a time.
func (r *Runner) obey(orders *protocol.Orders, sent time.Duration, state string) {
	life := r.instance
	life.Heartbeat++
	if state == protocol.RunnerDraining && life.DrainAck == Never {
		life.DrainAck = r.world.now
	}
	if orders.FenceToken < r.fence {
		return
	}
	r.fence = orders.FenceToken
	r.note(orders.LastSeen)
	if orders.HoldMs > 0 {
		r.hold(sent, time.Duration(orders.HoldMs)*time.Millisecond)
	}
	if r.startFirst {
		r.startAll(orders, sent)
	}
	for _, order := range orders.Stop {
		r.stop(order)
	}
	if !r.startFirst {
		r.startAll(orders, sent)
	}
}

func (r *Runner) startAll(orders *protocol.Orders, sent time.Duration) {
	if orders.HoldMs <= 0 {
		return
	}
	for i := range orders.Start {
		r.start(&orders.Start[i], sent)
	}
}

// note forgets the ends up to lastSeen.
func (r *Runner) note(lastSeen uint64) {
	kept := 0
	for kept < len(r.finished) && r.finished[kept].row.N <= lastSeen {
		end := &r.finished[kept]
		if end.record != nil {
			end.record.Noted = r.world.now
			end.record.NoteLost = len(r.instance.Lapses) > end.lapses
		}
		kept++
	}
	r.finished = r.finished[kept:]
}

// hold holds everything for a time on the runner's own clock, counted from when the heartbeat was sent.
func (r *Runner) hold(sent, hold time.Duration) {
	hold = min(hold, r.plant.Ledger.Bounds.MaxLease)
	until := sent + time.Duration(float64(hold)/r.ClockRate)
	if until <= r.heldUntil {
		return
	}
	r.heldUntil = until
	r.lapse.Stop()
	life := r.instance
	r.lapse = r.world.At(until, func() {
		if r.instance == life {
			r.lapseNow()
		}
	})
}

// lapseNow kills everything: the hold is over.
func (r *Runner) lapseNow() {
	r.instance.Lapses = append(r.instance.Lapses, r.world.now)
	for len(r.active) > 0 {
		r.end(r.active[0], protocol.EndLapsed)
	}
}
