package consensus

import "time"

// Status is what a member knows of its group at a moment.
type Status struct {
	ID         MemberID
	Term       uint64
	Leader     MemberID // None: not known
	IsLeader   bool
	Ready      bool // leads, and an entry of its own term is committed and was returned in Committed
	Commit     uint64
	LastIndex  uint64
	FirstIndex uint64
	// ConfirmedAt is the newest time of this member's monotonic clock at which a quorum is known to have followed this leader;
	// 0 if there is none or this member does not lead.
	ConfirmedAt time.Duration
	// Members is the membership in force: the newest in the log, committed or not. It is joint while a change of more than
	// one voter is under way; FinalMembers returns what it leads to. It must not be modified.
	Members []Member
	// ChangePending reports whether Members is not known to be committed, or is joint: ProposeMembers refuses another
	// change until both the joint and the final membership are committed.
	ChangePending bool
	Transferee    MemberID // to whom this leader is transferring the leadership; None: no transfer is under way
}

// Status returns what this member knows of its group.
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

// Lag returns how many entries a member lacks and when this leader received the last response from it (or when it began to
// track the member, if there was none). known is false if this member does not lead or the other is not in the membership.
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

// ReachedAt returns when this leader sent the newest message to which a member has responded in this term; 0 if there is
// none or this member does not lead. Unlike the last contact of Lag it does not depend on how late the response came.
func (n *Node) ReachedAt(id MemberID) time.Duration {
	if n.role != roleLeader {
		return 0
	}
	if peer := n.peer(id); peer != nil {
		return peer.confirmedAt
	}
	return 0
}
