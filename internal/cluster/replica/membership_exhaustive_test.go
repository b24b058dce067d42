package replica

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/consensus"
)

// living returns the members of a view that can answer. One with recent contact that is proven to be gone can't.
func living(view membershipView) func(consensus.MemberID) bool {
	return func(id consensus.MemberID) bool {
		return slices.ContainsFunc(view.members, func(m memberView) bool {
			return m.ID == id && (m.ID == view.self.ID || m.alive() && !view.superseded(m))
		})
	}
}

// margin returns how many of the living voters a configuration may lose and still have a majority; negative: it has
// none.
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

func membersOf(view membershipView) []consensus.Member {
	var members []consensus.Member
	for _, member := range view.members {
		members = append(members, member.Member)
	}
	return members
}

// faultOf returns what a plan does that no plan may do; empty if nothing.
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
			return "the living cannot commit its first step"
		}
		if margin(plan.members, isAlive) < spare {
			return "fewer more may be lost than before"
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

// faultOfMember returns what a plan does to one member that no plan may do.
func faultOfMember(view membershipView, plan membershipPlan, member memberView) string {
	votes := slices.Contains(sortedVoters(plan.members), member.ID)
	switch {
	case member.Learner && votes && member.replicationAge > maxCaughtUpAge:
		return "a learner votes that has not caught up"
	case member.Learner && votes && (!member.alive() || member.avoidsLeadership):
		return "a learner votes that is unresponsive or avoids leadership"
	case member.Learner || votes:
		return ""
	case member.ID == view.self.ID:
		return "the leader loses its vote"
	case member.alive() && !member.avoidsLeadership && !view.superseded(member):
		return "one loses its vote that is alive and was not superseded"
	default:
		return ""
	}
}

// voterConditions are the conditions of a voter in the views that are checked.
var voterConditions = []func(m memberView) memberView{
	present,
	unresponsive(time.Second),
	unresponsive(2 * time.Second),
	unresponsive(4 * time.Second),
	unresponsive(2 * time.Minute),
	avoiding,
	func(m memberView) memberView { // of a young term
		m = unresponsiveFor(m, 4*time.Second)
		m.sinceAnswer = 100 * time.Millisecond
		return m
	},
}

// fewerConditions are those of five voters: all would take half a minute.
var fewerConditions = []func(m memberView) memberView{present, unresponsive(2 * time.Second), unresponsive(4 * time.Second), avoiding}

func present(m memberView) memberView { return m }

func unresponsive(since time.Duration) func(m memberView) memberView {
	return func(m memberView) memberView { return unresponsiveFor(m, since) }
}

func unresponsiveFor(m memberView, since time.Duration) memberView {
	m.sinceAnswer, m.sinceContact, m.lastContact = since, since, viewTime-since
	return m
}

// successorConditions are the conditions of a successor in the views that are checked.
var successorConditions = []func(m memberView) memberView{
	func(m memberView) memberView { return learning(m, 0) },
	func(m memberView) memberView { return learning(m, maxCaughtUpAge+1) },
	func(m memberView) memberView { return learning(m, unknownDuration) },
	func(m memberView) memberView { return learning(unresponsiveFor(m, 2*time.Second), 0) },
	func(m memberView) memberView { return learning(unresponsiveFor(m, time.Minute), 0) },
	func(m memberView) memberView { return learning(avoiding(m), 0) },
	func(m memberView) memberView { return m }, // votes already
}

// location is where a successor may be, beside the voters' own machines.
type location struct {
	node, address string
	reached       time.Duration // how long ago the newest message was sent that it has answered
}

func locations() []location {
	list := []location{{"new", "new:1", 0}}
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, location{node, node + ":1", 20 * time.Millisecond}, location{node, node + ":1", time.Hour},
			location{node, "new:1", 20 * time.Millisecond}, location{"new", node + ":1", 20 * time.Millisecond})
	}
	return list
}

// eachView calls f with every view of that many voters, each in one of some conditions, and one successor.
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
		next := 1 // the leader itself is always there
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

var _ = Describe("planMembership, over all views of a few voters and a successor", func() {
	for _, voters := range []int{1, 2, 3, 4, 5} {
		It(fmt.Sprintf("never makes a group of %d less safe, and comes to an end", voters), func() {
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

// after returns the view once a plan is carried out.
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
