package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The network may deliver a message long after it was sent, when either end has restarted or entered later terms. Such a
// message must not confirm, commit or elect anything.
var _ = ginkgo.Describe("a message that arrives very late", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// reelect makes member 1 the leader of term 2 too, and returns the newest message of a kind from term 1.
	reelect := func(kind MessageKind, to MemberID) Message {
		late := g.lastSent(kind, to)
		Expect(late.Term).To(Equal(uint64(1)))
		leader.becomeFollower(leader.term, None)
		g.expireLeaderContacts()
		g.elect(1)
		Expect(leader.term).To(Equal(uint64(2)))
		return late
	}

	ginkgo.It("does not confirm a later leadership of the same member", func() {
		g.elapse(2 * heartbeatInterval)
		late := reelect(MessageHeartbeatResponse, 1)
		g.drop = fromOrTo(1)
		g.now += heartbeatInterval
		before := leader.Status().ConfirmedAt
		late.SentAt = g.now
		leader.Step(late, g.now)
		Expect(leader.Status().ConfirmedAt).To(Equal(before))
	})

	ginkgo.It("commits no entry if it is an acknowledgement of an earlier term", func() {
		g.propose(leader, "a")
		g.deliverAll()
		late := reelect(MessageAppendResponse, 1)
		g.drop = fromOrTo(1)
		late.Index = g.propose(leader, "b")
		g.deliverAll()
		before := leader.Status().Commit
		leader.Step(late, g.now)
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("elects nobody if it is a vote of an earlier term, or for a candidate that has restarted since", func() {
		candidate := g.member(2)
		candidate.campaign(campaignTransfer)
		g.processOutput(candidate)
		g.inTransit = nil
		vote := Message{Kind: MessageVoteResponse, From: 3, To: 2, Term: candidate.term}
		restarted := g.restart(2, &Snapshot{Members: memberList(1, 2, 3)})
		Expect(restarted.term).To(Equal(vote.Term))
		restarted.Step(vote, g.now)
		Expect(restarted.role).To(Equal(roleFollower))
		g.drop = fromOrTo(2)
		restarted.campaign(campaignTransfer)
		restarted.Step(vote, g.now)
		Expect(restarted.role).To(Equal(roleCandidate))
	})

	ginkgo.It("does not make a member campaign if it asked for that in an earlier term", func() {
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.deliverAll()
		late := g.lastSent(MessageTimeoutNow, 2)
		Expect(late.Term).To(Equal(uint64(1)))
		other := g.member(2)
		Expect(other.Status().Ready).To(BeTrue())
		Expect(other.TransferLeadership(g.now, 1)).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Ready).To(BeTrue())
		term := other.term
		other.Step(late, g.now)
		Expect(other.term).To(Equal(term))
		Expect(other.role).To(Equal(roleFollower))
	})

	ginkgo.It("causes only an election if it asks a member to campaign after the leadership transfer was given up", func() {
		g.drop = ofKind(MessageTimeoutNow)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.deliverAll()
		late := g.lastSent(MessageTimeoutNow, 2)
		g.elapse(2 * electionTimeout)
		Expect(leader.Status().Transferee).To(Equal(None))
		g.propose(leader, "a")
		g.drop = nil
		g.deliverAll()
		g.member(2).Step(late, g.now)
		g.deliverAll()
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(commandsOf(g.member(2).committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("acknowledges nothing on disk if it is a heartbeat response of a member that has lost unsynced entries since", func() {
		g.drop = fromOrTo(3)
		other := g.member(2)
		other.diskPaused = true
		index := g.propose(leader, "a")
		g.deliverAll()
		g.now += heartbeatInterval
		leader.Tick(g.now)
		g.processOutput(leader)
		g.deliverAll()
		late := g.lastSent(MessageHeartbeatResponse, 1)
		Expect(late.Index).To(Equal(index), "the response reports entries that are only in memory")
		Expect(leader.Status().Commit).To(BeNumerically("<", index))

		other.log.entries = other.log.entries[:index-1-other.log.base]
		restarted := g.restart(2, &Snapshot{Members: memberList(1, 2, 3)})
		restarted.diskPaused = true
		leader.Step(late, g.now)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(BeNumerically("<", index))
		Expect(restarted.log.last()).To(Equal(index), "the lost entry is sent again")
		restarted.diskPaused = false
		g.syncDisk(restarted)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(index))
	})
})
