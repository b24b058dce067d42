package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// withProbe is the first configuration's routes and others.
func (p *historyBuilder) withProbe(prefixes ...string) map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{p.submitted.Queue: {Service: "alfa", MaxAttempts: 2}}
	for _, prefix := range prefixes {
		routes[QueueName{"h", prefix}] = RouteRecord{Service: "alfa", MaxAttempts: 1}
	}
	return routes
}

// secondVersion adds version 2 with a route of its own, and reads it back.
func (p *historyBuilder) secondVersion() *ConfigurationRecord {
	record := p.configuration(2, 1, p.withProbe("/v2/"))
	p.ReadBacks = nil
	p.read(59.5, 2)
	return record
}

var _ = Describe("The auditor of the configuration", func() {
	DescribeTable("holds a ledger against the rules",
		func(rule string, write func(p *historyBuilder)) {
			p := newHistoryBuilder()
			write(p)
			found := Audit(p.History)
			if rule == "" {
				Expect(found).To(BeEmpty())
				return
			}
			Expect(found).NotTo(BeEmpty())
			for _, violation := range found {
				Expect(violation.Rule).To(Equal(rule), violation.String())
			}
		},
		Entry("a change is followed", "", func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(3, "/v2/", 200)
		}),
		Entry("a change need not be followed at once", "", func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(2.2, "/v2/", 404)
		}),
		Entry("a change is not followed in time", RuleConfig, func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(2.3, "/v2/", 404)
		}),
		Entry("a change is not followed in time, by a machine out of touch", "", func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(2.3, "/v2/", 404)
			p.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("a dropped route is followed on", RuleConfig, func(p *historyBuilder) {
			p.secondVersion()
			p.configuration(3, 2, p.withProbe())
			p.ReadBacks = nil
			p.read(59.5, 3)
			p.pendingQuery(5, "/v2/", 200)
		}),
		Entry("a job is refused though its queue is there", RuleConfig, func(p *historyBuilder) {
			p.AddJob(&JobRecord{ID: "b", Queue: p.submitted.Queue, Accepted: Never,
				Submissions: []Attempt{{Machine: "front-0", Sent: at(5), Answered: at(5.1), Status: 404}}})
		}),
		Entry("a job runs at the old service", RuleConfig, func(p *historyBuilder) {
			p.configuration(2, 1, map[QueueName]RouteRecord{p.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			p.ReadBacks = nil
			p.read(59.5, 2)
			p.submitted.Submissions[0].Sent, p.submitted.Submissions[0].Answered = at(2.3), at(2.4)
			p.run(p.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a job runs at the old service that was handed in soon after the change", "", func(p *historyBuilder) {
			p.configuration(2, 1, map[QueueName]RouteRecord{p.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			p.ReadBacks = nil
			p.read(59.5, 2)
			p.submitted.Submissions[0].Sent, p.submitted.Submissions[0].Answered = at(2.2), at(2.3)
			p.run(p.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a machine goes back", RuleConfig, func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(0.4, "/v2/", 200)
			p.pendingQuery(0.8, "/v2/", 404)
		}),
		Entry("a machine goes back within the slack", "", func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(0.4, "/v2/", 200)
			p.pendingQuery(0.6, "/v2/", 404)
		}),
		Entry("a machine goes back with a new life", "", func(p *historyBuilder) {
			p.secondVersion()
			p.pendingQuery(0.4, "/v2/", 200)
			p.pendingQuery(0.8, "/v2/", 404)
			p.PendingQueries[1].Incarnation = 2
		}),
		Entry("what was refused is in force", RuleConfig, func(p *historyBuilder) {
			refused := p.configuration(2, 1, p.withProbe("/v2/"))
			refused.Acknowledged = Never
			refused.Attempts[0].Status = 412
			refused.Base = 0
			p.pendingQuery(1, "/v2/", 200)
		}),
		Entry("what got no clear answer is in force", "", func(p *historyBuilder) {
			unclear := p.secondVersion()
			unclear.Acknowledged = Never
			unclear.Attempts[0].Answered = Never
			p.fault(1, 2, Fault{Kind: "cut"})
			p.pendingQuery(1, "/v2/", 200)
			p.pendingQuery(1, "/v2/", 404)
			p.PendingQueries[1].Machine = "front-1"
		}),
		Entry("what is invalid is in force", RuleConfig, func(p *historyBuilder) {
			bad := p.configuration(2, 1, p.withProbe("/v2/"))
			bad.Invalid, bad.Acknowledged, bad.Attempts[0].Status = true, Never, 504
			p.pendingQuery(1, "/v2/", 200)
		}),
		Entry("what is invalid is acknowledged", RuleConfig, func(p *historyBuilder) {
			bad := p.configuration(2, 1, nil)
			bad.Invalid, bad.Acknowledged = true, Never
		}),
		Entry("two on top of one are acknowledged", RuleConfig, func(p *historyBuilder) {
			p.secondVersion()
			p.configuration(3, 1, p.withProbe("/v2/"))
			p.ReadBacks = nil
			p.read(59.5, 3)
		}),
		Entry("what was acknowledged is refused", RuleConfig, func(p *historyBuilder) {
			record := p.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 412})
		}),
		Entry("what was acknowledged is acknowledged again", "", func(p *historyBuilder) {
			record := p.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 200})
		}),
		Entry("a proper order is not acknowledged", RuleAcks, func(p *historyBuilder) {
			record := p.configuration(2, 1, p.withProbe())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
		}),
		Entry("an order is not acknowledged in trouble", "", func(p *historyBuilder) {
			record := p.configuration(2, 1, p.withProbe())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
			p.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("nothing is read back", RuleConfig, func(p *historyBuilder) { p.ReadBacks = nil }),
		Entry("nothing is read back after the final fault", RuleLost, func(p *historyBuilder) { p.ReadBacks, p.FinalFault = nil, at(30) }),
		Entry("an old version is read back", RuleConfig, func(p *historyBuilder) {
			p.secondVersion()
			p.ReadBacks = nil
			p.read(59.5, 1)
		}),
		Entry("another text is read back", RuleConfig, func(p *historyBuilder) {
			p.ReadBacks = []ReadBack{{At: at(59.5), Body: `{"routes":[],"version":1}`}}
		}),
		Entry("garbage is read back", RuleConfig, func(p *historyBuilder) { p.ReadBacks = []ReadBack{{At: at(59.5), Body: "1"}} }),
	)
})
