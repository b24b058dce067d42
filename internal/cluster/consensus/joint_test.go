package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// restart restarts a member from the log that a disk which syncs at once has, from a snapshot on.
func (g *group) restart(id MemberID, snapshot *Snapshot) *testMember {
	old := g.member(id)
	restored := Restored{HardState: HardState{Term: old.term, Vote: old.vote}, Snapshot: snapshot, Entries: old.log.entries}
	for position, member := range g.members {
		if member == old {
			g.members = append(g.members[:position], g.members[position+1:]...)
			break
		}
	}
	return g.add(id, restored)
}

// allExcept matches all messages but those from one member to some others.
func allExcept(from MemberID, to ...MemberID) func(Message) bool {
	return func(message Message) bool {
		for _, id := range to {
			if message.From == from && message.To == id {
				return false
			}
		}
		return true
	}
}

// expireLeaderContacts makes all members consider their leader failed, so that they vote at once.
func (g *group) expireLeaderContacts() {
	for _, member := range g.members {
		member.lastLeaderContact = 0
	}
}

var _ = ginkgo.Describe("while a joint change is on its way", func() {
	var g *group
	var leader *testMember
	first := append(memberList(1, 2, 3), learner(4))
	next := memberList(1, 2, 4)

	// begin proposes to replace voter 3 by 4, where only the leader's own messages to some members arrive.
	begin := func(reached ...MemberID) {
		g.drop = allExcept(1, reached...)
		Expect(leader.ProposeMembers(g.now, next)).To(Succeed())
		g.deliverAll()
		Expect(IsJoint(leader.Status().Members)).To(BeTrue())
	}
	ginkgo.BeforeEach(func() {
		g = newGroup(first...)
		leader = g.elect(1)
	})

	ginkgo.DescribeTable("the leader commits and is confirmed by majorities of both configurations only",
		func(decided bool, answering ...MemberID) {
			begin()
			joined := leader.log.last()
			g.drop = func(message Message) bool {
				answers := message.To != 1
				for _, id := range answering {
					answers = answers || message.From == id
				}
				return !answers
			}
			g.elapse(5 * heartbeatInterval)
			asked := g.now
			leader.ConfirmLeadership(asked)
			g.deliverAll()
			Expect(leader.Status().Commit >= joined).To(Equal(decided))
			Expect(leader.Status().ConfirmedAt >= asked).To(Equal(decided))
			g.elapse(2 * electionTimeout)
			Expect(leader.Status().IsLeader).To(Equal(decided), "leads on after an election timeout")
		},
		ginkgo.Entry("the other that stays", true, MemberID(2)),
		ginkgo.Entry("the old and the new one", true, MemberID(3), MemberID(4)),
		ginkgo.Entry("the old one", false, MemberID(3)),
		ginkgo.Entry("the new one", false, MemberID(4)),
		ginkgo.Entry("nobody", false),
	)

	ginkgo.DescribeTable("a member is elected by majorities of both configurations only",
		func(elected bool, voting ...MemberID) {
			begin(2, 3, 4)
			candidate := g.member(2)
			Expect(IsJoint(candidate.Status().Members)).To(BeTrue())
			g.expireLeaderContacts()
			leader.becomeFollower(leader.term, None)
			g.drop = func(message Message) bool {
				for _, id := range voting {
					if message.From == id || message.To == id {
						return false
					}
				}
				return true
			}
			g.now = max(g.now, candidate.electionDeadline)
			candidate.Tick(g.now)
			g.deliverAll()
			Expect(candidate.Status().IsLeader).To(Equal(elected))
			Expect(candidate.term > 1).To(Equal(elected), "nobody is disturbed by one that pre-votes keep down")
		},
		ginkgo.Entry("the other that stays", true, MemberID(1)),
		ginkgo.Entry("the old and the new one", true, MemberID(3), MemberID(4)),
		ginkgo.Entry("the old one", false, MemberID(3)),
		ginkgo.Entry("the new one", false, MemberID(4)),
	)

	ginkgo.It("a candidate needs votes from both, also once pre-votes have let it stand", func() {
		begin(2, 3, 4)
		candidate := g.member(2)
		candidate.campaign(campaignTransfer)
		g.drop = func(message Message) bool { return message.From != 3 && message.To != 3 }
		g.deliverAll()
		Expect(candidate.role).To(Equal(roleCandidate))
		g.drop = fromOrTo(1)
		g.now += heartbeatInterval
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(candidate.role).To(Equal(roleLeader))
	})

	ginkgo.It("a new leader that has the joint membership in its log finishes the change", func() {
		begin(2, 3, 4)
		g.expireLeaderContacts()
		g.drop = fromOrTo(1)
		g.elect(2)
		g.deliverAll()
		Expect(g.member(2).Status().ChangePending).To(BeFalse())
		Expect(g.member(4).Status().Members).To(Equal(next))
	})

	ginkgo.It("a new leader waits with the final membership until it has committed an entry of its own term", func() {
		begin(2, 3, 4)
		g.expireLeaderContacts()
		g.drop = ofKind(MessageAppendResponse)
		candidate := g.member(2)
		candidate.commitUpTo(candidate.memberships.newestIndex())
		leader.becomeFollower(leader.term, None)
		g.now = max(g.now, candidate.electionDeadline)
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(candidate.Status().IsLeader).To(BeTrue())
		Expect(candidate.Status().Commit).To(BeNumerically(">=", candidate.memberships.newestIndex()))
		candidate.Tick(g.now)
		Expect(IsJoint(candidate.Status().Members)).To(BeTrue())
	})

	ginkgo.It("the old membership is back once the joint one is truncated", func() {
		begin()
		g.drop = fromOrTo(1)
		g.expireLeaderContacts()
		g.elect(2)
		g.drop = nil
		g.elapse(3 * electionTimeout)
		for _, member := range g.members {
			Expect(member.Status().Members).To(Equal(first), "member %d", member.config.ID)
		}
	})

	ginkgo.It("the joint membership is back once the final one is truncated", func() {
		begin(2, 3, 4)
		joined := leader.log.last()
		leader.peer(2).match = joined
		leader.advanceCommit()
		leader.finishJointChange()
		Expect(leader.Status().Members).To(Equal(next))
		replacing := []Entry{{Term: 2, Index: joined + 1, Kind: EntryEmpty}}
		leader.Step(Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, Index: joined, LogTerm: 1, Entries: replacing}, g.now)
		Expect(leader.log.last()).To(Equal(joined + 1))
		Expect(leader.Status().Members).To(ConsistOf(threeToFour()))
		Expect(leader.Status().ChangePending).To(BeTrue())
	})

	ginkgo.It("a restart from the log goes on with it, and finishes it", func() {
		begin(2, 3, 4)
		for _, id := range []MemberID{1, 2, 4} {
			restarted := g.restart(id, &Snapshot{Members: first})
			Expect(restarted.Status().Members).To(ConsistOf(threeToFour()))
		}
		g.drop = fromOrTo(3)
		g.elect(2)
		Expect(g.member(2).Status().ChangePending).To(BeFalse())
		Expect(g.member(1).Status().Members).To(Equal(next))
	})

	ginkgo.It("a snapshot from the joint stretch holds the joint membership, and a restart from it finishes the change", func() {
		begin(2, 3, 4)
		joined := leader.log.last()
		g.drop = ofKind(MessageAppendResponse)
		leader.peer(2).match = joined
		leader.advanceCommit()
		Expect(leader.Status().Commit).To(Equal(joined))
		g.processOutput(leader)
		Expect(leader.MembersAt(joined)).To(ConsistOf(threeToFour()))
		Expect(leader.MembersAt(joined - 1)).To(Equal(first))
		leader.Compact(joined)
		Expect(leader.MembersAt(joined)).To(ConsistOf(threeToFour()))

		snapshot := &Snapshot{Index: joined, Term: leader.term, Members: leader.MembersAt(joined)}
		restarted := g.restart(1, snapshot)
		Expect(restarted.Status().Members).To(ConsistOf(threeToFour()))
		Expect(restarted.Status().ChangePending).To(BeTrue())
		g.drop = fromOrTo(3)
		g.elect(1)
		Expect(g.member(1).Status().ChangePending).To(BeFalse())
		Expect(g.member(4).Status().Members).To(Equal(next))
	})

	ginkgo.It("a member that gets a snapshot from the joint stretch counts as it says", func() {
		begin(2, 3)
		joined := leader.log.last()
		leader.peer(2).match = joined
		leader.advanceCommit()
		g.processOutput(leader)
		leader.Compact(joined)
		leader.peer(4).becomeSnapshot()
		leader.peer(4).active = true
		g.drop = func(message Message) bool { return message.To == 2 || message.To == 3 }
		leader.SendSnapshot(g.now, 4, Snapshot{Index: joined, Term: leader.term, Data: make([]byte, 25)})
		g.deliverAll()
		Expect(g.member(4).installed.Members).To(ConsistOf(threeToFour()))
		Expect(isVoter(g.member(4).Status().Members, 4)).To(BeTrue())
	})

	ginkgo.It("a transfer holds the final membership up, which the new leader proposes", func() {
		begin(2, 3, 4)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.drop = fromOrTo(3)
		g.elapse(3 * heartbeatInterval)
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(g.member(2).Status().ChangePending).To(BeFalse())
		Expect(leader.Status().Members).To(Equal(next))
	})

	ginkgo.It("a transfer that comes to nothing holds the final membership up no longer", func() {
		g.member(2).SetCampaignAllowed(false)
		begin(2, 3, 4)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.drop = fromOrTo(3)
		g.elapse(3 * heartbeatInterval)
		Expect(IsJoint(leader.Status().Members)).To(BeTrue())
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrNotLeader))
		g.elapse(electionTimeout)
		Expect(leader.Status().ChangePending).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a leader that a joint change leaves out", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader = g.elect(1)
	})

	ginkgo.It("leads until the final membership is committed without it, and another leads soon", func() {
		g.drop = ofKind(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(2, 3, 4))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.drop = nil
		g.elapse(5 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
		newest := g.member(2).Status().Leader
		Expect(newest).NotTo(BeElementOf(None, MemberID(1)))
		Expect(g.member(newest).Status().Ready).To(BeTrue())
		Expect(g.member(newest).Status().Members).To(Equal(memberList(2, 3, 4)))
	})

	ginkgo.It("does not count itself where two voters remain, both of which are needed", func() {
		g.drop = func(message Message) bool { return message.From == 3 }
		Expect(leader.ProposeMembers(g.now, memberList(2, 3))).To(Succeed())
		g.deliverAll()
		before := leader.Status().Commit
		g.now += heartbeatInterval
		asked := g.now
		leader.ConfirmLeadership(asked)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(before))
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", asked))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(BeNumerically(">", before))
	})

	ginkgo.It("does not count itself for the final membership", func() {
		joined := uint64(0)
		g.drop = func(message Message) bool { return message.Kind == MessageAppendResponse && message.Index > joined }
		joined = leader.log.last() + 1
		Expect(leader.ProposeMembers(g.now, memberList(2, 3, 4))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(joined))
		g.drop = func(message Message) bool { return message.From == 3 || message.From == 4 }
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(joined))
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.drop = fromOrTo(4)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a group goes on", func() {
	ginkgo.It("where the only newer log is that of a leader which left itself out", func() {
		g := newGroup(memberList(1, 2)...)
		leader := g.elect(1)
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, memberList(2))).To(Succeed())
		g.deliverAll()
		g.restart(1, &Snapshot{Members: memberList(1, 2)})
		g.drop = nil
		g.elapse(6 * electionTimeout)
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(g.member(2).Status().Members).To(Equal(memberList(2)))
	})

	ginkgo.DescribeTable("where a learner was fed by a leader whose disk is lost, and another counts it as a voter", func(next []Member) {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader := g.elect(1)
		g.drop = fromOrTo(1)
		Expect(leader.ProposeMembers(g.now, next)).To(Succeed())
		g.deliverAll()
		g.expireLeaderContacts()
		g.drop = func(message Message) bool {
			fromOther := message.From == 2 && message.Kind != MessageVote && message.Kind != MessagePreVote
			return message.From == 1 || message.To == 1 || fromOther && message.To == 3
		}
		other := g.member(2)
		g.now = max(g.now, other.electionDeadline)
		other.Tick(g.now)
		g.deliverAll()
		Expect(other.Status().IsLeader).To(BeTrue())
		Expect(other.Status().Ready).To(BeFalse())

		g.drop = fromOrTo(2) // its disk is lost
		g.elapse(8 * electionTimeout)
		ready := 0
		for _, id := range []MemberID{1, 3, 4} {
			if g.member(id).Status().Ready {
				ready++
			}
		}
		Expect(ready).To(Equal(1))
	},
		ginkgo.Entry("by a joint change", memberList(2, 3, 4)),
		ginkgo.Entry("by a simple change", memberList(1, 2, 3, 4)),
	)

	ginkgo.It("alone only if its one member is the only voter of both configurations", func() {
		g := newGroup(Member{ID: 1, Transition: TransitionRemoved}, Member{ID: 2, Transition: TransitionAdded})
		g.drop = fromOrTo(1)
		g.elapse(5 * electionTimeout)
		Expect(g.member(1).Status().IsLeader).To(BeFalse())
		g.drop = nil
		g.elapse(5 * electionTimeout)
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(g.member(2).Status().Members).To(Equal(memberList(2)))
	})
})

var _ = ginkgo.Describe("a learner", func() {
	ginkgo.It("gets no more than what is committed, and that at once", func() {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader := g.elect(1)
		g.drop = ofKind(MessageAppendResponse)
		g.propose(leader, "a")
		g.deliverAll()
		Expect(g.member(2).log.last()).To(Equal(leader.log.last()))
		Expect(g.member(4).log.last()).To(BeNumerically("<", leader.log.last()))
		g.drop = nil
		g.now += 2 * time.Millisecond
		g.propose(leader, "b")
		g.deliverAll()
		Expect(g.member(4).log.last()).To(Equal(leader.log.last()))
	})

	ginkgo.It("does not stand, not even when asked to", func() {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		g.elect(1)
		g.drop = func(Message) bool { return true }
		g.clearSent()
		g.member(4).Step(Message{Kind: MessageTimeoutNow, From: 1, To: 4, Term: 1}, g.now)
		for range 100 {
			g.now += heartbeatInterval
			g.member(4).Tick(g.now)
			g.processOutput(g.member(4))
		}
		Expect(g.countSent(MessagePreVote) + g.countSent(MessageVote)).To(BeZero())
	})
})
