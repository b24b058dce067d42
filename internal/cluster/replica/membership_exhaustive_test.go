package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/consensus"
)

// living returns a function that reports whether a member of the view can respond. A member that is superseded cannot,
// although the last contact with it may be recent.
func living(view membershipView) func(consensus.MemberID) bool {
	return func(id consensus.MemberID) bool {
		return slices.ContainsFunc(view.members, func(m memberView) bool {
			return m.ID == id && (m.ID == view.self.ID || m.alive() && !view.superseded(m))
		})
	}
}

// margin returns how many living voters a membership can lose while a majority of its voters stays alive. It is negative if
// the living voters are no majority.
func margin(members []consensus.Member, isAlive func(consensus.MemberID) bool) int {
	voters, alive := 0, 0
	for _, member := range members {
		if member.Learner {
			continue
		}
		voters++
		if isAlive(member.ID) {
			alive++
		}
	}
	return alive - (voters/2 + 1)
}

// membersOf returns the members of a view.
func membersOf(view membershipView) []consensus.Member {
	var members []consensus.Member
	for _, member := range view.members {
		members = append(members, member.Member)
	}
	return members
}

// faultOf describes how a plan breaks an invariant of planMembership. It returns an empty string if it does not.
func faultOf(view membershipView, plan membershipPlan) string {
	if plan.members == nil {
		return ""
	}
	before, isAlive := membersOf(view), living(view)
	first, err := consensus.FirstStepMembers(before, plan.members)
	if err != nil {
		return err.Error()
	}
	if spare := margin(before, isAlive); spare >= 0 {
		if !consensus.HasQuorum(first, isAlive) {
			return "the living voters cannot commit the first membership of the change"
		}
		if margin(plan.members, isAlive) < spare {
			return "fewer living voters may be lost than before"
		}
	}
	if len(sortedVoters(plan.members)) < min(len(sortedVoters(before)), minVoters) {
		return "fewer than minVoters vote"
	}
	for _, member := range view.members {
		if fault := faultOfMember(view, plan, member); fault != "" {
			return fault
		}
	}
	return ""
}

// faultOfMember describes how a plan breaks an invariant that concerns one member.
func faultOfMember(view membershipView, plan membershipPlan, member memberView) string {
	votes := slices.Contains(sortedVoters(plan.members), member.ID)
	switch {
	case member.Learner && votes && member.replicationAge > maxCaughtUpAge:
		return "a learner that has not caught up becomes a voter"
	case member.Learner && votes && (!member.alive() || member.avoidsLeadership):
		return "a learner that is unresponsive or avoids leadership becomes a voter"
	case member.Learner || votes:
		return ""
	case member.ID == view.self.ID:
		return "the leader loses its vote"
	case member.alive() && !member.avoidsLeadership && !view.superseded(member):
		return "a voter that is alive, accepts leadership and is not superseded loses its vote"
	default:
		return ""
	}
}

// voterConditions are the conditions of voters in the checked views.
var voterConditions = []func(m memberView) memberView{
	present,
	unresponsive(time.Second),
	unresponsive(2 * time.Second),
	unresponsive(4 * time.Second),
	unresponsive(2 * time.Minute),
	avoiding,
	func(m memberView) memberView { // unresponsive for 4 s; the leader's term started only 100 ms ago
		m = unresponsiveFor(m, 4*time.Second)
		m.sinceAnswer = 100 * time.Millisecond
		return m
	},
}

// fewerConditions are the conditions used for five voters. All voterConditions would take half a minute.
var fewerConditions = []func(m memberView) memberView{present, unresponsive(2 * time.Second), unresponsive(4 * time.Second), avoiding}

// present leaves a member responsive.
func present(m memberView) memberView { return m }

func unresponsive(since time.Duration) func(m memberView) memberView {
	return func(m memberView) memberView { return unresponsiveFor(m, since) }
}

func unresponsiveFor(m memberView, since time.Duration) memberView {
	m.sinceAnswer, m.sinceContact, m.lastContact = since, since, viewTime-since
	return m
}

// successorConditions are the conditions of the additional member, the successor, in the checked views.
var successorConditions = []func(m memberView) memberView{
	func(m memberView) memberView { return learning(m, 0) },
	func(m memberView) memberView { return learning(m, maxCaughtUpAge+1) },
	func(m memberView) memberView { return learning(m, unknownDuration) },
	func(m memberView) memberView { return learning(unresponsiveFor(m, 2*time.Second), 0) },
	func(m memberView) memberView { return learning(unresponsiveFor(m, time.Minute), 0) },
	func(m memberView) memberView { return learning(avoiding(m), 0) },
	func(m memberView) memberView { return m }, // a voter already
}

// location is the machine and address of the successor.
type location struct {
	node, address string
	reached       time.Duration // time since the sending of the newest message that the successor has answered
}

// locations returns a new machine, and for each voter its machine, its machine at a new address, and its address under a
// new name of the machine.
func locations() []location {
	list := []location{{"new", "new:1", 0}}
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, location{node, node + ":1", 20 * time.Millisecond}, location{node, node + ":1", time.Hour},
			location{node, "new:1", 20 * time.Millisecond}, location{"new", node + ":1", 20 * time.Millisecond})
	}
	return list
}

// eachView calls f with every view of a number of voters and one successor. The first voter is the leader and is always
// responsive; each other voter is in each of the possible conditions.
func eachView(voters int, possible []func(m memberView) memberView, f func(membershipView)) {
	conditions := make([]int, voters)
	for {
		for _, condition := range successorConditions {
			for _, where := range locations() {
				view := membershipView{}
				for i, state := range conditions {
					node := string(rune('a' + i))
					view.members = append(view.members, possible[state](seen(consensus.MemberID(i+1), node, 50*time.Millisecond)))
				}
				view.self = view.members[0].Member
				successor := at(seen(9, where.node, 50*time.Millisecond), where.address)
				view.members = append(view.members, reached(condition(successor), where.reached))
				f(view)
			}
		}
		next := 1 // counts through the conditions of all voters except the leader
		for next < voters && conditions[next] == len(possible)-1 {
			conditions[next] = 0
			next++
		}
		if next >= voters {
			return
		}
		conditions[next]++
	}
}

// Each view is followed until no change is due: every plan must keep the invariants, and after at most eight plans there
// must be no further one.
var _ = Describe("planMembership, for all views of a few voters and a successor", func() {
	for _, voters := range []int{1, 2, 3, 4, 5} {
		It(fmt.Sprintf("keeps its invariants in a group of %d, and stops planning changes", voters), func() {
			views, plans := 0, 0
			conditions := voterConditions
			if voters == 5 {
				conditions = fewerConditions
			}
			eachView(voters, conditions, func(view membershipView) {
				views++
				for step := 0; ; step++ {
					plan := planMembership(view)
					if fault := faultOf(view, plan); fault != "" || step > 8 {
						Fail(fmt.Sprintf("step %d: %s: %s\n%+v", step, plan.reason, fault, view))
					}
					if plan.members == nil {
						return
					}
					plans++
					view = view.after(plan)
				}
			})
			GinkgoWriter.Println(views, "views,", plans, "plans")
		})
	}
})

// after returns the view after a plan was carried out.
func (v membershipView) after(plan membershipPlan) membershipView {
	next := membershipView{self: v.self, joiners: v.joiners}
	for _, member := range plan.members {
		for _, known := range v.members {
			if known.ID == member.ID {
				known.Member = member
				next.members = append(next.members, known)
			}
		}
	}
	return next
}
