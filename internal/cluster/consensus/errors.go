package consensus

import "github.com/pkg/errors"

// The reasons why a call is refused. They may be wrapped: compare with errors.Is.
var (
	// ErrNotLeader is returned by a member that does not lead the group, or is transferring its leadership.
	ErrNotLeader = errors.New("not the leader of this group")
	// ErrNotReady is returned by a leader that has not committed an entry of its own term yet.
	ErrNotReady = errors.New("the leader has not committed an entry of its term yet")
	// ErrChangePending is returned while an earlier change of the membership is under way: its entry, or the final one of a
	// joint change, is not committed yet.
	ErrChangePending = errors.New("a change of the membership is not committed yet")
	// ErrChangeRefused is returned for a membership that is not well formed or equals the present one.
	ErrChangeRefused = errors.New("the membership is not well formed or does not differ from the present one")
	// ErrUnknownMember is returned for a transferee that is not another voter, or is leaving.
	ErrUnknownMember = errors.New("not another voter of this group")
)
