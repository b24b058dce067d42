package replica

import "time"

const (
	// The loop wakes up at multiples of timerGranularity, so that timers of several groups that are due at about the same
	// time need only one step.
	timerGranularity = 20 * time.Millisecond
	// minSleep is how long the loop sleeps at least between two steps, unless an input wakes it.
	minSleep = 10 * time.Millisecond
	// maintainInterval is the time after which maintain reviews membership, leadership and the size of the log again.
	maintainInterval = 100 * time.Millisecond
)

// step is one pass of the loop: it handles all inputs, ticks the groups, sends their messages, and gives the disk its
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

// advance sets now, the time of this step. Two rules hold:
//
//   - All inputs of the step arrived by now, since the caller has taken them before it calls advance. This holds even if
//     the process is frozen in between. Times that members derive from now are therefore not wrong by the length of a
//     freeze: the start of a lease that begins with a confirmation of leadership, and the time that a new leader waits
//     for the leases of the leader before it.
//   - now is greater in each step than in the step before, even while the clock stands still. So a round of heartbeats
//     that this step sends has a later time than every round before it.
func (e *Engine) advance() {
	e.now = max(e.options.Clock.Since(e.started), e.now+1)
}

// handleInputs handles the envelopes and functions that were taken from the inbox. It keeps the slices for reuse.
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

// handleEnvelope handles the content of an envelope. A process that is quiesced, see decommission, handles approvals only.
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
		// The message may be for a member that had this address before and lost its disk. Only its ID tells them apart.
		if g == nil || message.To != e.self.ID {
			continue
		}
		g.node.Step(*message, e.now)
		if g.isLearnerResponse(message) {
			e.maintainAt = e.now // the learner may have caught up, so that it can become a voter
		}
	}
	for i := range envelope.Joins {
		e.handleJoin(&envelope.Joins[i])
	}
	for i := range envelope.Leaves {
		e.handleDecommissionRequest(envelope.From, &envelope.Leaves[i])
	}
}

// processOutputs carries out the outputs of all nodes and updates the groups' leadership. It repeats this until no node has
// output and no leadership changes, since applying an output may cause further output in any group.
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

// maintain does the work that is not needed in every step. It runs every maintainInterval, and when maintainAt is set to
// an earlier time.
func (e *Engine) maintain() {
	for _, g := range e.groups {
		g.maintain()
	}
	e.writer.probe()
	e.requestJoins()
	e.transferLeaderships()
	e.compactLogs()
}

// maintain fails requests for a digest that have timed out. At the leader it also sends snapshots to members that need
// one, and reviews the membership.
func (g *group) maintain() {
	g.resolveDigests()
	if g.engine.avoidsLeadership() { // this member may campaign once there has been no leader for a while, see mayCampaign
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
	if !g.node.Status().IsLeader {
		return
	}
	g.sendSnapshots()
	g.reviewMembership()
}

// untilNextStep returns how long the loop may sleep if no input wakes it.
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
