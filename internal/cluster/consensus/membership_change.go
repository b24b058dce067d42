package consensus

import (
	"time"

	"github.com/pkg/errors"
)

// ProposeMembers proposes a new membership. The members must have no Transition.
//
// If at most one voter is added or removed, the membership itself is appended to the log: any majorities of two sets of
// voters that differ by one have a member in common (section 4.1). Learners and addresses may change with it without limit.
// Otherwise a joint membership is appended, which needs majorities both of the voters before the change and of those after
// it (section 4.3); once that is committed, this leader or the next one proposes the final membership by itself. So the
// replacement of a voter is one change, during which the group tolerates every failure that it tolerated before.
//
// Either is in force as soon as it is in the log. Until the last one is committed Status().ChangePending is set and other
// changes are refused with ErrChangePending. A change whose first entry is truncated has not happened.
//
// A leader that does not vote in the new membership leads on until that is committed by a quorum which does not count
// it, then steps down and has the voter with the longest log campaign.
//
// It returns ErrNotLeader, ErrChangePending, ErrNotReady or ErrChangeRefused.
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
	first, err := FirstMembers(n.memberships.current(), members)
	if err != nil {
		return err
	}
	return n.appendMembership(first)
}

// changePending reports whether a change of the membership is under way.
func (n *Node) changePending() bool {
	return n.memberships.newestIndex() > n.commit || IsJoint(n.memberships.current())
}

// FirstMembers returns the first membership that is appended to the log for a change from present to next: the joint
// membership of both if their voters differ by more than one, else next itself. Its error is ErrChangeRefused.
func FirstMembers(present, next []Member) ([]Member, error) {
	if err := validateMembers(next); err != nil {
		return nil, err
	}
	switch diff := diffMembers(present, next); {
	case diff.members == 0:
		return nil, errors.Wrap(ErrChangeRefused, "nothing changes")
	case diff.voters <= 1:
		return next, nil
	default:
		return jointMembers(present, next), nil
	}
}

// validateMembers returns an error if a membership is not well formed, or is joint.
func validateMembers(members []Member) error {
	if countVoters(members) == 0 {
		return errors.Wrap(ErrChangeRefused, "no voter is left")
	}
	for position, member := range members {
		if member.ID == None {
			return errors.Wrap(ErrChangeRefused, "a member has no identity")
		}
		if _, duplicate := findMember(members[:position], member.ID); duplicate {
			return errors.Wrap(ErrChangeRefused, "a member is listed twice")
		}
		if member.Transition != TransitionNone {
			return errors.Wrap(ErrChangeRefused, "the membership is joint")
		}
	}
	return nil
}

// memberDiff is by how many members two memberships differ.
type memberDiff struct {
	members int // added, removed or changed in any way
	voters  int // that vote in only one of the two
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

// jointMembers returns the membership whose outgoing configuration is the voters of present and whose incoming one is those
// of next. Learners and addresses are those of next.
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

// FinalMembers returns the membership to which a joint one leads; for one that is not joint, an equal one.
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

// appendMembership appends a membership to the log, which puts it in force. It is sent while the members before the change
// are still tracked, so that those it removes receive it too.
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

// finishJointChange proposes the final membership in place of a joint one that is committed. An entry of this leader's own
// term must be committed as well, so that no member can be elected any more whose log lacks either of them.
func (n *Node) finishJointChange() {
	members := n.memberships.current()
	if n.role != roleLeader || n.leadership.transferee != None || !IsJoint(members) {
		return
	}
	if n.memberships.newestIndex() > n.commit || n.commit < n.leadership.termStartIndex {
		return
	}
	_ = n.appendMembership(FinalMembers(members)) // fails only if members can't be encoded, and these were encoded before
}
