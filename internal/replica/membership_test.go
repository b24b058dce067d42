package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/consensus"
)

// seen makes a member as a leader sees it.
func seen(id consensus.MemberID, node string, silent time.Duration) memberView {
	return memberView{
		Member:  consensus.Member{ID: id, Node: node, Zone: "z", Address: node + ":1"},
		silent:  silent,
		unheard: silent,
	}
}

func learning(m memberView, behind uint64) memberView {
	m.Learner = true
	m.behind = behind
	return m
}

func leaving(m memberView) memberView {
	m.leaving = true
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
		func(members []memberView, joiners []consensus.Member, replacing int, expected []int, expectedReplacing int) {
			plan := planMembership(membershipView{
				self:      members[0].Member,
				members:   members,
				joiners:   joiners,
				replacing: consensus.MemberID(replacing),
			})
			Expect(votes(plan)).To(Equal(expected))
			Expect(plan.replacing).To(Equal(consensus.MemberID(expectedReplacing)))
		},
		Entry("none when all is well", three(now), nil, 0, nil, 0),
		Entry("none for a voter that is away while nobody can take its place", three(long), nil, 0, nil, 0),
		Entry("a joiner becomes a learner",
			three(now), []consensus.Member{claim(4, "d")}, 0, []int{1, 2, 3, -4}, 0),
		Entry("of two joiners one",
			three(now), []consensus.Member{claim(4, "d"), claim(5, "e")}, 0, []int{1, 2, 3, -4}, 0),
		Entry("a member's wish changes nothing",
			three(now), []consensus.Member{claim(2, "b")}, 0, nil, 0),
		Entry("a member's new address is taken over",
			three(now), []consensus.Member{{ID: 2, Node: "b", Zone: "z", Address: "elsewhere"}}, 0, []int{1, 2, 3}, 0),
		Entry("a learner that has caught up votes",
			append(three(now), learning(seen(4, "d", now), 3)), nil, 0, []int{1, 2, 3, 4}, 0),
		Entry("one that has not does not",
			append(three(now), learning(seen(4, "d", now), caughtUpLag+1)), nil, 0, nil, 0),
		Entry("one that is silent does not",
			append(three(now), learning(seen(4, "d", soon), 0)), nil, 0, nil, 0),
		Entry("one that has acknowledged nothing does not",
			append(three(now), learning(seen(4, "d", now), unknownLag)), nil, 0, nil, 0),
		Entry("a wiped voter goes before its successor votes",
			append(three(soon), learning(seen(4, "c", now), 0)), nil, 0, []int{1, 2, -4}, 4),
		Entry("its successor waits while it is not sure that it is wiped",
			append(three(now), learning(seen(4, "c", now), 0)), nil, 0, nil, 0),
		Entry("then the successor votes",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), learning(seen(4, "c", now), 0)}, nil, 4, []int{1, 2, 4}, 0),
		Entry("a voter that is away for short keeps its place",
			append(three(soon), learning(seen(4, "d", now), 0)), nil, 0, []int{1, 2, 3, 4}, 0),
		Entry("one that is away for long loses it",
			append(three(long), learning(seen(4, "d", now), 0)), nil, 0, []int{1, 2, -4}, 4),
		Entry("only one voter goes for one learner",
			[]memberView{seen(1, "a", 0), seen(2, "b", now), seen(3, "c", now), seen(5, "e", long),
				learning(seen(4, "d", now), 0)}, nil, 4, []int{1, 2, 3, 5, 4}, 0),
		Entry("none goes when the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), learning(seen(4, "d", now), 0)},
			nil, 0, []int{1, 2, 3, 4}, 0),
		Entry("the leader itself never goes",
			[]memberView{seen(1, "a", long), seen(2, "b", now), seen(3, "c", now), learning(seen(4, "d", now), 0)},
			nil, 0, []int{1, 2, 3, 4}, 0),
		Entry("a learner that is silent for long is dropped",
			append(three(now), learning(seen(4, "d", 31*time.Second), 0)), nil, 0, []int{1, 2, 3}, 0),
		Entry("one whose machine joins as another is dropped sooner",
			append(three(now), learning(seen(4, "d", soon), 0)), []consensus.Member{claim(5, "d")}, 0, []int{1, 2, 3}, 0),
		Entry("but not while it answers",
			append(three(now), learning(seen(4, "d", now), 99)), []consensus.Member{claim(5, "d")}, 0,
			[]int{1, 2, 3, -4, -5}, 0),
		Entry("a voter that is gone for good is dropped if three remain",
			append(three(now), seen(4, "d", 61*time.Second)), nil, 0, []int{1, 2, 3}, 0),
		Entry("also of five",
			append(three(now), seen(4, "d", now), seen(5, "e", 61*time.Second)), nil, 0, []int{1, 2, 3, 4}, 0),
		Entry("not before",
			append(three(now), seen(4, "d", now), seen(5, "e", 59*time.Second)), nil, 0, nil, 0),
		Entry("not if fewer remain", three(61*time.Second), nil, 0, nil, 0),
		Entry("of an even number one that is away goes before long",
			append(three(soon), seen(4, "d", now)), nil, 0, []int{1, 2, 4}, 0),
		Entry("or that leaves",
			append(three(now), leaving(seen(4, "d", now))), nil, 0, []int{1, 2, 3}, 0),
		Entry("but not for a moment's silence",
			append(three(time.Second), seen(4, "d", now)), nil, 0, nil, 0),
		Entry("nor where the others would have no quorum",
			[]memberView{seen(1, "a", 0), seen(2, "b", long), seen(3, "c", long), seen(4, "d", long)}, nil, 0, nil, 0),
		Entry("of an odd number none goes",
			append(three(soon), seen(4, "d", now), leaving(seen(5, "e", now))), nil, 0, nil, 0),
		Entry("nor of two", []memberView{seen(1, "a", 0), seen(2, "b", long)}, nil, 0, nil, 0),
		Entry("a learner that leaves does not vote",
			append(three(now), learning(leaving(seen(4, "d", now)), 0)), nil, 0, nil, 0),
		Entry("a voter whose machine votes as another is dropped soon",
			append(three(soon), seen(4, "c", now)), nil, 0, []int{1, 2, 4}, 0),
	)

	It("counts a member as alive only if something was heard from it, however young the term", func() {
		members := append(three(now), learning(seen(4, "d", now), 0))
		members[1].silent, members[1].unheard = now, long
		members[2].silent, members[2].unheard = long, long
		plan := planMembership(membershipView{self: members[0].Member, members: members})
		Expect(votes(plan)).To(Equal([]int{1, 2, 3, 4}))
	})
})
