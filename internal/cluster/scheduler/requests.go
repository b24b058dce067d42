package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var (
	errNoSuchJob = failure.New(failure.Gone, "no such job")
	errNotLeader = failure.New(failure.NotLeader, "this process does not own the shard")
)

// Submit submits a job. The reply comes after the job is committed; known reports whether an earlier request had
// committed it.
//
// The owner refuses a job as failure.Overloaded only after its leadership was confirmed by a confirmation requested
// after the submit. Otherwise an owner that has been replaced could refuse a job because of jobs that have ended since.
func (o *Owner) Submit(now time.Duration, submit jobs.Submit, reply func(known bool, err error)) {
	if !o.leadership.isLeader {
		reply(false, errNotLeader)
		return
	}
	if o.isFull() {
		o.reads.add(now, func(err error) {
			if err != nil {
				reply(false, err)
				return
			}
			o.propose(submit, reply)
		})
		return
	}
	o.propose(submit, reply)
}

// propose adds the submit to the next command, or replies at once if the job is known or not accepted.
func (o *Owner) propose(submit jobs.Submit, reply func(known bool, err error)) {
	if _, known := o.state.StateOf(submit.ID); known {
		reply(true, nil)
		return
	}
	if err := o.validate(&submit); err != nil {
		reply(false, err)
		return
	}
	o.proposals.addSubmit(submit, reply)
}

// isFull reports whether the number of jobs that have not ended has reached its limit.
func (o *Owner) isFull() bool { return o.state.Counters().Jobs >= o.options.MaxUnfinishedJobs }

// validate returns an error if a submit must not be proposed. The errors Invalid and Stale need no confirmation of
// leadership, because they never cease to hold. Invalid depends on the submit alone. Stale means that a known
// configuration, at least as new as the one that routed the submit, has assigned its queue to another service.
func (o *Owner) validate(submit *jobs.Submit) error {
	if err := jobs.Validate(&submit.Job); err != nil {
		return err
	}
	service, version := o.options.ServiceOf(submit.Queue.Key)
	if version > 0 && submit.Version <= version && service != submit.Queue.Service {
		o.counters.Stale++
		return failure.New(failure.Stale, "a newer configuration assigns the queue to another service")
	}
	if o.isFull() {
		o.counters.Refused++
		return failure.New(failure.Overloaded, "too many jobs have not ended")
	}
	return nil
}

// Cancel cancels a job. The reply comes after the cancellation is committed. It is failure.Gone for an unknown job, whose id
// is withdrawn in the same command if that is possible. Frontends ask for the withdrawal by a fence as well; frontends of
// earlier releases don't.
func (o *Owner) Cancel(_ time.Duration, id string, reply func(err error)) {
	if !o.leadership.isLeader {
		reply(errNotLeader)
		return
	}
	o.proposals.addCancel(id, reply)
	if _, known := o.state.StateOf(id); !known && !o.isWithdrawn(id) && o.checkWithdrawal(id) == nil {
		o.proposals.addWithdrawal(id, func(bool, error) {})
	}
}

// Fence asks whether the shard has a job. If it doesn't, the shard commits a promise never to accept the job from a submit
// that was routed by the fence's version of the configuration or an older one. A fence with protocol.EveryVersion withdraws
// the id. A withdrawn id needs no other fence: the owner only confirms its leadership, and adds nothing to the log.
func (o *Owner) Fence(now time.Duration, fence jobs.Fence, reply func(hasJob bool, err error)) {
	if !o.leadership.isLeader {
		reply(false, errNotLeader)
		return
	}
	if _, known := o.state.StateOf(fence.ID); known {
		reply(true, nil)
		return
	}
	switch {
	case o.isWithdrawn(fence.ID):
		o.reads.add(now, func(err error) { reply(false, err) })
	case fence.Version == protocol.EveryVersion:
		o.withdraw(fence.ID, reply)
	default:
		o.proposals.addFence(fence, reply)
	}
}

// Status asks for a job's state. A final state is committed and never changes, so the owner returns it at once. Any other
// state may be out of date on an owner that was replaced, so the reply waits for a confirmation of leadership that was
// requested after the call.
func (o *Owner) Status(now time.Duration, id string, reply func(state protocol.JobState, err error)) {
	if !o.leadership.isLeader {
		reply("", errNotLeader)
		return
	}
	if state, _ := o.state.StateOf(id); protocol.JobEnded(state) {
		reply(state, nil)
		return
	}
	o.reads.add(now, func(err error) {
		if err != nil {
			reply("", err)
			return
		}
		state, known := o.state.StateOf(id)
		if !known {
			reply("", errNoSuchJob)
			return
		}
		reply(state, nil)
	})
}

// Pending asks how many jobs of a queue have not ended. The reply waits for a confirmation of leadership that was requested
// after the call.
func (o *Owner) Pending(now time.Duration, queue string, reply func(pending int, err error)) {
	if !o.leadership.isLeader {
		reply(0, errNotLeader)
		return
	}
	o.reads.add(now, func(err error) {
		if err != nil {
			reply(0, err)
			return
		}
		reply(o.state.UnfinishedJobs(queue), nil)
	})
}
