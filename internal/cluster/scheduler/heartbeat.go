package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var errNewerHeartbeat = failure.New(failure.Conflict, "a newer heartbeat of this runner has arrived")

// Heartbeat processes a runner's report. Flush sends the reply, at most Options.MaxReplyDelay later. The owner keeps the
// heartbeat's lists and sorts the finished runs, so the caller must not use them afterwards.
func (o *Owner) Heartbeat(now time.Duration, heartbeat *protocol.Heartbeat, reply func(*protocol.Orders, error)) {
	if !o.leadership.isLeader {
		reply(nil, errNotLeader)
		return
	}
	if heartbeat.FenceOnly {
		o.replyFencingToken(now, reply)
		return
	}
	if _, over := o.runners.ended[heartbeat.Instance]; over {
		reply(nil, errIncarnationOver)
		return
	}
	r := o.runners.current[heartbeat.Instance]
	if r == nil && o.isAddressContested(now, heartbeat) {
		reply(nil, failure.New(failure.Conflict, "another incarnation at this address reported within the last second"))
		return
	}
	if r == nil {
		r = o.newRunner(heartbeat.Instance, now)
		r.leaseExpiry = now
		o.runners.add(r)
		o.roundRequested = true
	}
	if r.hasReported && heartbeat.Sequence <= r.report.Sequence {
		reply(nil, errNewerHeartbeat)
		return
	}
	r.respond(nil, errNewerHeartbeat)
	o.recordReport(now, r, heartbeat)
	o.recordAddress(now, r)
	o.proposeEnds(now, r)
	o.recordActive(now, r)
	o.proposeRejectedLosses(r)
	o.resolveUnlisted(now, r)
	o.stopStalledOrDraining(now, r)
	r.reply = reply
	r.replyDue = now + o.options.MaxReplyDelay
}

// replyFencingToken answers a request for the fencing token. It changes no record of the runner.
func (o *Owner) replyFencingToken(now time.Duration, reply func(*protocol.Orders, error)) {
	if !o.leadership.isConfirmed(now) {
		reply(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	reply(&protocol.Orders{FenceToken: o.leadership.term}, nil)
}

// recordReport replaces the runner's report with a newer one.
func (o *Owner) recordReport(now time.Duration, r *runner, heartbeat *protocol.Heartbeat) {
	if !r.hasReported || r.report.State != heartbeat.State || r.report.Capacity != heartbeat.Capacity {
		o.roundRequested = true
	}
	r.report = *heartbeat
	r.hasReported = true
	r.lastContact = now
	if heartbeat.State == protocol.RunnerDraining {
		r.isDraining = true
		r.drainDeadline = now + time.Duration(heartbeat.RemainingMs)*time.Millisecond
	}
}

// Deregister records that a runner is about to end. The reply comes after the deregistration is committed: a runner
// doesn't repeat it, so a new owner that didn't know of it would give the runner work. The owner grants the runner no
// further lease. The runner's runs may continue until its last lease expires, because some runners keep running for
// seconds after they have deregistered, and because the acknowledgement may be lost.
func (o *Owner) Deregister(instance string, reply func(err error)) {
	if !o.leadership.isLeader {
		reply(errNotLeader)
		return
	}
	if r := o.runners.current[instance]; r != nil {
		r.markDeregistered()
	}
	o.proposals.addDeparture(instance, reply)
}
