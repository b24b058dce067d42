package replica

import "time"

const (
	// timerGrid is what the loop's wake-ups are rounded up to, so that timers of several groups share one.
	timerGrid = 20 * time.Millisecond
	// minPause is the shortest sleep of the loop.
	minPause = 10 * time.Millisecond
	// manageInterval is how often membership, leadership and the log's size are looked at.
	manageInterval = 100 * time.Millisecond
)

// turn handles all that waits, lets every group act, and sends what came of it.
func (e *Engine) turn() {
	envelopes, functions := e.inbox.take(e.spareEnvelopes[:0], e.spareFunctions[:0])
	e.advance()
	e.handle(envelopes, functions)
	for _, g := range e.groups {
		if g.node.NextDeadline() <= e.now {
			g.node.Tick(e.now)
		}
	}
	e.writer.check()
	e.drain()
	if e.now >= e.manage {
		e.manage = e.now + manageInterval
		e.superintend()
		e.drain()
	}
	for _, g := range e.groups {
		g.settleConfirms()
	}
	e.drain()
	e.outbox.flush()
	e.writer.submit()
}

// advance reads the turn's time. It is called after the turn's inputs were taken, so that each of them had come by that
// time, however long the process was frozen before or after: a hold that is counted from a confirmation and granted to a
// heartbeat of this turn, or the wait for another's holds that begins with an election of this turn, is never too long
// or too short by a freeze. The time never stands still: what is sent in a turn is newer than all that was sent before.
func (e *Engine) advance() {
	e.now = max(e.options.Clock.Since(e.started), e.now+1)
}

// handle carries out what was taken from the inbox.
func (e *Engine) handle(envelopes []*Envelope, functions []func()) {
	for i, envelope := range envelopes {
		e.open(envelope)
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

// open hands an envelope's content to the groups.
func (e *Engine) open(envelope *Envelope) {
	if envelope.From == e.self.ID {
		return
	}
	e.peers.heard(envelope, e.now)
	for i := range envelope.Releases {
		e.takeRelease(&envelope.Releases[i])
	}
	if e.departure.quiet {
		return
	}
	for i := range envelope.Messages {
		message := &envelope.Messages[i]
		g := e.byID[message.Group]
		// A message for an identity that was lost with its disk is not for the process that came after it.
		if g == nil || message.To != e.self.ID {
			continue
		}
		g.node.Step(*message, e.now)
		if g.awaitsLearner(message) {
			e.manage = e.now
		}
	}
	for i := range envelope.Joins {
		e.takeJoin(&envelope.Joins[i])
	}
	for i := range envelope.Leaves {
		e.takeLeave(envelope.From, &envelope.Leaves[i])
	}
}

// drain carries out what the groups want until none wants anything.
func (e *Engine) drain() {
	for again := true; again; {
		again = false
		for _, g := range e.groups {
			if g.node.HasOutput() {
				again = true
				g.carryOut(g.node.Output())
			}
			if g.watchLeadership() {
				again = true
			}
		}
	}
}

// superintend does what need not be done in every turn.
func (e *Engine) superintend() {
	for _, g := range e.groups {
		g.superintend()
	}
	e.writer.superintend()
	e.askToJoin()
	e.handOver()
	e.keepDiskSmall()
}

// pause is how long the loop may sleep.
func (e *Engine) pause() time.Duration {
	next := min(e.manage, e.writer.deadline())
	for _, g := range e.groups {
		next = min(next, g.node.NextDeadline(), g.confirmDeadline())
	}
	if next <= e.now {
		return timerGrid
	}
	next = (next + timerGrid - 1) / timerGrid * timerGrid
	return max(next-e.now, minPause)
}
