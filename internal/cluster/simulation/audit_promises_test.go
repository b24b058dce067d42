package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("What is promised beyond the rules",
	func(rule string, write func(p *page)) {
		p := newPage()
		p.struck(0, 60, Trouble{Core: true, Machines: []string{"front-0"}})
		write(p)
		found := AuditPromises(p.Ledger)
		if rule == "" {
			Expect(found).To(BeEmpty())
			return
		}
		Expect(found).To(HaveLen(1))
		Expect(found[0].Rule).To(Equal(rule), found[0].String())
	},
	Entry("a job may be unknown soon after its acceptance", "", func(p *page) { p.ask(3.9, 410, "") }),
	Entry("a job is never unknown later", RuleLost, func(p *page) { p.ask(4.1, 410, "") }),
	Entry("a job that was cancelled may be", "", func(p *page) { p.cancel(3); p.ask(14, 410, "") }),
	Entry("a job that nobody accepted may be", "", func(p *page) { p.job.Accepted = Never; p.ask(14, 410, "") }),
	Entry("a change need not be followed at once", "", func(p *page) {
		p.secondVersion()
		p.count(2.2, "/v2/", 404)
	}),
	Entry("a new queue is never denied later", RuleConfig, func(p *page) {
		p.secondVersion()
		p.count(2.3, "/v2/", 404)
	}),
	Entry("a dropped queue is never counted later", RuleConfig, func(p *page) {
		p.secondVersion()
		p.configuration(3, 2, p.withProbe())
		p.count(5, "/v2/", 200)
	}),
	Entry("a hand-in by an older version is its owner's concern", "", func(p *page) {
		p.secondVersion()
		p.configuration(3, 2, p.withProbe())
		p.job.Queue = QueueName{"h", "/v2/"}
		p.job.HandIns = []Try{{Machine: "front-0", Life: 1, Sent: at(5), Answered: at(5.1), Status: 200}}
	}),
	Entry("a hand-in to a queue that is there is never refused for want of it", RuleConfig, func(p *page) {
		p.job.HandIns = []Try{{Machine: "front-0", Life: 1, Sent: at(5), Answered: at(5.1), Status: 404}}
	}),
)
