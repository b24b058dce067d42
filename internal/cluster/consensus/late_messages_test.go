package consensus

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Messages may arrive long after they were sent, by when either end was restarted.
var _ = ginkgo.Describe("a message that arrives very late", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// reelect lets member 1 lead again in a later term, and returns the newest message of a kind from the earlier one.
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

	ginkgo.It("does not commit by acknowledgements of an earlier term", func() {
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

	ginkgo.It("does not elect by votes of an earlier term, or from before a restart", func() {
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

	ginkgo.It("does not make a member campaign that was asked to in an earlier term", func() {
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

	ginkgo.It("costs no more than an election if it asks a member to campaign after the transfer was given up", func() {
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

	ginkgo.It("from before a restart that lost what was not synced does not count as on disk", func() {
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
		Expect(late.Index).To(Equal(index), "it reports what is in memory")
		Expect(leader.Status().Commit).To(BeNumerically("<", index))

		other.log.entries = other.log.entries[:index-1-other.log.base]
		restarted := g.restart(2, &Snapshot{Members: memberList(1, 2, 3)})
		restarted.diskPaused = true
		leader.Step(late, g.now)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(BeNumerically("<", index))
		Expect(restarted.log.last()).To(Equal(index), "it is sent again")
		restarted.diskPaused = false
		g.syncDisk(restarted)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(index))
	})
})
