package consensus

import "time"

// TransferLeadership transfers the leadership to another voter as soon as that has the complete log (section 3.10). Until
// then proposals are refused. The transfer is given up after an election timeout and the time that disks need for votes,
// and this member leads on; Status().Transferee is the target meanwhile. It returns ErrNotLeader if this member does not
// lead and ErrUnknownMember if the target is not another voter, or is leaving by a joint membership.
func (n *Node) TransferLeadership(now time.Duration, to MemberID) error {
	n.advanceClock(now)
	if n.role != roleLeader {
		return ErrNotLeader
	}
	peer := n.peer(to)
	if peer == nil || !peer.mayLead() {
		return ErrUnknownMember
	}
	if n.leadership.transferee == to {
		return nil
	}
	n.leadership.transferee = to
	n.leadership.transferDeadline = now + n.config.ElectionTimeout + maxElectionWrites*n.writeTime
	n.sendAppends(peer)
	n.maybeFinishTransfer()
	return nil
}

// maybeFinishTransfer has the transferee campaign if it has the complete log on disk. It ends a transfer to a member that no
// longer votes, or is leaving.
func (n *Node) maybeFinishTransfer() {
	if n.leadership.transferee == None {
		return
	}
	peer := n.peer(n.leadership.transferee)
	if peer == nil || !peer.mayLead() {
		n.leadership.transferee = None
		return
	}
	if peer.match == n.log.last() {
		n.send(Message{Kind: MessageTimeoutNow, To: peer.id})
	}
}
