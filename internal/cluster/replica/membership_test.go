package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

// seen makes a member as a leader sees it.
func seen(id consensus.MemberID, node string, silent time.Duration) memberView {
	address := node + ":1"
	return memberView{
		Member:         consensus.Member{ID: id, Node: node, Zone: "z", Address: address},
		sinceAnswer:    silent,
		sinceContact:   silent,
		currentAddress: address,
		lastContact:    viewTime - silent,
	}
}

// viewTime is when a leader looks, by its own time.
const viewTime = time.Hour

// learning is a member that does not vote, and held on disk at that age all that was committed.
func learning(m memberView, age time.Duration) memberView {
	m.Learner = true
	m.replicationAge = age
	return m
}

// reached is a member that has answered something that the leader sent so long ago.
func reached(m memberView, ago time.Duration) memberView {
	m.reachedAt = viewTime - ago
	return m
}

// ghost is a member that seems to answer, by answers that come late.
func ghost(m memberView) memberView {
	m.sinceReached = time.Minute
	return m
}

// receivedAt is a member that is elsewhere.
func at(m memberView, address string) memberView {
	m.Address, m.currentAddress = address, address
	return m
}

// moved is a member that was elsewhere until so long ago.
func moved(m memberView, ago time.Duration) memberView {
	m.addressSince = viewTime - ago
	return m
}

// youngTerm is a member that has owed a new leader answers for a second.
func youngTerm(m memberView) memberView {
	m.sinceAnswer = time.Second
	return m
}

func leaving(m memberView) memberView {
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
		Entry("none when all is well", three(now), nil, nil),
		Entry("none for a voter that is away while nobody can take its place", three(long), nil, nil),
		Entry("a joiner becomes a learner",
			three(now), []consensus.Member{claim(4, "d")}, []int{1, 2, 3, -4}),
		Entry("of two joiners one",
			three(now), []consensus.Member{claim(4, "d"), claim(5, "e")}, []int{1, 2, 3, -4}),
		Entry("a member's wish changes nothing",
			three(now), []consensus.Member{claim(2, "b")}, nil),
		Entry("a member's new address is taken over",
			three(now), []consensus.Member{{ID: 2, Node: "b", Zone: "z", Address: "elsewhere"}}, []int{1, 2, 3}),
		Entry("a learner that has caught up votes",
			append(three(now), learning(seen(4, "d", now), now)), nil, []int{1, 2, 3, 4}),
		Entry("one that has not does not",
			append(three(now), learning(seen(4, "d", now), maxCaughtUpAge+1)), nil, nil),
		Entry("one that is silent does not",
			append(three(now), learning(seen(4, "d", soon), 0)), nil, nil),
		Entry("one that has acknowledged nothing does not",
			append(three(now), learning(seen(4, "d", now), unknownDuration)), nil, nil),

		Entry("no voter of four is dropped for a learner of its machine whose answers come late",
			append(three(now), seen(5, "d", soon-1), ghost(at(learning(seen(4, "d", now), unknownDuration), "elsewhere"))), nil, nil),
		Entry("one is for a learner of its machine that answers",
			append(three(now), seen(5, "d", soon-1), at(learning(seen(4, "d", now), unknownDuration), "elsewhere")), nil, []int{1, 2, 3, -4}),

		Entry("a wiped voter gives its place as soon as another answers at its address",
			append(three(2*now), reached(learning(seen(4, "c", now), 0), now)), nil, []int{1, 2, 4}),
		Entry("but not for an answer to what was sent before it was last heard",
			append(three(now), reached(learning(seen(4, "c", now), 0), 2*now)), nil, nil),
		Entry("nor to what was sent in the same moment",
			append(three(now), reached(learning(seen(4, "c", now), 0), now)), nil, nil),
		Entry("nor to what was sent while the other was elsewhere",
			append(three(3*now), moved(reached(learning(at(seen(4, "d", now), "c:1"), 0), 2*now), now)), nil, nil),
		Entry("nor to a successor that has not caught up",
			append(three(long), reached(learning(seen(4, "c", now), unknownDuration), now)), nil, nil),
		Entry("nor to one that answers no more",
			append(three(long), reached(learning(seen(4, "c", soon), 0), soon)), nil, nil),
		Entry("nor if it has moved itself",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now), at(seen(3, "c", 2*now), "elsewhere:1")},
				reached(learning(at(seen(4, "d", now), "c:1"), 0), now)), nil, []int{1, 2, 3, 4}),
		Entry("at another address the machine's name alone is no proof: the successor waits while the voter is heard",
			append(three(now), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, nil),
		Entry("and then gets its place",
			append(three(soon), reached(learning(at(seen(4, "c", now), "new:1"), 0), 0)), nil, []int{1, 2, 4}),

		Entry("a voter that is away for short keeps its place",
			append(three(soon), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 3, 4}),
		Entry("one that is away for long loses it",
			append(three(long), learning(seen(4, "d", now), 0)), nil, []int{1, 2, 4}),
		Entry("also where a new leader has waited for it only shortly, but its process has long heard nothing of it",
			append([]memberView{seen(1, "a", 0), seen(2, "b", now)}, youngTerm(seen(3, "c", long)), learning(seen(4, "d", now), 0)),
			nil, []int{1, 2, 4}),
		Entry("one that leaves loses it at once",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), leaving(seen(3, "c", now)), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 4}),
		Entry("one that leaves rather than one that is away",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), leaving(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				learning(seen(6, "f", now), 0)}, nil, []int{1, 2, 4, 5, 6}),
		Entry("the one whose machine it has rather than one that leaves",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), leaving(seen(3, "c", now)), seen(4, "d", now), seen(5, "e", long),
				reached(learning(seen(6, "e", now), 0), now)}, nil, []int{1, 2, 3, 4, 6}),
		Entry("only one voter goes for one learner",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", now), seen(5, "e", long), seen(6, "f", long+1),
				learning(seen(4, "d", now), 0)}, nil, []int{1, 2, 3, 5, 4}),
		Entry("none goes when the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("the leader itself never goes",
			[]memberView{seen(1, "a", long), seen(2, "b", now), seen(3, "c", now), learning(seen(4, "d", now), 0)},
			nil, []int{1, 2, 3, 4}),
		Entry("a learner that is silent for long is dropped",
			append(three(now), learning(seen(4, "d", 31*time.Second), 0)), nil, []int{1, 2, 3}),
		Entry("a wish of its machine's next identity takes that in beside it",
			append(three(now), learning(seen(4, "d", soon), 0)), []consensus.Member{claim(5, "d")}, []int{1, 2, 3, -4, -5}),
		Entry("and once that answers the learner is dropped",
			append(three(now), learning(seen(4, "d", 2*now), 0), reached(learning(seen(5, "d", now), unknownDuration), now)),
			[]consensus.Member{claim(6, "e")}, []int{1, 2, 3, -5}),
		Entry("a voter that is gone for good is dropped if three remain",
			append(three(now), seen(4, "d", 61*time.Second)), nil, []int{1, 2, 3}),
		Entry("also of five",
			append(three(now), seen(4, "d", now), seen(5, "e", 61*time.Second)), nil, []int{1, 2, 3, 4}),
		Entry("not before",
			append(three(now), seen(4, "d", now), seen(5, "e", 59*time.Second)), nil, nil),
		Entry("not if fewer remain", three(61*time.Second), nil, nil),
		Entry("of an even number one that is away goes before long",
			append(three(soon), seen(4, "d", now)), nil, []int{1, 2, 4}),
		Entry("or that leaves",
			append(three(now), leaving(seen(4, "d", now))), nil, []int{1, 2, 3}),
		Entry("but not for a moment's silence",
			append(three(time.Second), seen(4, "d", now)), nil, nil),
		Entry("nor where the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), seen(4, "d", long)}, nil, nil),
		Entry("of an odd number none goes",
			append(three(soon), seen(4, "d", now), leaving(seen(5, "e", now))), nil, nil),
		Entry("nor of two", []memberView{seen(1, "a", 0), seen(2, "b", long)}, nil, nil),
		Entry("a learner that leaves does not vote",
			append(three(now), learning(leaving(seen(4, "d", now)), 0)), nil, nil),
		Entry("a voter whose machine votes as another is dropped soon",
			append(three(soon), reached(seen(4, "c", now), now)), nil, []int{1, 2, 4}),
	)

	It("counts a member as alive only if something was heard from it, however young the term", func() {
		members := append(three(now), learning(seen(4, "d", now), 0))
		members[1].sinceAnswer, members[1].sinceContact = now, long
		members[2].sinceAnswer, members[2].sinceContact = long, long
		plan := planMembership(membershipView{self: members[0].Member, members: members})
		Expect(votes(plan)).To(Equal([]int{1, 2, 3, 4}))
	})
})
