package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Messages may come long after they were sent, from earlier lives of either end.
var _ = ginkgo.Describe("a message that comes very late", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// reelect lets member 1 lead again in a later term, and gives the newest message of a kind from the earlier one.
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

	ginkgo.It("does not elect by votes of an earlier term, or of a member's earlier life", func() {
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

	ginkgo.It("makes nobody stand that was asked to in an earlier term", func() {
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

	ginkgo.It("costs no more than an election if it asks its receiver to stand in this term, after the transfer was given up", func() {
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
		Expect(late.Index).To(Equal(index), "it says what is in memory")
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

var _ = ginkgo.Describe("a member that was removed without knowing it", func() {
	ginkgo.It("disturbs nobody, and is not elected", func() {
		g := newGroup(memberList(1, 2, 3, 4)...)
		leader := g.elect(1)
		g.drop = fromOrTo(4)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3))).To(Succeed())
		g.deliverAll()
		g.propose(leader, "a")
		g.deliverAll()
		removed := g.member(4)
		Expect(isVoter(removed.Status().Members, 4)).To(BeTrue())
		g.drop = nil
		g.elapse(5 * electionTimeout)
		Expect(leader.Status().Ready).To(BeTrue())
		Expect(leader.term).To(Equal(uint64(1)))

		g.expireLeaderContacts()
		leader.becomeFollower(leader.term, None)
		removed.campaign(campaignTransfer)
		g.deliverAll()
		Expect(removed.Status().IsLeader).To(BeFalse())
		g.elapse(4 * electionTimeout)
		Expect(removed.Status().IsLeader).To(BeFalse())
		ready := 0
		for _, id := range []MemberID{1, 2, 3} {
			if g.member(id).Status().Ready {
				ready++
			}
		}
		Expect(ready).To(Equal(1))
	})
})

var _ = ginkgo.Describe("a leader whose process stalls again and again", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// stall lets the leader act only now and then, with an interval after which it counts as having stalled.
	stall := func(times int) {
		for range times {
			g.now += electionTimeout/2 + heartbeatInterval
			leader.Tick(g.now)
			g.deliverAll()
			g.elapse(10 * time.Millisecond)
		}
	}

	ginkgo.It("leads on while it is answered", func() {
		stall(20)
		Expect(leader.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("steps down when it is cut off", func() {
		g.drop = fromOrTo(1)
		for range 5 {
			g.now += electionTimeout/2 + heartbeatInterval
			leader.Tick(g.now)
			g.processOutput(leader)
		}
		Expect(leader.Status().IsLeader).To(BeFalse())
	})
})
