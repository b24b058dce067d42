package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// seen returns the leader's view of a voter that has been unresponsive for some time.
func seen(id consensus.MemberID, node string, unresponsive time.Duration) memberView {
	address := node + ":1"
	return memberView{
		Member:         consensus.Member{ID: id, Node: node, Zone: "z", Address: address},
		sinceAnswer:    unresponsive,
		sinceContact:   unresponsive,
		currentAddress: address,
		lastContact:    viewTime - unresponsive,
	}
}

// viewTime is the leader's time of the review.
const viewTime = time.Hour

// learning makes a member a learner with this replicationAge.
func learning(m memberView, age time.Duration) memberView {
	m.Learner = true
	m.replicationAge = age
	return m
}

// reached sets how long ago the leader sent the newest message that a member has answered.
func reached(m memberView, ago time.Duration) memberView {
	m.reachedAt = viewTime - ago
	return m
}

// answersLate makes a member's responses late: they arrived recently, but answer messages that the leader sent a minute
// ago.
func answersLate(m memberView) memberView {
	m.sinceReached = time.Minute
	return m
}

// at moves a member to another address.
func at(m memberView, address string) memberView {
	m.Address, m.currentAddress = address, address
	return m
}

// moved sets how long ago a member's current address became known.
func moved(m memberView, ago time.Duration) memberView {
	m.addressSince = viewTime - ago
	return m
}

// youngTerm makes the leader's term start a second ago, without a response from the member since then.
func youngTerm(m memberView) memberView {
	m.sinceAnswer = time.Second
	return m
}

// avoiding makes a member avoid leadership.
func avoiding(m memberView) memberView {
	m.avoidsLeadership = true
	return m
}

// joinRequest returns the member in a request to join.
func joinRequest(id consensus.MemberID, node string) consensus.Member {
	return seen(id, node, 0).Member
}

var _ = Describe("planMembership", func() {
	const now, soon, long = 50 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second
	three := func(third time.Duration) []memberView {
		return []memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", third)}
	}
	// votes lists the IDs of a plan's members, with negative IDs for learners; nil if no change is due.
	votes := func(plan membershipPlan) []int {
		var list []int
		for _, member := range plan.members {
			if member.Learner {
				list = append(list, -int(member.ID))
			} else {
				list = append(list, int(member.ID))
			}
		}
		return list
	}

	// Each entry has the members as the leader sees them, the requests to join, and the members after the change; nil if no
	// change is due. Member 1 is the leader. now, soon and long state how long a member has been unresponsive.
	DescribeTable("plans one change:",
		func(members []memberView, joiners []consensus.Member, expected []int) {
			plan := planMembership(membershipView{self: members[0].Member, members: members, joiners: joiners})
			Expect(votes(plan)).To(Equal(expected))
		},
		Entry("no change when all members are alive", three(now), nil, nil),
		Entry("no change for an unresponsive voter without a replacement", three(long), nil, nil),
		Entry("a process that requests to join becomes a learner",
			three(now), []consensus.Member{joinRequest(4, "d")}, []int{1, 2, 3, -4}),
		Entry("one of two processes that request to join becomes a learner",
			three(now), []consensus.Member{joinRequest(4, "d"), joinRequest(5, "e")}, []int{1, 2, 3, -4}),
		Entry("a member's request with the same data changes nothing",
			three(now), []consensus.Member{joinRequest(2, "b")}, nil),
		Entry("a member's new address is adopted",
			three(now), []consensus.Member{{ID: 2, Node: "b", Zone: "z", Address: "elsewhere"}}, []int{1, 2, 3}),
		Entry("a learner that has caught up becomes a voter",
			append(three(now), learning(seen(4, "d", now), now)), nil, []int{1, 2, 3, 4}),
		Entry("a learner that has not caught up does not become a voter",
			append(three(now), learning(seen(4, "d", now), maxCaughtUpAge+1)), nil, nil),
		Entry("a learner that is unresponsive does not become a voter",
			append(three(now), learning(seen(4, "d", soon), 0)), nil, nil),
		Entry("a learner that has acknowledged nothing does not become a voter",
			append(three(now), learning(seen(4, "d", now), unknownDuration)), nil, nil),

		Entry("a voter of four is not dropped for a learner with its machine's name whose responses come late",
			append(three(now), seen(5, "d", soon-1), answersLate(at(learning(seen(4, "d", now), unknownDuration), "elsewhere"))), nil, nil),
		Entry("a voter of four is dropped for a learner with its machine's name that responds to recent messages",
			append(three(now), seen(5, "d", soon-1), at(learning(seen(4, "d", now), unknownDuration), "elsewhere")), nil, []int{1, 2, 3, -4}),

		Entry("a wiped voter is replaced as soon as another member responds at its address",
			append(three(2*now), reached(learning(seen(4, "c", now), 0), now)), nil, []int{1, 2, 4}),
		Entry("a voter is not replaced for a response to a message sent before the last contact with the voter",
			append(three(now), reached(learning(seen(4, "c", now), 0), 2*now)), nil, nil),
		Entry("a voter is not replaced for a response to a message sent at the time of the last contact with the voter",
			append(three(now), reached(learning(seen(4, "c", now), 0), now)), nil, nil),
		Entry("a voter is not replaced for a response to a message sent while the other was at another address",
			append(three(3*now), moved(reached(learning(at(seen(4, "d", now), "c:1"), 0), 2*now), now)), nil, nil),
		Entry("a voter is not replaced by a successor that has not caught up",
			append(three(long), reached(learning(seen(4, "c", now), unknownDuration), now)), nil, nil),
		Entry("a voter is not replaced by a successor that has become unresponsive",
			append(three(long), reached(learning(seen(4, "c", soon), 0), soon)), nil, nil),
		Entry("a voter that has moved to another address is not replaced by a learner at its old one",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now), at(seen(3, "c", 2*now), "elsewhere:1")},
				reached(learning(at(seen(4, "d", now), "c:1"), 0), now)), nil, []int{1, 2, 3, 4}),
		Entry("a learner with a voter's machine's name at another address waits while there is contact with the voter",
			append(three(now), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, nil),
		Entry("a learner with a voter's machine's name at another address replaces the voter once that is unresponsive",
			append(three(soon), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, []int{1, 2, 4}),

		Entry("a voter that is unresponsive for a short time keeps its vote when a learner becomes a voter",
			append(three(soon), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 3, 4}),
		Entry("a voter that is unresponsive for long is replaced",
			append(three(long), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 4}),
		Entry("a voter is replaced in a young term too, if the last contact with it was long ago",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now)}, youngTerm(seen(3, "c", long)), learning(seen(4, "d", now), 0)),
			nil, []int{1, 2, 4}),
		Entry("a voter that avoids leadership is replaced at once",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 4}),
		Entry("a voter that avoids leadership is replaced rather than one that is unresponsive",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				learning(seen(6, "f", now), 0)}, nil, []int{1, 2, 4, 5, 6}),
		Entry("the voter whose address the learner has is replaced rather than one that avoids leadership",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				reached(learning(seen(6, "e", now), 0), now)}, nil, []int{1, 2, 3, 4, 6}),
		Entry("only one voter is replaced by one learner",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", now), seen(5, "e", long), seen(6, "f", long+1),
				learning(seen(4, "d", now), 0)}, nil, []int{1, 2, 3, 5, 4}),
		Entry("no voter is replaced if the voters alive have no quorum; the learner becomes a voter",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("the leader is not replaced",
			[]memberView{seen(1, "a", long), seen(2, "b", now), seen(3, "c", now), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("a learner that is unresponsive for long is dropped",
			append(three(now), learning(seen(4, "d", 31*time.Second), 0)), nil, []int{1, 2, 3}),
		Entry("a process on the machine of an unresponsive learner becomes a learner, too",
			append(three(now), learning(seen(4, "d", soon), 0)), []consensus.Member{joinRequest(5, "d")}, []int{1, 2, 3, -4, -5}),
		Entry("a learner is dropped once another learner responds at its address",
			append(three(now), learning(seen(4, "d", 2*now), 0), reached(learning(seen(5, "d", now), unknownDuration), now)),
			[]consensus.Member{joinRequest(6, "e")}, []int{1, 2, 3, -5}),
		Entry("a voter of four that has been unresponsive for a minute is dropped",
			append(three(now), seen(4, "d", 61*time.Second)), nil, []int{1, 2, 3}),
		Entry("a voter of five that has been unresponsive for a minute is dropped",
			append(three(now), seen(4, "d", now), seen(5, "e", 61*time.Second)), nil, []int{1, 2, 3, 4}),
		Entry("a voter of five that has been unresponsive for less than a minute is not dropped",
			append(three(now), seen(4, "d", now), seen(5, "e", 59*time.Second)), nil, nil),
		Entry("a voter of three that has been unresponsive for a minute is not dropped", three(61*time.Second), nil, nil),
		Entry("a voter of four that is unresponsive for 1.5 s is dropped",
			append(three(soon), seen(4, "d", now)), nil, []int{1, 2, 4}),
		Entry("a voter of four that avoids leadership is dropped",
			append(three(now), avoiding(seen(4, "d", now))), nil, []int{1, 2, 3}),
		Entry("a voter of four that is unresponsive for a second is not dropped",
			append(three(time.Second), seen(4, "d", now)), nil, nil),
		Entry("a voter of four is not dropped if the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), seen(4, "d", long)}, nil, nil),
		Entry("a voter of five that is unresponsive for 1.5 s or avoids leadership is not dropped",
			append(three(soon), seen(4, "d", now), avoiding(seen(5, "e", now))), nil, nil),
		Entry("a voter of two is not dropped", []memberView{seen(1, "a", 0), seen(2, "b", long)}, nil, nil),
		Entry("a learner that avoids leadership does not become a voter",
			append(three(now), learning(avoiding(seen(4, "d", now)), 0)), nil, nil),
		Entry("a voter of four is dropped if another voter responds at its address",
			append(three(soon), reached(seen(4, "c", now), now)), nil, []int{1, 2, 4}),
	)

	It("does not count a member as alive without recent contact, although its last response is recent", func() {
		members := append(three(now), learning(seen(4, "d", now), 0))
		members[1].sinceAnswer, members[1].sinceContact = now, long
		members[2].sinceAnswer, members[2].sinceContact = long, long
		plan := planMembership(membershipView{self: members[0].Member, members: members})
		Expect(votes(plan)).To(Equal([]int{1, 2, 3, 4}))
	})
})
