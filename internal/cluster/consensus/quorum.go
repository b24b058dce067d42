package consensus

import (
	"slices"
	"time"
)

// maxScratch is the number of voters up to which quorums are worked out without allocating.
const maxScratch = 16

// configurations is the set of the configurations in which a member votes. A membership that is not joint has one
// configuration, which counts as the outgoing and as the incoming one.
type configurations uint8

const (
	outgoing configurations = 1 << iota // the voters before a joint change
	incoming                            // the voters after it
	both     = outgoing | incoming
)

// votesIn gives the configurations in which a member votes.
func (m Member) votesIn() configurations {
	if m.Learner {
		return 0
	}
	switch m.Transition {
	case TransitionAdded:
		return incoming
	case TransitionRemoved, TransitionDemoted:
		return outgoing
	default:
		return both
	}
}

// IsJoint tells whether a membership has two configurations.
func IsJoint(members []Member) bool {
	for _, member := range members {
		if member.Transition != TransitionNone {
			return true
		}
	}
	return false
}

// HasQuorum tells whether the members for which something holds decide: they are a majority of the voters, and in a joint
// membership a majority of either configuration.
func HasQuorum(members []Member, holds func(MemberID) bool) bool {
	return hasMajority(members, outgoing, holds) && hasMajority(members, incoming, holds)
}

// hasMajority tells whether something holds for a majority of the voters of one configuration.
func hasMajority(members []Member, configuration configurations, holds func(MemberID) bool) bool {
	voters, held := 0, 0
	for _, member := range members {
		if member.votesIn()&configuration == 0 {
			continue
		}
		voters++
		if holds(member.ID) {
			held++
		}
	}
	return held >= quorumOf(voters)
}

// quorumOf is how many of so many voters decide.
func quorumOf(voters int) int {
	return voters/2 + 1
}

// isVoter tells whether a member votes, be it in one configuration only.
func isVoter(members []Member, id MemberID) bool {
	member, found := findMember(members, id)
	return found && member.votesIn() != 0
}

// countVoters counts the members that vote, be it in one configuration only.
func countVoters(members []Member) int {
	voters := 0
	for _, member := range members {
		if member.votesIn() != 0 {
			voters++
		}
	}
	return voters
}

// isOnlyVoter tells whether a member votes and no other does.
func isOnlyVoter(members []Member, id MemberID) bool {
	return isVoter(members, id) && countVoters(members) == 1
}

// reachedByMajority is the largest value that a majority has reached; values are sorted in place.
func reachedByMajority[T uint64 | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorumOf(len(values))]
}

// reachedByQuorum is the largest value that a quorum has reached, in a joint membership a majority of either
// configuration. `own` is this leader's value.
func reachedByQuorum[T uint64 | time.Duration](n *Node, own T, of func(*progress) T) T {
	members := n.memberships.current()
	reached := reachedByConfiguration(n, incoming, own, of)
	if IsJoint(members) {
		reached = min(reached, reachedByConfiguration(n, outgoing, own, of))
	}
	return reached
}

// reachedByConfiguration is the largest value that a majority of one configuration has reached.
func reachedByConfiguration[T uint64 | time.Duration](n *Node, in configurations, own T, of func(*progress) T) T {
	var held [maxScratch]T
	values := held[:0]
	self, found := findMember(n.memberships.current(), n.config.ID)
	if found && self.votesIn()&in != 0 {
		values = append(values, own)
	}
	for _, peer := range n.leadership.peers {
		if peer.votesIn&in != 0 {
			values = append(values, of(peer))
		}
	}
	return reachedByMajority(values)
}
