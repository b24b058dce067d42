package consensus

import "github.com/pkg/errors"

// The reasons why a Node refuses a call. They may be wrapped: compare with errors.Is.
var (
	// ErrNotLeader is returned by a member that does not lead the group, or is transferring its leadership.
	ErrNotLeader = errors.New("this member does not lead the group, or is transferring its leadership")
	// ErrNotReady is returned by a leader that has not committed an entry of its own term yet.
	ErrNotReady = errors.New("this leader has not committed an entry of its own term yet")
	// ErrChangePending is returned while an earlier change of the membership is under way: its entry is not committed yet or,
	// if the change is joint, the entry of its final membership.
	ErrChangePending = errors.New("an earlier change of the membership is not committed yet")
	// ErrChangeRefused is returned for a membership that is not well formed or equals the current one.
	ErrChangeRefused = errors.New("the proposed membership is not well formed or does not differ from the current one")
	// ErrUnknownMember is returned for the target of a leadership transfer that is not another voter, or that loses its vote
	// in the joint change under way.
	ErrUnknownMember = errors.New("the target of the leadership transfer is not another voter of this group, or loses its vote")
)
