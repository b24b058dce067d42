package scheduler

import (
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
)

// replies are the callbacks of the requests in one command. Each list has the order of the command's list of the same name.
type replies struct {
	submits    []func(known bool, err error)
	cancels    []func(err error)
	fences     []func(hasJob bool, err error)
	departures []func(err error)
}

// succeed replies to the requests of a command that was applied.
func (r *replies) succeed(effects *jobs.Effects) {
	for i, reply := range r.submits {
		replySubmit(reply, effects.Submits[i])
	}
	for i, reply := range r.cancels {
		if effects.Cancels[i] {
			reply(nil)
			continue
		}
		reply(errNoSuchJob)
	}
	for i, reply := range r.fences {
		reply(effects.Fences[i], nil)
	}
	for _, reply := range r.departures {
		reply(nil)
	}
}

func replySubmit(reply func(known bool, err error), effect jobs.SubmitEffect) {
	switch effect {
	case jobs.Fenced:
		reply(false, failure.New(failure.Moved, "the queue now belongs to another shard"))
	case jobs.Withdrawn:
		reply(false, errWithdrawn)
	case jobs.Duplicate:
		reply(true, nil)
	case jobs.Rejected:
		reply(false, failure.New(failure.Invalid, "the shard rejected the job as invalid"))
	default:
		reply(false, nil)
	}
}

// fail replies err to all requests.
func (r *replies) fail(err error) {
	for _, reply := range r.submits {
		reply(false, err)
	}
	for _, reply := range r.cancels {
		reply(err)
	}
	for _, reply := range r.fences {
		reply(false, err)
	}
	for _, reply := range r.departures {
		reply(err)
	}
}
