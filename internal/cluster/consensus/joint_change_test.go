package consensus

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("while a joint change is under way", func() {
	var g *group
	var leader *testMember
	first := append(memberList(1, 2, 3), learner(4))
	next := memberList(1, 2, 4)

	// begin proposes to replace voter 3 by learner 4. Only the members in reached receive the leader's messages.
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

	ginkgo.DescribeTable("the leader commits, and its leadership is confirmed, only with majorities of both configurations:",
		func(decided bool, responding ...MemberID) {
			begin()
			jointIndex := leader.log.last()
			g.drop = func(message Message) bool { return message.To == 1 && !slices.Contains(responding, message.From) }
			g.elapse(5 * heartbeatInterval)
			requestedAt := g.now
			leader.ConfirmLeadership(requestedAt)
			g.deliverAll()
			Expect(leader.Status().Commit >= jointIndex).To(Equal(decided))
			Expect(leader.Status().ConfirmedAt >= requestedAt).To(Equal(decided))
			g.elapse(2 * electionTimeout)
			Expect(leader.Status().IsLeader).To(Equal(decided), "still leads after two election timeouts")
		},
		ginkgo.Entry("the other voter of both configurations is enough", true, MemberID(2)),
		ginkgo.Entry("the removed and the added voter are enough", true, MemberID(3), MemberID(4)),
		ginkgo.Entry("the removed voter is not enough", false, MemberID(3)),
		ginkgo.Entry("the added voter is not enough", false, MemberID(4)),
		ginkgo.Entry("the leader alone is not enough", false),
	)

	ginkgo.DescribeTable("a member is elected only by majorities of both configurations:",
		func(elected bool, voting ...MemberID) {
			begin(2, 3, 4)
			candidate := g.member(2)
			Expect(IsJoint(candidate.Status().Members)).To(BeTrue())
			g.expireLeaderContacts()
			leader.becomeFollower(leader.term, None)
			g.drop = func(message Message) bool {
				return !slices.Contains(voting, message.From) && !slices.Contains(voting, message.To)
			}
			g.runElection(candidate)
			Expect(candidate.Status().IsLeader).To(Equal(elected))
			Expect(candidate.term > 1).To(Equal(elected), "a candidate without pre-votes starts no new term")
		},
		ginkgo.Entry("the other voter of both configurations is enough", true, MemberID(1)),
		ginkgo.Entry("the removed and the added voter are enough", true, MemberID(3), MemberID(4)),
		ginkgo.Entry("the removed voter is not enough", false, MemberID(3)),
		ginkgo.Entry("the added voter is not enough", false, MemberID(4)),
	)

	ginkgo.It("a candidate that skips the pre-vote needs votes of both configurations too", func() {
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

	ginkgo.It("a new leader proposes the final membership only after it has committed an entry of its own term", func() {
		begin(2, 3, 4)
		g.expireLeaderContacts()
		g.drop = ofKind(MessageAppendResponse)
		candidate := g.member(2)
		candidate.commitUpTo(candidate.memberships.newestIndex())
		leader.becomeFollower(leader.term, None)
		g.runElection(candidate)
		Expect(candidate.Status().IsLeader).To(BeTrue())
		Expect(candidate.Status().Commit).To(BeNumerically(">=", candidate.memberships.newestIndex()))
		candidate.Tick(g.now)
		Expect(IsJoint(candidate.Status().Members)).To(BeTrue())
	})

	ginkgo.It("the earlier membership is effective again once the joint one is truncated", func() {
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

	ginkgo.It("the joint membership is effective again once the final one is truncated", func() {
		begin(2, 3, 4)
		jointIndex := leader.log.last()
		leader.peer(2).match = jointIndex
		leader.advanceCommit()
		leader.finishJointChange()
		Expect(leader.Status().Members).To(Equal(next))
		replacing := []Entry{{Term: 2, Index: jointIndex + 1, Kind: EntryEmpty}}
		leader.Step(Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, Index: jointIndex, LogTerm: 1, Entries: replacing}, g.now)
		Expect(leader.log.last()).To(Equal(jointIndex + 1))
		Expect(leader.Status().Members).To(ConsistOf(jointReplacing3By4()))
		Expect(leader.Status().ChangePending).To(BeTrue())
	})

	ginkgo.It("restarted members read the joint membership from the log and finish the change", func() {
		begin(2, 3, 4)
		for _, id := range []MemberID{1, 2, 4} {
			restarted := g.restart(id, &Snapshot{Members: first})
			Expect(restarted.Status().Members).To(ConsistOf(jointReplacing3By4()))
		}
		g.drop = fromOrTo(3)
		g.elect(2)
		Expect(g.member(2).Status().ChangePending).To(BeFalse())
		Expect(g.member(1).Status().Members).To(Equal(next))
	})

	ginkgo.It("a snapshot contains the joint membership, and a member that restarts from it finishes the change", func() {
		begin(2, 3, 4)
		jointIndex := leader.log.last()
		g.drop = ofKind(MessageAppendResponse)
		leader.peer(2).match = jointIndex
		leader.advanceCommit()
		Expect(leader.Status().Commit).To(Equal(jointIndex))
		g.processOutput(leader)
		Expect(leader.MembersAt(jointIndex)).To(ConsistOf(jointReplacing3By4()))
		Expect(leader.MembersAt(jointIndex - 1)).To(Equal(first))
		leader.Compact(jointIndex)
		Expect(leader.MembersAt(jointIndex)).To(ConsistOf(jointReplacing3By4()))

		snapshot := &Snapshot{Index: jointIndex, Term: leader.term, Members: leader.MembersAt(jointIndex)}
		restarted := g.restart(1, snapshot)
		Expect(restarted.Status().Members).To(ConsistOf(jointReplacing3By4()))
		Expect(restarted.Status().ChangePending).To(BeTrue())
		g.drop = fromOrTo(3)
		g.elect(1)
		Expect(g.member(1).Status().ChangePending).To(BeFalse())
		Expect(g.member(4).Status().Members).To(Equal(next))
	})

	ginkgo.It("a member that receives a snapshot uses the joint membership in it", func() {
		begin(2, 3)
		jointIndex := leader.log.last()
		leader.peer(2).match = jointIndex
		leader.advanceCommit()
		g.processOutput(leader)
		leader.Compact(jointIndex)
		leader.peer(4).becomeSnapshot()
		leader.peer(4).hasResponded = true
		g.drop = func(message Message) bool { return message.To == 2 || message.To == 3 }
		leader.SendSnapshot(g.now, 4, Snapshot{Index: jointIndex, Term: leader.term, Data: make([]byte, 25)})
		g.deliverAll()
		Expect(g.member(4).installed.Members).To(ConsistOf(jointReplacing3By4()))
		Expect(isVoter(g.member(4).Status().Members, 4)).To(BeTrue())
	})

	ginkgo.It("the leadership is not transferred to the voter that the change removes", func() {
		begin(2, 3, 4)
		Expect(leader.TransferLeadership(g.now, 3)).To(MatchError(ErrUnknownMember))
		Expect(leader.Status().Transferee).To(Equal(None))
	})

	ginkgo.It("a leadership transfer delays the final membership, which the new leader proposes", func() {
		begin(2, 3, 4)
		Expect(leader.TransferLeadership(g.now, 2)).To(Succeed())
		g.drop = fromOrTo(3)
		g.elapse(3 * heartbeatInterval)
		Expect(g.member(2).Status().Ready).To(BeTrue())
		Expect(g.member(2).Status().ChangePending).To(BeFalse())
		Expect(leader.Status().Members).To(Equal(next))
	})

	ginkgo.It("a leadership transfer that failed delays the final membership no longer", func() {
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

var _ = ginkgo.Describe("a leader that a joint change removes", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader = g.elect(1)
	})

	ginkgo.It("leads until the others have committed the final membership, and another member leads soon after", func() {
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

	ginkgo.It("does not count itself in the incoming configuration: both of its two voters are needed", func() {
		g.drop = from(3)
		Expect(leader.ProposeMembers(g.now, memberList(2, 3))).To(Succeed())
		g.deliverAll()
		before := leader.Status().Commit
		g.now += heartbeatInterval
		requestedAt := g.now
		leader.ConfirmLeadership(requestedAt)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(before))
		Expect(leader.Status().ConfirmedAt).To(BeNumerically("<", requestedAt))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(BeNumerically(">", before))
	})

	ginkgo.It("does not count itself as a voter of the final membership", func() {
		jointIndex := uint64(0)
		g.drop = func(message Message) bool { return message.Kind == MessageAppendResponse && message.Index > jointIndex }
		jointIndex = leader.log.last() + 1
		Expect(leader.ProposeMembers(g.now, memberList(2, 3, 4))).To(Succeed())
		g.deliverAll()
		Expect(leader.Status().Commit).To(Equal(jointIndex))
		g.drop = from(3, 4)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(jointIndex))
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.drop = fromOrTo(4)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
	})
})

// The first two specs guard against a group that never has a leader again. Either the only member with the newest log does not
// campaign, because that log has a membership without it. Or a learner has the newest log: it does not campaign either, and it
// denies its vote to the other members.
var _ = ginkgo.Describe("a group remains available", func() {
	ginkgo.It("if only a restarted leader that removed itself has the newest log", func() {
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

	ginkgo.DescribeTable("if a leader's disk is lost while another member's log makes the learner a voter",
		func(next []Member) {
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
			g.runElection(other)
			Expect(other.Status().IsLeader).To(BeTrue())
			Expect(other.Status().Ready).To(BeFalse())

			g.drop = fromOrTo(2) // its disk is lost
			g.elapse(8 * electionTimeout)
			Expect(g.countReady(1, 3, 4)).To(Equal(1))
		},
		ginkgo.Entry("by a joint change", memberList(2, 3, 4)),
		ginkgo.Entry("by a simple change", memberList(1, 2, 3, 4)),
	)

	ginkgo.It("if each configuration of a joint membership has a single voter, neither of which leads alone", func() {
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
