package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var errNewerHeartbeat = failure.New(failure.Conflict, "a newer heartbeat of this runner has come")

// Heartbeat takes a runner's report. The reply comes within Options.MaxReplyDelay, by Flush. The owner keeps the
// heartbeat's lists and sorts the finished runs: the caller must not use them afterwards.
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
		reply(nil, failure.New(failure.Conflict, "another incarnation at this address reported a moment ago"))
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
	o.takeReport(now, r, heartbeat)
	o.takeAddress(now, r)
	o.takeFinished(now, r)
	o.takeActive(now, r)
	o.takeRejected(r)
	o.resolveUnlisted(now, r)
	o.stopStalledOrDraining(now, r)
	r.reply = reply
	r.replyDue = now + o.options.MaxReplyDelay
}

// replyFencingToken answers with the fencing token alone.
func (o *Owner) replyFencingToken(now time.Duration, reply func(*protocol.Orders, error)) {
	if !o.leadership.isConfirmed(now) {
		reply(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	reply(&protocol.Orders{FenceToken: o.leadership.term}, nil)
}

// takeReport replaces the runner's report by a newer one.
func (o *Owner) takeReport(now time.Duration, r *runner, heartbeat *protocol.Heartbeat) {
	if !r.hasReported || r.report.State != heartbeat.State || r.report.Capacity != heartbeat.Capacity {
		o.roundRequested = true
	}
	r.report = *heartbeat
	r.hasReported = true
	r.lastContact = now
	if heartbeat.State == protocol.RunnerDraining {
		r.isDraining = true
		r.drainsUntil = now + time.Duration(heartbeat.RemainingMs)*time.Millisecond
	}
}

// Deregister records that a runner is about to end. It is acknowledged once it is committed: a runner does not repeat it, and a
// successor would go on giving it work. What runs there may go on until the runner's lease is over, since some runners
// serve on for seconds, and an acknowledgement may be lost; no lease is granted any more.
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
