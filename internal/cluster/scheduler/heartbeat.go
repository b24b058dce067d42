package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Heartbeat takes a runner's report. The reply comes within Options.AnswerAfter.
func (o *Owner) Heartbeat(now time.Duration, beat *protocol.Heartbeat, reply func(*protocol.Orders, error)) {
	if !o.leading {
		reply(nil, errNotLeader)
		return
	}
	if beat.FenceOnly {
		o.tellFence(now, reply)
		return
	}
	if _, over := o.retired[beat.Instance]; over {
		reply(nil, failure.New(failure.Gone, "this incarnation of the runner is over"))
		return
	}
	r := o.runners[beat.Instance]
	if r == nil && o.placeTaken(now, beat) {
		reply(nil, failure.New(failure.Conflict, "another incarnation was heard from this address a moment ago"))
		return
	}
	if r == nil {
		r = o.newRunner(beat.Instance, now)
		r.holdEnd = now
		o.runners[beat.Instance] = r
		o.dirty = true
	}
	if r.reported && beat.Sequence <= r.sequence {
		reply(nil, failure.New(failure.Conflict, "a newer heartbeat of this runner has come"))
		return
	}
	r.answer(nil, failure.New(failure.Conflict, "a newer heartbeat of this runner has come"))
	o.takeReport(now, r, beat)
	o.takePlace(now, r)
	o.takeFinished(now, r)
	o.takeActive(now, r)
	o.takeRejected(r)
	o.withdraw(now, r)
	o.watch(now, r)
	r.reply = reply
	r.replyDue = now + o.options.AnswerAfter
}

// tellFence answers with the fence token alone.
func (o *Owner) tellFence(now time.Duration, reply func(*protocol.Orders, error)) {
	if !o.recentlyConfirmed(now) {
		reply(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	reply(&protocol.Orders{FenceToken: o.term}, nil)
}

func (o *Owner) takeReport(now time.Duration, r *runner, beat *protocol.Heartbeat) {
	if !r.reported || r.report.State != beat.State || r.report.Capacity != beat.Capacity {
		o.dirty = true
	}
	r.report = *beat
	r.reported = true
	r.sequence = beat.Sequence
	r.heardAt = now
	if beat.State == protocol.RunnerDraining {
		r.draining = true
		r.leaving = now + time.Duration(beat.RemainingMs)*time.Millisecond
	}
}

// Deregister takes a runner's word that it ends. It is acknowledged once it is committed: a runner does not say it again,
// and a successor would go on giving it work. What runs there may go on until the runner's hold is over, since some
// runners serve on for seconds, and an acknowledgement may be lost; a hold is not given any more.
func (o *Owner) Deregister(instance string, reply func(err error)) {
	if !o.leading {
		reply(errNotLeader)
		return
	}
	if r := o.runners[instance]; r != nil {
		r.depart()
	}
	o.next.Departures = append(o.next.Departures, instance)
	o.waiting.departures = append(o.waiting.departures, reply)
}
