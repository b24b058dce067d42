package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

// The cancel of an unknown job withdraws the job's id: it is recorded, so that a submission which is still on its way is not
// accepted after the cancel was answered. Clients choose the ids, so the number of records is limited.
const (
	// maxWithdrawnIDs is the number of withdrawn ids in a shard's state from which on the owner refuses to withdraw others.
	maxWithdrawnIDs = 20_000
	// maxWithdrawalsPerCommand bounds the size of a command, so that withdrawals don't delay the submits in it.
	maxWithdrawalsPerCommand = 128
	// submissionLifetime is the longest time for which a submission can be on its way to a shard. Requests and their
	// repetitions end within seconds, so this covers a process or a client that stands still for most of it. A cancel is
	// answered only if the id cannot be accepted for at least this time.
	submissionLifetime = 2 * time.Minute
)

var errWithdrawn = failure.New(failure.Gone, "the job was cancelled before it was accepted")

// isWithdrawn reports whether an id is withdrawn for at least submissionLifetime.
func (o *Owner) isWithdrawn(id string) bool {
	remaining, withdrawn := o.state.Withdrawn(id)
	return withdrawn && remaining >= submissionLifetime
}

// withdraw commits that no submit of the id is accepted from now on, unless the shard has or had the job.
func (o *Owner) withdraw(id string, reply func(hasJob bool, err error)) {
	if err := o.checkWithdrawal(id); err != nil {
		o.counters.WithdrawalsRefused++
		reply(false, err)
		return
	}
	o.proposals.addWithdrawal(id, reply)
}

// checkWithdrawal returns an error if an id can't be withdrawn now.
//
// The id of a forgotten job needs no record while its tombstone is retained. In the last submissionLifetime of that the
// cancel must be repeated: a fence doesn't prolong such a tombstone, and the id can be withdrawn once it has expired.
func (o *Owner) checkWithdrawal(id string) error {
	remaining, forgotten := o.state.Forgotten(id)
	switch {
	case forgotten && remaining < submissionLifetime:
		return failure.New(failure.Unavailable, "the shard is about to forget the ID of an ended job; the cancel can be recorded after that")
	case o.proposals.nextWithdrawals >= maxWithdrawalsPerCommand:
		return failure.New(failure.Overloaded, "too many cancels of unknown jobs arrive at once")
	case o.state.Counters().Withdrawn+o.proposals.nextWithdrawals+o.proposals.inFlightWithdrawals >= maxWithdrawnIDs:
		return failure.New(failure.Overloaded, "too many cancels of unknown jobs are recorded")
	}
	return nil
}
