package consensus

import (
	"slices"
	"time"
)

// maxStackVoters is the number of voters up to which reachedByConfig computes on the stack, without allocating.
const maxStackVoters = 16

// configSet is the set of configurations in which a member votes. A membership that is not joint has a single configuration,
// which is both outgoing and incoming.
type configSet uint8

const (
	outgoingConfig configSet = 1 << iota // the voters before a joint change
	incomingConfig                       // the voters after it
	bothConfigs    = outgoingConfig | incomingConfig
)

// votesIn returns the configurations in which a member votes.
func (m Member) votesIn() configSet {
	if m.Learner {
		return 0
	}
	switch m.Transition {
	case TransitionAdded:
		return incomingConfig
	case TransitionRemoved, TransitionDemoted:
		return outgoingConfig
	default:
		return bothConfigs
	}
}

// IsJoint reports whether a membership is joint: any of its members has a Transition.
func IsJoint(members []Member) bool {
	for _, member := range members {
		if member.Transition != TransitionNone {
			return true
		}
	}
	return false
}

// HasQuorum reports whether agrees returns true for a quorum of members. A quorum is a majority of the voters or, in a joint
// membership, a majority of the voters of each configuration.
func HasQuorum(members []Member, agrees func(MemberID) bool) bool {
	return hasMajority(members, outgoingConfig, agrees) && hasMajority(members, incomingConfig, agrees)
}

// hasMajority reports whether agrees returns true for a majority of the voters of one configuration.
func hasMajority(members []Member, config configSet, agrees func(MemberID) bool) bool {
	voters, agreeing := 0, 0
	for _, member := range members {
		if member.votesIn()&config == 0 {
			continue
		}
		voters++
		if agrees(member.ID) {
			agreeing++
		}
	}
	return agreeing >= quorumSize(voters)
}

// quorumSize returns the size of the smallest majority of a number of voters.
func quorumSize(voters int) int {
	return voters/2 + 1
}

// isVoter reports whether a member votes in any configuration.
func isVoter(members []Member, id MemberID) bool {
	member, found := findMember(members, id)
	return found && member.votesIn() != 0
}

// countVoters returns how many members vote in any configuration.
func countVoters(members []Member) int {
	voters := 0
	for _, member := range members {
		if member.votesIn() != 0 {
			voters++
		}
	}
	return voters
}

// isOnlyVoter reports whether a member votes and no other does.
func isOnlyVoter(members []Member, id MemberID) bool {
	return isVoter(members, id) && countVoters(members) == 1
}

// reachedByMajority returns the largest v such that a majority of values is at least v, or 0 if there are no values. It
// sorts values in place.
func reachedByMajority[T uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

// reachedByQuorum returns the largest v such that a quorum has values of at least v. own is the value of this leader, and
// valueOf returns the value of another member.
func reachedByQuorum[T uint64 | time.Duration](n *Node, own T, valueOf func(*progress) T) T {
	reached := reachedByConfig(n, incomingConfig, own, valueOf)
	if IsJoint(n.memberships.current()) {
		reached = min(reached, reachedByConfig(n, outgoingConfig, own, valueOf))
	}
	return reached
}

// reachedByConfig returns the largest v such that a majority of one configuration's voters have values of at least v. The
// leader's own value is included only if the leader votes in that configuration.
func reachedByConfig[T uint64 | time.Duration](n *Node, config configSet, own T, valueOf func(*progress) T) T {
	var stack [maxStackVoters]T
	values := stack[:0]
	self, found := findMember(n.memberships.current(), n.config.ID)
	if found && self.votesIn()&config != 0 {
		values = append(values, own)
	}
	for _, peer := range n.leadership.peers {
		if peer.votesIn&config != 0 {
			values = append(values, valueOf(peer))
		}
	}
	return reachedByMajority(values)
}
