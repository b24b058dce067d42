package consensus

import (
	"time"

	"github.com/pkg/errors"
)

// ProposeMembers asks for a new membership. The members must have no Transition.
//
// If at most one voter is added or removed, the membership itself goes to the log: majorities of two sets of voters that
// differ by one always share a member. Learners and addresses may change with it as they like. Otherwise a joint
// membership goes to the log, which needs majorities of the voters before the change and of those after it, and once that
// is committed this leader, or the next one, proposes the final membership by itself. So a replacement of a voter is one
// change, and while it is on its way the group stands every loss that it stood before.
//
// Either is in force as soon as it is in the log. Until the last of them is committed Status().ChangePending is set and
// other changes are refused with ErrChangePending. A change whose first entry is truncated has not happened.
//
// A leader that does not vote in the new membership leads on until that is committed by a quorum which does not count
// it, then steps down and asks the voter with the longest log to stand.
func (n *Node) ProposeMembers(now time.Duration, members []Member) error {
	n.advance(now)
	if n.role != roleLeader || n.leadership.transferee != None {
		return ErrNotLeader
	}
	if n.changePending() {
		return ErrChangePending
	}
	if !n.ready() {
		return ErrNotReady
	}
	next, err := FirstStep(n.memberships.current(), members)
	if err != nil {
		return err
	}
	return n.changeMembers(next)
}

// changePending tells whether a change of the membership is under way.
func (n *Node) changePending() bool {
	return n.memberships.newest() > n.commit || IsJoint(n.memberships.current())
}

// FirstStep is the membership that goes to the log on the way from one to another: the joint membership of both if their
// voters differ by more than one, else the other itself.
func FirstStep(present, next []Member) ([]Member, error) {
	if err := checkMembers(next); err != nil {
		return nil, err
	}
	switch differences := countDifferences(present, next); {
	case differences.members == 0:
		return nil, errors.Wrap(ErrChangeRefused, "nothing changes")
	case differences.voters <= 1:
		return next, nil
	default:
		return jointMembers(present, next), nil
	}
}

// checkMembers tells whether a membership that is not joint is well formed.
func checkMembers(members []Member) error {
	if countVoters(members) == 0 {
		return errors.Wrap(ErrChangeRefused, "no voter is left")
	}
	for position, member := range members {
		if member.ID == None {
			return errors.Wrap(ErrChangeRefused, "a member has no identity")
		}
		if _, twice := findMember(members[:position], member.ID); twice {
			return errors.Wrap(ErrChangeRefused, "a member stands twice")
		}
		if member.Transition != TransitionNone {
			return errors.Wrap(ErrChangeRefused, "the membership is joint")
		}
	}
	return nil
}

// differences counts how two memberships differ.
type differences struct {
	members int // added, removed or changed in any way
	voters  int // that vote in one of the two only
}

// countDifferences compares two memberships that are not joint.
func countDifferences(present, next []Member) differences {
	var found differences
	for _, member := range next {
		before, known := findMember(present, member.ID)
		if !known || before != member {
			found.members++
		}
		if !member.Learner && !isVoter(present, member.ID) {
			found.voters++
		}
	}
	for _, member := range present {
		if _, stays := findMember(next, member.ID); !stays {
			found.members++
		}
		if !member.Learner && !isVoter(next, member.ID) {
			found.voters++
		}
	}
	return found
}

// jointMembers is the membership that has the voters of one membership as its outgoing configuration and those of another
// as its incoming one. Learners and addresses are those of the incoming one.
func jointMembers(present, next []Member) []Member {
	joint := make([]Member, 0, len(present)+len(next))
	for _, member := range next {
		before := isVoter(present, member.ID)
		switch {
		case before && member.Learner:
			member.Learner = false
			member.Transition = TransitionDemoted
		case !before && !member.Learner:
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

// FinalMembers is the membership that a joint one leads to; one that is not joint is its own.
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

// changeMembers puts a membership in force and sends it out, last of all to members it removes.
func (n *Node) changeMembers(members []Member) error {
	data, err := EncodeMembers(members)
	if err != nil {
		return err
	}
	entry := n.appendOwn(EntryMembership, data)
	held := append([]Member(nil), members...)
	n.memberships = append(n.memberships, membership{index: entry.Index, members: held})
	n.sendDueAppends()
	n.adoptMembers()
	n.leadership.appendsDue = true
	return nil
}

// finishChange proposes the final membership in place of a joint one. The joint one is committed by then, and so is an
// entry of this leader's own term: no other leader can come up any more that has neither of them in its log.
func (n *Node) finishChange() {
	members := n.memberships.current()
	if n.role != roleLeader || n.leadership.transferee != None || !IsJoint(members) {
		return
	}
	if n.memberships.newest() > n.commit || n.commit < n.leadership.firstIndex {
		return
	}
	_ = n.changeMembers(FinalMembers(members)) // fails only where members can't be encoded, and these were
}
