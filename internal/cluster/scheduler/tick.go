package scheduler

import "time"

// The longest times between two calls of Tick: while isBusy, while the owner is idle, and while this process isn't the
// leader.
const (
	busyTickInterval     = 20 * time.Millisecond
	idleTickInterval     = 100 * time.Millisecond
	followerTickInterval = time.Second
)

// Tick advances the owner's time: it answers reads that a confirmation covers or that have timed out, and acts on leases
// that have expired. confirmedAt is the time at which the newest confirmation of leadership was requested. timeOfDayMs is
// the newest estimate of the time of day, in ms since 1970, or 0 if there is no new one.
func (o *Owner) Tick(now time.Duration, timeOfDayMs int64, confirmedAt time.Duration) {
	if !o.leadership.isLeader {
		return
	}
	o.leadership.confirmedAt = max(o.leadership.confirmedAt, confirmedAt)
	if timeOfDayMs > 0 {
		o.leadership.setTimeOfDay(now, timeOfDayMs)
	}
	o.reads.complete(now, o.leadership.confirmedAt)
	o.expireLeases(now)
	o.runners.forgetEnded(now)
}

// Flush answers the heartbeats whose replies are due, ordered by instance. A reply is due once it has been delayed for
// Options.MaxReplyDelay. All replies are due if no command is in flight or ready to propose and no round is about to
// place tasks, because then there is no reason to wait. The caller calls Flush after NextCommand.
func (o *Owner) Flush(now time.Duration) {
	if !o.leadership.isLeader {
		return
	}
	roundIsDue := o.roundRequested && o.state.PendingCount() > 0
	nothingToAwait := o.proposals.inFlight == nil && !o.proposals.hasNext() && !roundIsDue
	due := o.runners.sorted(func(r *runner) bool { return r.reply != nil && (nothingToAwait || now >= r.replyDue) })
	for _, instance := range due {
		o.replyToHeartbeat(now, o.runners.current[instance])
	}
}

// NextDeadline returns the latest time at which the caller must call Tick again.
func (o *Owner) NextDeadline(now time.Duration) time.Duration {
	if !o.leadership.isLeader {
		return now + followerTickInterval
	}
	if o.isBusy() {
		return now + busyTickInterval
	}
	due, ok := o.state.NextDueMs()
	if ok {
		wait := time.Duration(due-o.clockMs(now)) * time.Millisecond
		return now + min(max(wait, busyTickInterval), idleTickInterval)
	}
	return now + idleTickInterval
}

// isBusy reports whether a client, a runner or a pending task waits for the owner.
func (o *Owner) isBusy() bool {
	if !o.reads.isEmpty() || o.proposals.inFlight != nil || o.proposals.hasNext() || o.state.PendingCount() > 0 {
		return true
	}
	for _, r := range o.runners.current {
		if r.reply != nil {
			return true
		}
	}
	return false
}

// NeedsConfirmation reports whether a read waits for a new confirmation of leadership.
func (o *Owner) NeedsConfirmation() bool { return o.leadership.isLeader && !o.reads.isEmpty() }
