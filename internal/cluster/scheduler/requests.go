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

// Submit submits a job. The reply comes once it is committed; known is whether it was committed before, which stays true.
// It is refused as failure.Overloaded only by an owner whose leadership was confirmed after the request came: the jobs
// known to an owner that was replaced may have ended long since.
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

// propose adds the submit to the next command, unless it can be answered at once.
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

// isFull reports whether as many jobs have not ended as may be.
func (o *Owner) isFull() bool { return o.state.Counters().Jobs >= o.options.MaxUnfinishedJobs }

// validate returns why a submit is not proposed, or nil. Whether it is invalid depends on nothing but itself; that a newer
// configuration than the one by which it was routed gives its queue another service cannot change any more.
func (o *Owner) validate(submit *jobs.Submit) error {
	if err := jobs.Validate(&submit.Job); err != nil {
		return err
	}
	service, version := o.options.ServiceOf(submit.Queue.Key)
	if version > 0 && submit.Version <= version && service != submit.Queue.Service {
		o.counters.Stale++
		return failure.New(failure.Stale, "a newer configuration gives the queue another service")
	}
	if o.isFull() {
		o.counters.Refused++
		return failure.New(failure.Overloaded, "too many jobs have not ended")
	}
	return nil
}

// Cancel cancels a job. The reply comes once that is committed; for an unknown job it is failure.Gone.
func (o *Owner) Cancel(_ time.Duration, id string, reply func(err error)) {
	if !o.leadership.isLeader {
		reply(errNotLeader)
		return
	}
	o.proposals.addCancel(id, reply)
}

// Fence asks whether the shard has a job, and makes it promise, if it has not, never to accept it by the fence's version
// of the configuration or an older one.
func (o *Owner) Fence(_ time.Duration, fence jobs.Fence, reply func(hasJob bool, err error)) {
	if !o.leadership.isLeader {
		reply(false, errNotLeader)
		return
	}
	if _, known := o.state.StateOf(fence.ID); known {
		reply(true, nil)
		return
	}
	o.proposals.addFence(fence, reply)
}

// Status asks for a job's state. That a job has ended is committed and stays true, so it is answered at once. All else may
// be out of date here, and is answered once leadership was confirmed after the question came.
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

// Pending asks how many jobs of a queue have not ended. It is answered once leadership was confirmed after the question
// came.
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
