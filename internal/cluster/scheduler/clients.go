package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
)

// waitingReplies are the replies owed once a command is applied, in the order of its parts.
type waitingReplies struct {
	submits []func(known bool, err error)
	cancels []func(err error)
	fences  []func(hasJob bool, err error)
	// departures are of runners that have said that they end
	departures []func(err error)
}

func (w *waitingReplies) succeed(effects *jobs.Effects) {
	for i, reply := range w.submits {
		replySubmit(reply, effects.Submits[i])
	}
	for i, reply := range w.cancels {
		if effects.Cancels[i] {
			reply(nil)
			continue
		}
		reply(errGone)
	}
	for i, reply := range w.fences {
		reply(effects.Fences[i], nil)
	}
	for _, reply := range w.departures {
		reply(nil)
	}
}

func replySubmit(reply func(bool, error), effect jobs.SubmitEffect) {
	switch effect {
	case jobs.Fenced:
		reply(false, failure.New(failure.Moved, "the queue belongs to another shard now"))
	case jobs.Duplicate:
		reply(true, nil)
	case jobs.Rejected:
		reply(false, failure.New(failure.Invalid, "the job cannot be carried out as it is"))
	default:
		reply(false, nil)
	}
}

func (w *waitingReplies) fail(err error) {
	for _, reply := range w.submits {
		reply(false, err)
	}
	for _, reply := range w.cancels {
		reply(err)
	}
	for _, reply := range w.fences {
		reply(false, err)
	}
	for _, reply := range w.departures {
		reply(err)
	}
}

var (
	errGone      = failure.New(failure.Gone, "no such job")
	errNotLeader = failure.New(failure.NotLeader, "this process does not own the shard")
)

// read is a question whose answer needs leadership confirmed by a round that left after it came.
type read struct {
	asked time.Duration
	until time.Duration
	reply func(err error)
}

// Submit hands a job in. The reply comes once it is committed; known tells that it was before, which stays true. That
// there is no room is only told by an owner whose leadership was confirmed after the hand-in came: the jobs of one that
// was replaced may have ended long since.
func (o *Owner) Submit(now time.Duration, submit jobs.Submit, reply func(known bool, err error)) {
	if !o.leading {
		reply(false, errNotLeader)
		return
	}
	if o.full() {
		o.readLater(now, func(err error) {
			if err != nil {
				reply(false, err)
				return
			}
			o.submit(submit, reply)
		})
		return
	}
	o.submit(submit, reply)
}

// submit takes a hand-in, or refuses it for what is true for ever, or for want of room.
func (o *Owner) submit(submit jobs.Submit, reply func(known bool, err error)) {
	if _, known := o.state.StateOf(submit.ID); known {
		reply(true, nil)
		return
	}
	if err := o.acceptable(&submit); err != nil {
		reply(false, err)
		return
	}
	o.next.Submits = append(o.next.Submits, submit)
	o.waiting.submits = append(o.waiting.submits, reply)
}

// full tells whether as many jobs are pending as may be.
func (o *Owner) full() bool { return o.state.Counters().Jobs >= o.options.MaxPending }

// acceptable tells why a hand-in is not proposed. That it is invalid depends on nothing but itself; that a newer
// configuration than the one it was picked by gives its queue another service cannot change any more.
func (o *Owner) acceptable(submit *jobs.Submit) error {
	if err := o.state.Validate(&submit.Job); err != nil {
		return err
	}
	service, version := o.options.ServiceOf(submit.Queue.Key)
	if version > 0 && submit.Version <= version && service != submit.Queue.Service {
		o.counters.Stale++
		return failure.New(failure.Stale, "a newer configuration gives the queue another service")
	}
	if o.full() {
		o.counters.Refused++
		return failure.New(failure.Overloaded, "too many jobs have not ended")
	}
	return nil
}

// Cancel cancels a job. The reply comes once that is committed; an unknown job is Gone, confirmed.
func (o *Owner) Cancel(now time.Duration, id string, reply func(err error)) {
	if !o.leading {
		reply(errNotLeader)
		return
	}
	o.next.Cancels = append(o.next.Cancels, id)
	o.waiting.cancels = append(o.waiting.cancels, reply)
}

// Fence asks whether the shard has a job, and makes it promise, if it has not, never to take it by the fence's version
// of the configuration or an older one.
func (o *Owner) Fence(now time.Duration, fence jobs.Fence, reply func(hasJob bool, err error)) {
	if !o.leading {
		reply(false, errNotLeader)
		return
	}
	if _, known := o.state.StateOf(fence.ID); known {
		reply(true, nil)
		return
	}
	o.next.Fences = append(o.next.Fences, fence)
	o.waiting.fences = append(o.waiting.fences, reply)
}

// Status asks for a job's state. That a job has ended is committed and told at once, since it stays true. All else may
// be out of date here, and is told once leadership was confirmed after the question came.
func (o *Owner) Status(now time.Duration, id string, reply func(state string, err error)) {
	if !o.leading {
		reply("", errNotLeader)
		return
	}
	if state, _ := o.state.StateOf(id); state.HasEnded() {
		reply(string(state), nil)
		return
	}
	o.readLater(now, func(err error) {
		if err != nil {
			reply("", err)
			return
		}
		state, known := o.state.StateOf(id)
		if !known {
			reply("", errGone)
			return
		}
		reply(string(state), nil)
	})
}

// Pending asks how many jobs of a queue have not ended. It is told once leadership was confirmed after the question
// came.
func (o *Owner) Pending(now time.Duration, queue string, reply func(pending int, err error)) {
	if !o.leading {
		reply(0, errNotLeader)
		return
	}
	o.readLater(now, func(err error) {
		if err != nil {
			reply(0, err)
			return
		}
		reply(o.state.UnfinishedJobs(queue), nil)
	})
}

// recentlyConfirmed tells whether heartbeats may be answered. What an owner that was replaced since then answers to
// one does no harm: its holds count from the confirmation, its starts and ends are committed, and a runner that has
// heard of its successor refuses its fence token.
func (o *Owner) recentlyConfirmed(now time.Duration) bool { return now-o.confirmedAt < confirmationAge }

func (o *Owner) readLater(now time.Duration, reply func(err error)) {
	o.reads = append(o.reads, read{asked: now, until: now + readWait, reply: reply})
}

// endReads answers the reads that a confirmation covers, and gives up those that waited too long. A confirmation that
// was asked for at the time of the turn that took a read left after the read came, see replica.Engine.Confirm.
func (o *Owner) endReads(now time.Duration) {
	var left, done, late []read
	for _, r := range o.reads {
		switch {
		case o.confirmedAt >= r.asked:
			done = append(done, r)
		case now >= r.until:
			late = append(late, r)
		default:
			left = append(left, r)
		}
	}
	o.reads = left
	for _, r := range done {
		r.reply(nil)
	}
	for _, r := range late {
		r.reply(failure.New(failure.NotLeader, "leadership could not be confirmed"))
	}
}
