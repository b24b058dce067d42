package scheduler

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	// leaseClockFactor is by how much longer than granted a lease may last, since a runner's clock may be slow, with some
	// margin.
	leaseClockFactor = 1.03
	// unresponsiveRetention is how long an unresponsive runner is kept after its lease, so that one which has deregistered
	// and still sends heartbeats is not taken for a new one.
	unresponsiveRetention = 30 * time.Second
)

// maxLeaseTime returns the longest real time that a lease granted now may last, on the slowest clock.
func (o *Owner) maxLeaseTime() time.Duration {
	return time.Duration(float64(o.options.MaxLease) * leaseClockFactor)
}

// grantLease grants a lease that ends no later than MaxLease after the newest confirmation of leadership was asked for.
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

// expireLeases gives up the runs of unresponsive runners, and of those that have ended, once no lease of theirs may last.
func (o *Owner) expireLeases(now time.Duration) {
	expired := o.runners.sorted(func(r *runner) bool {
		return now >= r.leaseExpiry && (r.hasDeregistered || r.isUnresponsive(now))
	})
	for _, instance := range expired {
		r := o.runners.current[instance]
		o.loseAll(r)
		isForgettable := r.isUnresponsive(now) && now-r.leaseExpiry > unresponsiveRetention && r.reply == nil
		if isForgettable && len(o.state.RunsOn(instance)) == 0 {
			delete(o.runners.current, instance)
		}
	}
}

// AwaitsLeaseExpiry reports whether something was running on a runner that is unresponsive or has ended, and may still
// run since its lease is not over. A successor would wait anew, for the longest lease.
func (o *Owner) AwaitsLeaseExpiry(now time.Duration) bool {
	for instance, r := range o.runners.current {
		awaited := (r.hasDeregistered || r.isUnresponsive(now)) && now < r.leaseExpiry
		if awaited && (len(o.state.RunsOn(instance)) > 0 || len(o.state.LingeringOn(instance)) > 0) {
			return true
		}
	}
	return false
}
