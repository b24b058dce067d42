package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("What is promised beyond the rules",
	func(rule string, write func(p *historyBuilder)) {
		p := newHistoryBuilder()
		p.fault(0, 60, Fault{ControlPlane: true, Machines: []string{"front-0"}})
		write(p)
		found := AuditPromises(p.History)
		if rule == "" {
			Expect(found).To(BeEmpty())
			return
		}
		Expect(found).To(HaveLen(1))
		Expect(found[0].Rule).To(Equal(rule), found[0].String())
	},
	Entry("a job may be unknown soon after its acceptance", "", func(p *historyBuilder) { p.query(3.9, 410, "") }),
	Entry("a job is never unknown later", RuleLost, func(p *historyBuilder) { p.query(4.1, 410, "") }),
	Entry("a job that was cancelled may be", "", func(p *historyBuilder) { p.cancel(3); p.query(14, 410, "") }),
	Entry("a job that nobody accepted may be", "", func(p *historyBuilder) { p.submitted.Accepted = Never; p.query(14, 410, "") }),
	Entry("a change need not be followed at once", "", func(p *historyBuilder) {
		p.secondVersion()
		p.pendingQuery(2.2, "/v2/", 404)
	}),
	Entry("a new queue is never denied later", RuleConfig, func(p *historyBuilder) {
		p.secondVersion()
		p.pendingQuery(2.3, "/v2/", 404)
	}),
	Entry("a dropped queue is never counted later", RuleConfig, func(p *historyBuilder) {
		p.secondVersion()
		p.configuration(3, 2, p.withProbe())
		p.pendingQuery(5, "/v2/", 200)
	}),
	Entry("a hand-in by an older version is its owner's concern", "", func(p *historyBuilder) {
		p.secondVersion()
		p.configuration(3, 2, p.withProbe())
		p.submitted.Queue = QueueName{"h", "/v2/"}
		p.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 200}}
	}),
	Entry("a hand-in to a queue that is there is never refused for want of it", RuleConfig, func(p *historyBuilder) {
		p.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 404}}
	}),
)
