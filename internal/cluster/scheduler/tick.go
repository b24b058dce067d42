package scheduler

import "time"

const (
	busyTickInterval     = 20 * time.Millisecond
	idleTickInterval     = 100 * time.Millisecond
	followerTickInterval = time.Second
)

// Tick lets time pass: reads are answered, leases expire. confirmedAt is when the newest confirmation of leadership was
// asked for; timeOfDayMs is the newest estimate of the time of day, 0 if there is none.
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

// Flush sends the replies to heartbeats that are due, in the order of their instances: those whose time is over, and all
// if there is nothing that they should wait for. The caller calls it after NextCommand.
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

// NextDeadline returns when Tick is to be called next at the latest.
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

// isBusy reports whether someone waits for what the owner does next.
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

// NeedsConfirmation reports whether some read waits for a new confirmation of leadership.
func (o *Owner) NeedsConfirmation() bool { return o.leadership.isLeader && !o.reads.isEmpty() }
