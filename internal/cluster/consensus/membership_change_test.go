package consensus

import (
	"encoding/hex"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// changeKind is how a change of the membership begins.
type changeKind int

const (
	refusedChange changeKind = iota
	simpleChange
	jointChange
)

var _ = ginkgo.DescribeTable("how voters 1 to 3 and learner 4 become another membership",
	func(next []Member, expected changeKind) {
		present := append(memberList(1, 2, 3), learner(4))
		first, err := FirstStep(present, next)
		if expected == refusedChange {
			Expect(err).To(MatchError(ErrChangeRefused))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(IsJoint(first)).To(Equal(expected == jointChange))
		Expect(FinalMembers(first)).To(ConsistOf(next))
		if expected == simpleChange {
			Expect(first).To(Equal(next))
			return
		}
		Expect(votersOf(first, outgoingConfig)).To(ConsistOf(MemberID(1), MemberID(2), MemberID(3)))
		Expect(votersOf(first, incomingConfig)).To(ConsistOf(votersOf(next, incomingConfig)))
	},
	ginkgo.Entry("a voter more", append(memberList(1, 2, 3, 5), learner(4)), simpleChange),
	ginkgo.Entry("a voter less", append(memberList(1, 3), learner(4)), simpleChange),
	ginkgo.Entry("a learner more", append(memberList(1, 2, 3), learner(4), learner(5)), simpleChange),
	ginkgo.Entry("a learner less", memberList(1, 2, 3), simpleChange),
	ginkgo.Entry("a learner promoted", memberList(1, 2, 3, 4), simpleChange),
	ginkgo.Entry("a voter demoted", append(memberList(1, 2), learner(3), learner(4)), simpleChange),
	ginkgo.Entry("an address changed", append(memberList(1, 2), Member{ID: 3, Address: "a"}, learner(4)), simpleChange),
	ginkgo.Entry("another order", append([]Member{learner(4), {ID: 5}}, memberList(3, 2, 1)...), simpleChange),
	ginkgo.Entry("two learners more", append(memberList(1, 2, 3), learner(4), learner(5), learner(6)), simpleChange),
	ginkgo.Entry("a voter less and another learner", append(memberList(1, 2), learner(5)), simpleChange),
	ginkgo.Entry("nothing", append(memberList(1, 2, 3), learner(4)), refusedChange),
	ginkgo.Entry("nothing, in another order", append([]Member{learner(4)}, memberList(3, 2, 1)...), refusedChange),
	ginkgo.Entry("a voter replaced by a new member", append(memberList(1, 2, 5), learner(4)), jointChange),
	ginkgo.Entry("a voter replaced by the learner", memberList(1, 2, 4), jointChange),
	ginkgo.Entry("a voter and the learner in each other's place", append(memberList(1, 2, 4), learner(3)), jointChange),
	ginkgo.Entry("two voters more", append(memberList(1, 2, 3, 5, 6), learner(4)), jointChange),
	ginkgo.Entry("two voters less", append(memberList(1), learner(4)), jointChange),
	ginkgo.Entry("two voters demoted", append(memberList(1), learner(2), learner(3), learner(4)), jointChange),
	ginkgo.Entry("all voters replaced", memberList(5, 6, 7), jointChange),
	ginkgo.Entry("a voter replaced and an address changed", append(memberList(1, 4), Member{ID: 2, Address: "a"}), jointChange),
	ginkgo.Entry("a member twice", append(memberList(1, 2, 3, 3), learner(4)), refusedChange),
	ginkgo.Entry("nobody's identity", append(memberList(1, 2, 3, None), learner(4)), refusedChange),
	ginkgo.Entry("no member", []Member{}, refusedChange),
	ginkgo.Entry("no voter", []Member{learner(1), learner(4)}, refusedChange),
	ginkgo.Entry("a joint membership", append(memberList(1, 2), Member{ID: 3, Transition: TransitionRemoved}), refusedChange),
)

// votersOf returns the voters of one configuration.
func votersOf(members []Member, configuration configSet) []MemberID {
	var voters []MemberID
	for _, member := range members {
		if member.votesIn()&configuration != 0 {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// threeToFour returns the joint membership in which voter 4 replaces voter 3.
func threeToFour() []Member {
	return jointMembers(append(memberList(1, 2, 3), learner(4)), memberList(1, 2, 4))
}

var _ = ginkgo.DescribeTable("who decides while voter 4 replaces voter 3",
	func(expected bool, ids ...MemberID) {
		said := voteTally{granted: ids}
		Expect(HasQuorum(threeToFour(), said.grantedBy)).To(Equal(expected))
	},
	ginkgo.Entry("both that stay", true, MemberID(1), MemberID(2)),
	ginkgo.Entry("one that stays, with the old and the new one", true, MemberID(1), MemberID(3), MemberID(4)),
	ginkgo.Entry("all", true, MemberID(1), MemberID(2), MemberID(3), MemberID(4)),
	ginkgo.Entry("a majority of the outgoing voters only", false, MemberID(1), MemberID(3)),
	ginkgo.Entry("a majority of the incoming voters only", false, MemberID(2), MemberID(4)),
	ginkgo.Entry("the old and the new one", false, MemberID(3), MemberID(4)),
	ginkgo.Entry("one that stays, with strangers", false, MemberID(1), MemberID(8), MemberID(9)),
	ginkgo.Entry("nobody", false),
)

var _ = ginkgo.Describe("memberships written before there were joint ones", func() {
	// The data of a membership entry as a version without joint memberships encoded it.
	const written = "0dff81020102ff820001ff800000447f030101064d656d62657201ff800001050102494401060001044e6f6465010c0001045a" +
		"6f6e65010c00010741646472657373010c0001074c6561726e6572010200000062ff82000301010106636f72652d31010161010d31302e30" +
		"2e302e313a373030300001020106636f72652d32010162010d31302e302e302e323a373030300001f880000000000000000106636f72652d" +
		"33020d31302e302e302e333a37303030010100"
	members := []Member{
		{ID: 1, Node: "core-1", Zone: "a", Address: "10.0.0.1:7000"},
		{ID: 2, Node: "core-2", Zone: "b", Address: "10.0.0.2:7000"},
		{ID: 1 << 63, Node: "core-3", Address: "10.0.0.3:7000", Learner: true},
	}

	ginkgo.It("are read unchanged", func() {
		data, err := hex.DecodeString(written)
		Expect(err).NotTo(HaveOccurred())
		read, err := DecodeMembers(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(members))
		Expect(IsJoint(read)).To(BeFalse())
	})

	ginkgo.It("and joint ones come back as they were written", func() {
		data, err := EncodeMembers(threeToFour())
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeMembers(data)).To(Equal(threeToFour()))
	})
})

var _ = ginkgo.Describe("a joint change of the membership", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(append(memberList(1, 2, 3), learner(4))...)
		leader = g.elect(1)
	})

	ginkgo.It("replaces a lost voter in one change", func() {
		g.drop = fromOrTo(3)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 4))).To(Succeed())
		Expect(leader.Status().ChangePending).To(BeTrue())
		Expect(leader.Status().Members).To(ConsistOf(threeToFour()))
		g.deliverAll()
		Expect(leader.Status().ChangePending).To(BeFalse())
		for _, id := range []MemberID{1, 2, 4} {
			Expect(g.member(id).Status().Members).To(Equal(memberList(1, 2, 4)), "member %d", id)
		}
	})

	ginkgo.It("admits no other change before the final membership is committed", func() {
		refusesAnother := func() {
			Expect(leader.Status().ChangePending).To(BeTrue())
			Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(MatchError(ErrChangePending))
		}
		g.drop = ofKind(MessageAppendResponse)
		Expect(leader.ProposeMembers(g.now, memberList(1, 2, 4))).To(Succeed())
		g.deliverAll()
		refusesAnother()

		// The joint entry is committed, and the final one appended.
		joined := leader.log.last()
		g.drop = func(message Message) bool { return message.Kind == MessageAppendResponse && message.Index > joined }
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().Commit).To(Equal(joined))
		Expect(leader.Status().Members).To(Equal(memberList(1, 2, 4)))
		refusesAnother()

		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().ChangePending).To(BeFalse())
		Expect(leader.ProposeMembers(g.now, memberList(1, 2))).To(Succeed())
	})
})
