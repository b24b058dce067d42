package replica

import "time"

const (
	// timerGranularity is what the loop's wake-ups are rounded up to, so that the timers of several groups share one.
	timerGranularity = 20 * time.Millisecond
	// minSleep is the shortest sleep of the loop.
	minSleep = 10 * time.Millisecond
	// maintainInterval is how often membership, leadership and the size of the log are reviewed.
	maintainInterval = 100 * time.Millisecond
)

// step is one pass of the loop: it takes all inputs, ticks the groups, sends their messages and gives the disk its
// next write.
func (e *Engine) step() {
	envelopes, functions := e.inbox.take(e.spareEnvelopes[:0], e.spareFunctions[:0])
	e.advance()
	e.handleInputs(envelopes, functions)
	for _, g := range e.groups {
		if g.node.NextDeadline() <= e.now {
			g.node.Tick(e.now)
		}
	}
	e.writer.checkWriteTime()
	e.processOutputs()
	if e.now >= e.maintainAt {
		e.maintainAt = e.now + maintainInterval
		e.maintain()
		e.processOutputs()
	}
	for _, g := range e.groups {
		g.resolveConfirmations()
	}
	e.processOutputs()
	e.outbox.flush()
	e.writer.submit()
}

// advance reads the time of this step. It must be called after the step's inputs were taken: then each of them arrived
// by that time, however long the process was frozen before or after. So neither a lease that starts at a leadership
// confirmation and is granted in the answer to a heartbeat of this step, nor the wait for another leader's leases
// after an election in this step, gets too long or too short by a freeze. The time always advances: what is sent in a
// step is newer than everything sent before.
func (e *Engine) advance() {
	e.now = max(e.options.Clock.Since(e.started), e.now+1)
}

// handleInputs handles what was taken from the inbox and recycles its slices.
func (e *Engine) handleInputs(envelopes []*Envelope, functions []func()) {
	for i, envelope := range envelopes {
		e.handleEnvelope(envelope)
		envelopes[i] = nil
	}
	for i, f := range functions {
		if f != nil {
			f()
		}
		functions[i] = nil
	}
	e.spareEnvelopes, e.spareFunctions = envelopes, functions
}

// handleEnvelope passes an envelope's content on to the groups.
func (e *Engine) handleEnvelope(envelope *Envelope) {
	if envelope.From == e.self.ID {
		return
	}
	e.peers.recordContact(envelope, e.now)
	for i := range envelope.Releases {
		e.handleApproval(&envelope.Releases[i])
	}
	if e.decommission.phase == quiesced {
		return
	}
	for i := range envelope.Messages {
		message := &envelope.Messages[i]
		g := e.byID[message.Group]
		// A message to an identity that was lost with its disk is not for the process that replaced it at the address.
		if g == nil || message.To != e.self.ID {
			continue
		}
		g.node.Step(*message, e.now)
		if g.awaitsLearner(message) {
			e.maintainAt = e.now
		}
	}
	for i := range envelope.Joins {
		e.handleJoin(&envelope.Joins[i])
	}
	for i := range envelope.Leaves {
		e.handleDecommissionRequest(envelope.From, &envelope.Leaves[i])
	}
}

// processOutputs applies the outputs of all groups until none has any left.
func (e *Engine) processOutputs() {
	for changed := true; changed; {
		changed = false
		for _, g := range e.groups {
			if g.node.HasOutput() {
				changed = true
				g.applyOutput(g.node.Output())
			}
			if g.updateLeadership() {
				changed = true
			}
		}
	}
}

// maintain does what is not needed in every step.
func (e *Engine) maintain() {
	for _, g := range e.groups {
		g.maintain()
	}
	e.writer.probe()
	e.requestJoins()
	e.transferLeaderships()
	e.compactLogs()
}

// maintain resolves digests that timed out, and reviews snapshots and membership as a leader.
func (g *group) maintain() {
	g.resolveDigests()
	if g.engine.avoidsLeadership() { // by now there may have been no leader for long enough to campaign all the same
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
	if !g.node.Status().IsLeader {
		return
	}
	g.sendSnapshots()
	g.reviewMembership()
}

// untilNextStep returns how long the loop may sleep if nothing wakes it.
func (e *Engine) untilNextStep() time.Duration {
	next := min(e.maintainAt, e.writer.deadline())
	for _, g := range e.groups {
		next = min(next, g.node.NextDeadline(), g.confirmationDeadline())
	}
	if next <= e.now {
		return timerGranularity
	}
	next = (next + timerGranularity - 1) / timerGranularity * timerGranularity
	return max(next-e.now, minSleep)
}
