package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("What is promised beyond the rules",
	func(rule Rule, build func(b *historyBuilder)) {
		b := newHistoryBuilder()
		b.fault(0, 60, Fault{ControlPlane: true, Machines: []string{"front-0"}})
		build(b)
		found := AuditPromises(b.History)
		if rule == noViolation {
			Expect(found).To(BeEmpty())
			return
		}
		Expect(found).To(HaveLen(1))
		Expect(found[0].Rule).To(Equal(rule), found[0].String())
	},
	Entry("a job may be unknown soon after its acceptance", noViolation, func(b *historyBuilder) { b.query(3.9, 410, "") }),
	Entry("a job is never unknown later", RuleLost, func(b *historyBuilder) { b.query(4.1, 410, "") }),
	Entry("a job that was cancelled may be unknown", noViolation, func(b *historyBuilder) { b.cancel(3); b.query(14, 410, "") }),
	Entry("a job that was not accepted may be unknown", noViolation, func(b *historyBuilder) { b.submitted.Accepted = Never; b.query(14, 410, "") }),
	Entry("a change need not be followed at once", noViolation, func(b *historyBuilder) {
		b.secondVersion()
		b.pendingQuery(2.2, 404)
	}),
	Entry("a new queue is never denied later", RuleConfig, func(b *historyBuilder) {
		b.secondVersion()
		b.pendingQuery(2.3, 404)
	}),
	Entry("a removed queue is never counted later", RuleConfig, func(b *historyBuilder) {
		b.secondVersion()
		b.configuration(3, 2, b.routesWith())
		b.pendingQuery(5, 200)
	}),
	Entry("a submission by an older version is left to the owner of its shard", noViolation, func(b *historyBuilder) {
		b.secondVersion()
		b.configuration(3, 2, b.routesWith())
		b.submitted.Queue = QueueName{"h", "/v2/"}
		b.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 200}}
	}),
	Entry("a submission to a queue that exists is never answered 404", RuleConfig, func(b *historyBuilder) {
		b.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 404}}
	}),
)
