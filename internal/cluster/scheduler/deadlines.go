package scheduler

import (
	"slices"
	"time"
)

// Tick lets time pass: confirmations that came, replies that are due, holds that are over.
func (o *Owner) Tick(now time.Duration, timeOfDayMs int64, confirmedAt time.Duration) {
	if !o.leading {
		return
	}
	o.confirmedAt = max(o.confirmedAt, confirmedAt)
	if timeOfDayMs > 0 {
		o.setTimeOfDay(now, timeOfDayMs)
	}
	o.endReads(now)
	o.expireHolds(now)
	o.forgetRetired(now)
}

// Flush sends the replies to heartbeats that are due, in the order of their instances. The shell calls it after Take.
func (o *Owner) Flush(now time.Duration) {
	if !o.leading {
		return
	}
	roundIsDue := o.dirty && o.state.PendingCount() > 0
	settled := o.inFlight == nil && !o.hasNext() && !roundIsDue
	due := o.instances(func(r *runner) bool { return r.reply != nil && (settled || now >= r.replyDue) })
	for _, instance := range due {
		o.answer(now, o.runners[instance])
	}
}

// instances returns the instances of the runners of a kind, sorted: what is done with several at once is done in the same
// order each time.
func (o *Owner) instances(wanted func(r *runner) bool) []string {
	var found []string
	for instance, r := range o.runners {
		if wanted(r) {
			found = append(found, instance)
		}
	}
	slices.Sort(found)
	return found
}

const (
	busyTick = 20 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// NextDeadline is when Tick is to be called next at the latest.
func (o *Owner) NextDeadline(now time.Duration) time.Duration {
	if !o.leading {
		return now + time.Second
	}
	if len(o.reads) > 0 || o.inFlight != nil || o.hasNext() {
		return now + busyTick
	}
	if o.state.PendingCount() > 0 {
		return now + busyTick
	}
	for _, r := range o.runners {
		if r.reply != nil {
			return now + busyTick
		}
	}
	due, ok := o.state.NextDueMs()
	if ok {
		wait := time.Duration(due-o.clockMs(now)) * time.Millisecond
		return now + min(max(wait, busyTick), idleTick)
	}
	return now + idleTick
}

// NeedsConfirmation tells that some read waits for leadership to be confirmed anew.
func (o *Owner) NeedsConfirmation() bool { return o.leading && len(o.reads) > 0 }
