package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// seen returns a member as a leader sees it.
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

// viewTime is the time of the review, at the leader.
const viewTime = time.Hour

// learning returns a learner that had on disk at that age all that was committed.
func learning(m memberView, age time.Duration) memberView {
	m.Learner = true
	m.replicationAge = age
	return m
}

// reached returns a member that has answered something that the leader sent so long ago.
func reached(m memberView, ago time.Duration) memberView {
	m.reachedAt = viewTime - ago
	return m
}

// ghost returns a member that seems to answer, by answers that arrive late.
func ghost(m memberView) memberView {
	m.sinceReached = time.Minute
	return m
}

// at returns a member at another address.
func at(m memberView, address string) memberView {
	m.Address, m.currentAddress = address, address
	return m
}

// moved returns a member that was elsewhere until so long ago.
func moved(m memberView, ago time.Duration) memberView {
	m.addressSince = viewTime - ago
	return m
}

// youngTerm returns a member that has owed a new leader answers for a second.
func youngTerm(m memberView) memberView {
	m.sinceAnswer = time.Second
	return m
}

func avoiding(m memberView) memberView {
	m.avoidsLeadership = true
	return m
}

func claim(id consensus.MemberID, node string) consensus.Member {
	return seen(id, node, 0).Member
}

var _ = Describe("planMembership", func() {
	const now, soon, long = 50 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second
	three := func(third time.Duration) []memberView {
		return []memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", third)}
	}
	// votes lists the voters of a plan, and learners as negative numbers.
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

	DescribeTable("decides on one change",
		func(members []memberView, joiners []consensus.Member, expected []int) {
			plan := planMembership(membershipView{self: members[0].Member, members: members, joiners: joiners})
			Expect(votes(plan)).To(Equal(expected))
		},
		Entry("none when all members are alive", three(now), nil, nil),
		Entry("none for an unresponsive voter without a replacement", three(long), nil, nil),
		Entry("a joiner becomes a learner",
			three(now), []consensus.Member{claim(4, "d")}, []int{1, 2, 3, -4}),
		Entry("one of two joiners",
			three(now), []consensus.Member{claim(4, "d"), claim(5, "e")}, []int{1, 2, 3, -4}),
		Entry("a member's request changes nothing",
			three(now), []consensus.Member{claim(2, "b")}, nil),
		Entry("a member's new address is adopted",
			three(now), []consensus.Member{{ID: 2, Node: "b", Zone: "z", Address: "elsewhere"}}, []int{1, 2, 3}),
		Entry("a learner that has caught up votes",
			append(three(now), learning(seen(4, "d", now), now)), nil, []int{1, 2, 3, 4}),
		Entry("one that has not caught up does not",
			append(three(now), learning(seen(4, "d", now), maxCaughtUpAge+1)), nil, nil),
		Entry("one that is unresponsive does not",
			append(three(now), learning(seen(4, "d", soon), 0)), nil, nil),
		Entry("one that has acknowledged nothing does not",
			append(three(now), learning(seen(4, "d", now), unknownDuration)), nil, nil),

		Entry("no voter of four is dropped for a learner of its machine whose answers come late",
			append(three(now), seen(5, "d", soon-1), ghost(at(learning(seen(4, "d", now), unknownDuration), "elsewhere"))), nil, nil),
		Entry("one is for a learner of its machine that answers",
			append(three(now), seen(5, "d", soon-1), at(learning(seen(4, "d", now), unknownDuration), "elsewhere")), nil, []int{1, 2, 3, -4}),

		Entry("a wiped voter is replaced as soon as another identity answers at its address",
			append(three(2*now), reached(learning(seen(4, "c", now), 0), now)), nil, []int{1, 2, 4}),
		Entry("but not for an answer to what was sent before the last contact with it",
			append(three(now), reached(learning(seen(4, "c", now), 0), 2*now)), nil, nil),
		Entry("nor to what was sent in the same moment",
			append(three(now), reached(learning(seen(4, "c", now), 0), now)), nil, nil),
		Entry("nor to what was sent while the other was elsewhere",
			append(three(3*now), moved(reached(learning(at(seen(4, "d", now), "c:1"), 0), 2*now), now)), nil, nil),
		Entry("nor to a successor that has not caught up",
			append(three(long), reached(learning(seen(4, "c", now), unknownDuration), now)), nil, nil),
		Entry("nor to one that has stopped answering",
			append(three(long), reached(learning(seen(4, "c", soon), 0), soon)), nil, nil),
		Entry("nor if the voter has moved to another address",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now), at(seen(3, "c", 2*now), "elsewhere:1")},
				reached(learning(at(seen(4, "d", now), "c:1"), 0), now)), nil, []int{1, 2, 3, 4}),
		Entry("at another address the machine's name alone is no proof: the successor waits while there is contact with the voter",
			append(three(now), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, nil),
		Entry("and then replaces it",
			append(three(soon), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, []int{1, 2, 4}),

		Entry("a voter that is unresponsive for a short time is kept",
			append(three(soon), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 3, 4}),
		Entry("one that is unresponsive for long is replaced",
			append(three(long), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 4}),
		Entry("also in a young term, if its process has had no contact with it for long",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now)}, youngTerm(seen(3, "c", long)), learning(seen(4, "d", now), 0)),
			nil, []int{1, 2, 4}),
		Entry("one that avoids leadership is replaced at once",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 4}),
		Entry("one that avoids leadership rather than one that is unresponsive",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				learning(seen(6, "f", now), 0)}, nil, []int{1, 2, 4, 5, 6}),
		Entry("the one whose machine it has rather than one that avoids leadership",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), avoiding(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				reached(learning(seen(6, "e", now), 0), now)}, nil, []int{1, 2, 3, 4, 6}),
		Entry("only one voter is replaced by one learner",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", now), seen(5, "e", long), seen(6, "f", long+1),
				learning(seen(4, "d", now), 0)}, nil, []int{1, 2, 3, 5, 4}),
		Entry("none is replaced when the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("the leader itself is never replaced",
			[]memberView{seen(1, "a", long), seen(2, "b", now), seen(3, "c", now), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("a learner that is unresponsive for long is dropped",
			append(three(now), learning(seen(4, "d", 31*time.Second), 0)), nil, []int{1, 2, 3}),
		Entry("a request of its machine's next identity adds that beside it",
			append(three(now), learning(seen(4, "d", soon), 0)), []consensus.Member{claim(5, "d")}, []int{1, 2, 3, -4, -5}),
		Entry("and once that answers the learner is dropped",
			append(three(now), learning(seen(4, "d", 2*now), 0), reached(learning(seen(5, "d", now), unknownDuration), now)),
			[]consensus.Member{claim(6, "e")}, []int{1, 2, 3, -5}),
		Entry("a voter that is gone for good is dropped if three remain",
			append(three(now), seen(4, "d", 61*time.Second)), nil, []int{1, 2, 3}),
		Entry("also one of five",
			append(three(now), seen(4, "d", now), seen(5, "e", 61*time.Second)), nil, []int{1, 2, 3, 4}),
		Entry("not before",
			append(three(now), seen(4, "d", now), seen(5, "e", 59*time.Second)), nil, nil),
		Entry("not if fewer remain", three(61*time.Second), nil, nil),
		Entry("of an even number one that is unresponsive is dropped soon",
			append(three(soon), seen(4, "d", now)), nil, []int{1, 2, 4}),
		Entry("or that avoids leadership",
			append(three(now), avoiding(seen(4, "d", now))), nil, []int{1, 2, 3}),
		Entry("but not for a second without an answer",
			append(three(time.Second), seen(4, "d", now)), nil, nil),
		Entry("nor if the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), seen(4, "d", long)}, nil, nil),
		Entry("of an odd number none is dropped",
			append(three(soon), seen(4, "d", now), avoiding(seen(5, "e", now))), nil, nil),
		Entry("nor of two", []memberView{seen(1, "a", 0), seen(2, "b", long)}, nil, nil),
		Entry("a learner that avoids leadership does not vote",
			append(three(now), learning(avoiding(seen(4, "d", now)), 0)), nil, nil),
		Entry("a voter whose machine votes under another identity is dropped soon",
			append(three(soon), reached(seen(4, "c", now), now)), nil, []int{1, 2, 4}),
	)

	It("counts a member as alive only after contact with it, however young the term", func() {
		members := append(three(now), learning(seen(4, "d", now), 0))
		members[1].sinceAnswer, members[1].sinceContact = now, long
		members[2].sinceAnswer, members[2].sinceContact = long, long
		plan := planMembership(membershipView{self: members[0].Member, members: members})
		Expect(votes(plan)).To(Equal([]int{1, 2, 3, 4}))
	})
})
