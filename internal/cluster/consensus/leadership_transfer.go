package consensus

import "time"

// TransferLeadership transfers the leadership to another voter as soon as that has the complete log on disk (section 3.10).
// During the transfer this member refuses proposals, and Status().Transferee is the target. After an election timeout and the
// time that disks need for the votes, this member gives up the transfer and remains the leader. TransferLeadership returns
// ErrNotLeader if this member does not lead. It returns ErrUnknownMember if the target is not another voter, or is not a
// voter of the incoming configuration of a joint membership.
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

// maybeFinishTransfer asks the transferee to campaign if it has the complete log on disk. It ends a transfer to a member that
// no longer votes, or that loses its vote in the joint change under way.
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
