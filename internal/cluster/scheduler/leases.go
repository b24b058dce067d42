package scheduler

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	// leaseClockFactor is the longest real duration of a lease divided by its granted duration. It exceeds 1 because a
	// runner measures the lease with its own clock, which may be slow; it includes a margin.
	leaseClockFactor = 1.03
	// unresponsiveRetention is how long the owner keeps the record of an unresponsive runner after its lease has
	// expired. Without the record, the owner would treat a runner that has deregistered and sends another heartbeat as
	// a new runner, and give it work.
	unresponsiveRetention = 30 * time.Second
)

// maxLeaseTime returns the longest real time that a lease granted now can last, which is on the runner with the slowest
// clock.
func (o *Owner) maxLeaseTime() time.Duration {
	return time.Duration(float64(o.options.MaxLease) * leaseClockFactor)
}

// grantLease grants a lease that ends at most MaxLease after the newest confirmation of leadership was requested. It
// grants no lease to a runner that has deregistered, or if less than a millisecond of that time is left.
func (o *Owner) grantLease(now time.Duration, r *runner, orders *protocol.Orders) {
	if r.hasDeregistered {
		return
	}
	lease := o.options.MaxLease - (now - o.leadership.confirmedAt)
	if lease < time.Millisecond {
		return
	}
	orders.HoldMs = lease.Milliseconds()
	r.leaseExpiry = max(r.leaseExpiry, now+time.Duration(float64(lease)*leaseClockFactor))
}

// expireLeases declares lost the runs of runners that are unresponsive or have deregistered, once every lease of such a
// runner has expired. It then forgets the record of an unresponsive runner without runs after unresponsiveRetention.
func (o *Owner) expireLeases(now time.Duration) {
	expired := o.runners.sorted(func(r *runner) bool {
		return now >= r.leaseExpiry && (r.hasDeregistered || r.isUnresponsive(now))
	})
	for _, instance := range expired {
		r := o.runners.current[instance]
		o.proposeAllLosses(r)
		isForgettable := r.isUnresponsive(now) && now-r.leaseExpiry > unresponsiveRetention && r.reply == nil
		if isForgettable && len(o.state.RunsOn(instance)) == 0 {
			delete(o.runners.current, instance)
		}
	}
}

// AwaitsLeaseExpiry reports whether a runner that is unresponsive or has deregistered may still have runs, because its
// lease hasn't expired. While it returns true the leadership should not be transferred: a new owner doesn't know when the
// lease was granted, and would wait for the longest possible lease from its own election on.
func (o *Owner) AwaitsLeaseExpiry(now time.Duration) bool {
	for instance, r := range o.runners.current {
		mayHaveRuns := (r.hasDeregistered || r.isUnresponsive(now)) && now < r.leaseExpiry
		if mayHaveRuns && (len(o.state.RunsOn(instance)) > 0 || len(o.state.LingeringOn(instance)) > 0) {
			return true
		}
	}
	return false
}
