package consensus

import "time"

// TransferLeadership gives the leadership to another voter once it has caught up. Until then, or until an election timeout and the
// time that the disks need for votes have passed, proposals are refused.
func (n *Node) TransferLeadership(now time.Duration, to MemberID) error {
	n.advance(now)
	if n.role != roleLeader {
		return ErrNotLeader
	}
	peer := n.peer(to)
	if peer == nil || !peer.votes() {
		return ErrUnknownMember
	}
	if n.leadership.transferee == to {
		return nil
	}
	n.leadership.transferee = to
	n.leadership.transferUntil = now + n.config.ElectionTimeout + writesOfElection*n.writeTime
	n.sendAppends(peer)
	n.handOver()
	return nil
}

// handOver tells the member that is to lead to stand, if it has everything.
func (n *Node) handOver() {
	if n.leadership.transferee == None {
		return
	}
	peer := n.peer(n.leadership.transferee)
	if peer == nil || !peer.votes() {
		n.leadership.transferee = None
		return
	}
	if peer.match == n.log.last() {
		n.send(Message{Kind: MessageTimeoutNow, To: peer.id})
	}
}
