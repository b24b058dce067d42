package consensus

import (
	"time"

	"github.com/pkg/errors"
)

// ProposeMembers proposes a new membership. The members must have no Transition.
//
// If at most one voter is added or removed, the leader appends the membership itself to the log: any majorities of two sets
// of voters that differ by one have a member in common (section 4.1). Any number of learners and addresses may change with
// it.
//
// Otherwise the leader appends a joint membership, which needs majorities both of the voters before the change and of the
// voters after it (section 4.3). Once that is committed, this leader or the next one appends the final membership without
// another call. So the replacement of a voter is one change, during which the group tolerates every failure that it
// tolerated before.
//
// Each of these memberships is effective as soon as it is in the log. Until the final membership is committed,
// Status().ChangePending is true and other changes are refused with ErrChangePending. A change has no effect if its first
// entry is truncated.
//
// A leader that is no voter of the new membership remains leader until a quorum without it has committed the membership.
// It then steps down, and asks the voter that has the most entries on disk to campaign.
//
// ProposeMembers returns ErrNotLeader, ErrChangePending, ErrNotReady or ErrChangeRefused.
func (n *Node) ProposeMembers(now time.Duration, members []Member) error {
	n.advanceClock(now)
	if n.role != roleLeader || n.leadership.transferee != None {
		return ErrNotLeader
	}
	if n.changePending() {
		return ErrChangePending
	}
	if !n.isReady() {
		return ErrNotReady
	}
	first, err := FirstStepMembers(n.memberships.current(), members)
	if err != nil {
		return err
	}
	return n.appendMembership(first)
}

// changePending reports whether the current membership is uncommitted or joint.
func (n *Node) changePending() bool {
	return n.memberships.newestIndex() > n.commit || IsJoint(n.memberships.current())
}

// FirstStepMembers returns the membership that ProposeMembers appends to the log for a change from present to next: the joint
// membership of both if their voters differ by more than one, else next itself. It returns ErrChangeRefused if next is not
// well formed or equals present.
func FirstStepMembers(present, next []Member) ([]Member, error) {
	if err := validateMembers(next); err != nil {
		return nil, err
	}
	switch diff := diffMembers(present, next); {
	case diff.members == 0:
		return nil, errors.Wrap(ErrChangeRefused, "the proposed membership equals the current one")
	case diff.voters <= 1:
		return next, nil
	default:
		return jointMembers(present, next), nil
	}
}

// validateMembers returns ErrChangeRefused if a membership is not well formed, or is joint.
func validateMembers(members []Member) error {
	if countVoters(members) == 0 {
		return errors.Wrap(ErrChangeRefused, "the proposed membership has no voter")
	}
	for position, member := range members {
		if member.ID == None {
			return errors.Wrap(ErrChangeRefused, "a proposed member has no ID")
		}
		if _, duplicate := findMember(members[:position], member.ID); duplicate {
			return errors.Wrap(ErrChangeRefused, "two proposed members have the same ID")
		}
		if member.Transition != TransitionNone {
			return errors.Wrap(ErrChangeRefused, "a proposed member has a Transition")
		}
	}
	return nil
}

// memberDiff counts the differences between two memberships.
type memberDiff struct {
	members int // members that are added, removed or changed in any way
	voters  int // members that vote in only one of the two
}

// diffMembers compares two memberships that are not joint. The order of members does not matter.
func diffMembers(present, next []Member) memberDiff {
	var diff memberDiff
	for _, member := range next {
		before, known := findMember(present, member.ID)
		if !known || before != member {
			diff.members++
		}
		if !member.Learner && !isVoter(present, member.ID) {
			diff.voters++
		}
	}
	for _, member := range present {
		if _, stays := findMember(next, member.ID); !stays {
			diff.members++
		}
		if !member.Learner && !isVoter(next, member.ID) {
			diff.voters++
		}
	}
	return diff
}

// jointMembers returns the joint membership for a change from present to next. The voters of present form the outgoing
// configuration, and the voters of next form the incoming configuration. Learners and addresses come from next.
func jointMembers(present, next []Member) []Member {
	joint := make([]Member, 0, len(present)+len(next))
	for _, member := range next {
		votedBefore := isVoter(present, member.ID)
		switch {
		case votedBefore && member.Learner:
			member.Learner = false
			member.Transition = TransitionDemoted
		case !votedBefore && !member.Learner:
			member.Transition = TransitionAdded
		}
		joint = append(joint, member)
	}
	for _, member := range present {
		if _, stays := findMember(next, member.ID); stays || member.Learner {
			continue
		}
		member.Transition = TransitionRemoved
		joint = append(joint, member)
	}
	return joint
}

// FinalMembers returns the membership that replaces a joint one at the end of the change. For a membership that is not joint
// it returns a copy.
func FinalMembers(members []Member) []Member {
	final := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Transition == TransitionRemoved {
			continue
		}
		if member.Transition == TransitionDemoted {
			member.Learner = true
		}
		member.Transition = TransitionNone
		final = append(final, member)
	}
	return final
}

// appendMembership appends a membership to the log, which makes it effective. It sends the entry before it updates peers, so
// that the members that the change removes receive it too.
func (n *Node) appendMembership(members []Member) error {
	data, err := EncodeMembers(members)
	if err != nil {
		return err
	}
	entry := n.appendEntry(EntryMembership, data)
	owned := append([]Member(nil), members...)
	n.memberships = append(n.memberships, membership{index: entry.Index, members: owned})
	n.sendDueAppends()
	n.updatePeers()
	n.leadership.appendsDue = true
	return nil
}

// finishJointChange appends the final membership once the joint membership is committed. An entry of this leader's own term
// must be committed as well: from then on, a member that lacks either entry cannot be elected.
func (n *Node) finishJointChange() {
	members := n.memberships.current()
	if n.role != roleLeader || n.leadership.transferee != None || !IsJoint(members) {
		return
	}
	if n.memberships.newestIndex() > n.commit || n.commit < n.leadership.termStartIndex {
		return
	}
	_ = n.appendMembership(FinalMembers(members)) // it fails only if members can't be encoded, and these have been
}
