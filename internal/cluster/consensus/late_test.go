package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Messages may come long after they were sent, from earlier lives of either end.
var _ = ginkgo.Describe("a message that comes very late", func() {
	var g *group
	var leader *scripted
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// reelect lets member 1 lead again in a later term, and gives the newest message of a kind from the earlier one.
	reelect := func(kind MessageKind, to MemberID) Message {
		late := g.newest(kind, to)
		Expect(late.Term).To(Equal(uint64(1)))
		leader.becomeFollower(leader.term, None)
		g.forgetLeaders()
		g.elect(1)
		Expect(leader.term).To(Equal(uint64(2)))
		return late
	}

	ginkgo.It("does not confirm a later leadership of the same member", func() {
		g.pass(2 * heartbeat)
		late := reelect(MessageHeartbeatResponse, 1)
		g.lost = isolate(1)
		g.now += heartbeat
		before := leader.Status().ConfirmedAt
		late.SentAt = g.now
		leader.Step(late, g.now)
		Expect(leader.Status().ConfirmedAt).To(Equal(before))
	})

	ginkgo.It("does not commit by acknowledgements of an earlier term", func() {
		g.propose(leader, "a")
		g.settle()
		late := reelect(MessageAppendResponse, 1)
		g.lost = isolate(1)
		late.Index = g.propose(leader, "b")
		g.settle()
		before := leader.Status().Commit
		leader.Step(late, g.now)
		Expect(leader.Status().Commit).To(Equal(before))
	})

	ginkgo.It("does not elect by votes of an earlier term, or of a member's earlier life", func() {
		candidate := g.of(2)
		candidate.campaign(true)
		g.drain(candidate)
		g.waiting = nil
		vote := Message{Kind: MessageVoteResponse, From: 3, To: 2, Term: candidate.term}
		restarted := g.restart(2, &Snapshot{Members: memberList(1, 2, 3)})
		Expect(restarted.term).To(Equal(vote.Term))
		restarted.Step(vote, g.now)
		Expect(restarted.role).To(Equal(roleFollower))
		g.lost = isolate(2)
		restarted.campaign(true)
		restarted.Step(vote, g.now)
		Expect(restarted.role).To(Equal(roleCandidate))
	})

	ginkgo.It("makes nobody stand that was asked to in an earlier term", func() {
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.settle()
		late := g.newest(MessageTimeoutNow, 2)
		Expect(late.Term).To(Equal(uint64(1)))
		other := g.of(2)
		Expect(other.Status().Ready).To(BeTrue())
		Expect(other.TransferLeadership(g.now, 1)).To(Succeed())
		g.settle()
		Expect(leader.Status().Ready).To(BeTrue())
		term := other.term
		other.Step(late, g.now)
		Expect(other.term).To(Equal(term))
		Expect(other.role).To(Equal(roleFollower))
	})

	ginkgo.It("costs no more than an election if it asks its receiver to stand in this term, after the transfer was given up", func() {
		g.lost = lose(MessageTimeoutNow)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.settle()
		late := g.newest(MessageTimeoutNow, 2)
		g.pass(2 * timeout)
		Expect(leader.Status().Transferee).To(Equal(None))
		g.propose(leader, "a")
		g.lost = nil
		g.settle()
		g.of(2).Step(late, g.now)
		g.settle()
		Expect(g.of(2).Status().Ready).To(BeTrue())
		Expect(texts(g.of(2).committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("from before a restart that lost what was not synced does not count as on disk", func() {
		g.lost = isolate(3)
		other := g.of(2)
		other.hold = true
		index := g.propose(leader, "a")
		g.settle()
		g.now += heartbeat
		leader.Tick(g.now)
		g.drain(leader)
		g.settle()
		late := g.newest(MessageHeartbeatResponse, 1)
		Expect(late.Index).To(Equal(index), "it says what is in memory")
		Expect(leader.Status().Commit).To(BeNumerically("<", index))

		other.log.entries = other.log.entries[:index-1-other.log.base]
		restarted := g.restart(2, &Snapshot{Members: memberList(1, 2, 3)})
		restarted.hold = true
		leader.Step(late, g.now)
		g.pass(3 * heartbeat)
		Expect(leader.Status().Commit).To(BeNumerically("<", index))
		Expect(restarted.log.last()).To(Equal(index), "it is sent again")
		restarted.hold = false
		g.sync(restarted)
		g.pass(3 * heartbeat)
		Expect(leader.Status().Commit).To(Equal(index))
	})
})

var _ = ginkgo.Describe("a member that was removed without knowing it", func() {
	ginkgo.It("disturbs nobody, and is not elected", func() {
		g := newGroup(memberList(1, 2, 3, 4)...)
		leader := g.elect(1)
		g.lost = isolate(4)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 3))).To(Succeed())
		g.settle()
		g.propose(leader, "a")
		g.settle()
		removed := g.of(4)
		Expect(isVoter(removed.Status().Members, 4)).To(BeTrue())
		g.lost = nil
		g.pass(5 * timeout)
		Expect(leader.Status().Ready).To(BeTrue())
		Expect(leader.term).To(Equal(uint64(1)))

		g.forgetLeaders()
		leader.becomeFollower(leader.term, None)
		removed.campaign(true)
		g.settle()
		Expect(removed.Status().IsLeader).To(BeFalse())
		g.pass(4 * timeout)
		Expect(removed.Status().IsLeader).To(BeFalse())
		ready := 0
		for _, id := range []MemberID{1, 2, 3} {
			if g.of(id).Status().Ready {
				ready++
			}
		}
		Expect(ready).To(Equal(1))
	})
})

var _ = ginkgo.Describe("a leader whose process stalls again and again", func() {
	var g *group
	var leader *scripted
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
	})

	// stall lets the leader act only now and then, with an interval after which it counts as having stalled.
	stall := func(times int) {
		for range times {
			g.now += timeout/2 + heartbeat
			leader.Tick(g.now)
			g.settle()
			g.pass(10 * time.Millisecond)
		}
	}

	ginkgo.It("leads on while it is answered", func() {
		stall(20)
		Expect(leader.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("steps down when it is cut off", func() {
		g.lost = isolate(1)
		for range 5 {
			g.now += timeout/2 + heartbeat
			leader.Tick(g.now)
			g.drain(leader)
		}
		Expect(leader.Status().IsLeader).To(BeFalse())
	})
})
