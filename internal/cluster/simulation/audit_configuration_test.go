package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// withProbe is the first configuration's routes and others.
func (p *page) withProbe(prefixes ...string) map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{p.job.Queue: {Service: "alfa", MaxAttempts: 2}}
	for _, prefix := range prefixes {
		routes[QueueName{"h", prefix}] = RouteRecord{Service: "alfa", MaxAttempts: 1}
	}
	return routes
}

// secondVersion adds version 2 with a route of its own, and reads it back.
func (p *page) secondVersion() *ConfigurationRecord {
	record := p.configuration(2, 1, p.withProbe("/v2/"))
	p.Reads = nil
	p.read(59.5, 2)
	return record
}

var _ = Describe("The auditor of the configuration", func() {
	DescribeTable("holds a ledger against the rules",
		func(rule string, write func(p *page)) {
			p := newPage()
			write(p)
			found := Audit(p.Ledger)
			if rule == "" {
				Expect(found).To(BeEmpty())
				return
			}
			Expect(found).NotTo(BeEmpty())
			for _, violation := range found {
				Expect(violation.Rule).To(Equal(rule), violation.String())
			}
		},
		Entry("a change is followed", "", func(p *page) {
			p.secondVersion()
			p.count(3, "/v2/", 200)
		}),
		Entry("a change need not be followed at once", "", func(p *page) {
			p.secondVersion()
			p.count(2.2, "/v2/", 404)
		}),
		Entry("a change is not followed in time", RuleConfig, func(p *page) {
			p.secondVersion()
			p.count(2.3, "/v2/", 404)
		}),
		Entry("a change is not followed in time, by a machine out of touch", "", func(p *page) {
			p.secondVersion()
			p.count(2.3, "/v2/", 404)
			p.struck(1, 2, Trouble{Core: true})
		}),
		Entry("a dropped route is followed on", RuleConfig, func(p *page) {
			p.secondVersion()
			p.configuration(3, 2, p.withProbe())
			p.Reads = nil
			p.read(59.5, 3)
			p.count(5, "/v2/", 200)
		}),
		Entry("a job is refused though its queue is there", RuleConfig, func(p *page) {
			p.AddJob(&JobRecord{ID: "b", Queue: p.job.Queue, Accepted: Never,
				HandIns: []Try{{Machine: "front-0", Sent: at(5), Answered: at(5.1), Status: 404}}})
		}),
		Entry("a job runs at the old service", RuleConfig, func(p *page) {
			p.configuration(2, 1, map[QueueName]RouteRecord{p.job.Queue: {Service: "beta", MaxAttempts: 2}})
			p.Reads = nil
			p.read(59.5, 2)
			p.job.HandIns[0].Sent, p.job.HandIns[0].Answered = at(2.3), at(2.4)
			p.run(p.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a job runs at the old service that was handed in soon after the change", "", func(p *page) {
			p.configuration(2, 1, map[QueueName]RouteRecord{p.job.Queue: {Service: "beta", MaxAttempts: 2}})
			p.Reads = nil
			p.read(59.5, 2)
			p.job.HandIns[0].Sent, p.job.HandIns[0].Answered = at(2.2), at(2.3)
			p.run(p.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a machine goes back", RuleConfig, func(p *page) {
			p.secondVersion()
			p.count(0.4, "/v2/", 200)
			p.count(0.8, "/v2/", 404)
		}),
		Entry("a machine goes back within the slack", "", func(p *page) {
			p.secondVersion()
			p.count(0.4, "/v2/", 200)
			p.count(0.6, "/v2/", 404)
		}),
		Entry("a machine goes back with a new life", "", func(p *page) {
			p.secondVersion()
			p.count(0.4, "/v2/", 200)
			p.count(0.8, "/v2/", 404)
			p.Counts[1].Life = 2
		}),
		Entry("what was refused is in force", RuleConfig, func(p *page) {
			refused := p.configuration(2, 1, p.withProbe("/v2/"))
			refused.Acknowledged = Never
			refused.Tries[0].Status = 412
			refused.Base = 0
			p.count(1, "/v2/", 200)
		}),
		Entry("what got no clear answer is in force", "", func(p *page) {
			unclear := p.secondVersion()
			unclear.Acknowledged = Never
			unclear.Tries[0].Answered = Never
			p.struck(1, 2, Trouble{Kind: "cut"})
			p.count(1, "/v2/", 200)
			p.count(1, "/v2/", 404)
			p.Counts[1].Machine = "front-1"
		}),
		Entry("what is invalid is in force", RuleConfig, func(p *page) {
			bad := p.configuration(2, 1, p.withProbe("/v2/"))
			bad.Invalid, bad.Acknowledged, bad.Tries[0].Status = true, Never, 504
			p.count(1, "/v2/", 200)
		}),
		Entry("what is invalid is acknowledged", RuleConfig, func(p *page) {
			bad := p.configuration(2, 1, nil)
			bad.Invalid, bad.Acknowledged = true, Never
		}),
		Entry("two on top of one are acknowledged", RuleConfig, func(p *page) {
			p.secondVersion()
			p.configuration(3, 1, p.withProbe("/v2/"))
			p.Reads = nil
			p.read(59.5, 3)
		}),
		Entry("what was acknowledged is refused", RuleConfig, func(p *page) {
			record := p.secondVersion()
			record.Tries[0].Lost = true
			record.Tries = append(record.Tries, Try{Sent: at(2), Answered: at(2.1), Status: 412})
		}),
		Entry("what was acknowledged is acknowledged again", "", func(p *page) {
			record := p.secondVersion()
			record.Tries[0].Lost = true
			record.Tries = append(record.Tries, Try{Sent: at(2), Answered: at(2.1), Status: 200})
		}),
		Entry("a proper order is not acknowledged", RuleAcks, func(p *page) {
			record := p.configuration(2, 1, p.withProbe())
			record.Acknowledged = Never
			record.Tries[0].Answered = Never
		}),
		Entry("an order is not acknowledged in trouble", "", func(p *page) {
			record := p.configuration(2, 1, p.withProbe())
			record.Acknowledged = Never
			record.Tries[0].Answered = Never
			p.struck(1, 2, Trouble{Core: true})
		}),
		Entry("nothing is read back", RuleConfig, func(p *page) { p.Reads = nil }),
		Entry("nothing is read back after the final fault", RuleLost, func(p *page) { p.Reads, p.FinalFault = nil, at(30) }),
		Entry("an old version is read back", RuleConfig, func(p *page) {
			p.secondVersion()
			p.Reads = nil
			p.read(59.5, 1)
		}),
		Entry("another text is read back", RuleConfig, func(p *page) {
			p.Reads = []Read{{At: at(59.5), Body: `{"routes":[],"version":1}`}}
		}),
		Entry("garbage is read back", RuleConfig, func(p *page) { p.Reads = []Read{{At: at(59.5), Body: "1"}} }),
	)
})
