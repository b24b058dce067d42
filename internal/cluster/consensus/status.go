package consensus

import "time"

// Status is the state of a group as one member knows it.
type Status struct {
	ID         MemberID
	Term       uint64
	Leader     MemberID // of Term; None: not known
	IsLeader   bool
	Ready      bool   // this member leads, and Output has returned an entry of its term in Committed
	Commit     uint64 // commit index
	LastIndex  uint64 // index of the newest entry of the log
	FirstIndex uint64 // index of the oldest entry that is not compacted, or LastIndex+1 if there is none
	// ConfirmedAt is the newest time, by this member's monotonic clock, at which a quorum is known to have followed this
	// leader. It is 0 if there is no such time or this member does not lead.
	ConfirmedAt time.Duration
	// Members is the current membership: the newest in the log, committed or not. During a change of more than one voter it is
	// joint, and FinalMembers returns the membership at the end of the change. The caller must not modify it. It is nil if
	// the member has no membership yet.
	Members []Member
	// ChangePending reports whether Members is not known to be committed, or is joint. Until both the joint and the final
	// membership are committed, ProposeMembers refuses another change.
	ChangePending bool
	Transferee    MemberID // target of this leader's leadership transfer; None: no transfer is under way
}

// Status returns the state of the group as this member knows it.
func (n *Node) Status() Status {
	return Status{
		ID:            n.config.ID,
		Term:          n.term,
		Leader:        n.leader,
		IsLeader:      n.role == roleLeader,
		Ready:         n.isReady(),
		Commit:        n.commit,
		LastIndex:     n.log.last(),
		FirstIndex:    n.log.base + 1,
		ConfirmedAt:   n.leadership.confirmedAt,
		Members:       n.memberships.current(),
		ChangePending: n.changePending(),
		Transferee:    n.leadership.transferee,
	}
}

// Lag returns how many entries are not known to be on a member's disk, and when this leader received the last response from
// it. Without a response, lastContact is when the member was added or, if that is later, when this member became the leader.
// For this leader itself, lastContact is the time of the newest input. known is false if this member does not lead or the
// other is not in the membership.
func (n *Node) Lag(id MemberID) (behind uint64, lastContact time.Duration, known bool) {
	if n.role != roleLeader {
		return 0, 0, false
	}
	if id == n.config.ID {
		return n.log.last() - n.leadership.ownMatch, n.now, true
	}
	peer := n.peer(id)
	if peer == nil {
		return 0, 0, false
	}
	return n.log.last() - peer.match, peer.lastContact, true
}

// ReachedAt returns when this leader sent the newest message to which a member has responded in this term. It returns 0 if
// there is none or this member does not lead. Unlike lastContact of Lag, it does not depend on the delay of the response.
func (n *Node) ReachedAt(id MemberID) time.Duration {
	if n.role != roleLeader {
		return 0
	}
	if peer := n.peer(id); peer != nil {
		return peer.confirmedAt
	}
	return 0
}
