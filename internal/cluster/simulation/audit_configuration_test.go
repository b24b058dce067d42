package simulation

import (
	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/protocol"
)

// routesWith returns the routes of the first configuration and others.
func (b *historyBuilder) routesWith(prefixes ...string) map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{b.submitted.Queue: {Service: "alfa", MaxAttempts: 2}}
	for _, prefix := range prefixes {
		routes[QueueName{"h", prefix}] = RouteRecord{Service: "alfa", MaxAttempts: 1}
	}
	return routes
}

// secondVersion adds version 2 with a route of its own, and a read of it at the end.
func (b *historyBuilder) secondVersion() *ConfigurationRecord {
	record := b.configuration(2, 1, b.routesWith("/v2/"))
	b.ReadBacks = nil
	b.read(59.5, 2)
	return record
}

var _ = Describe("The auditor of the configuration", func() {
	DescribeTable("checks a history against the rules", expectAudit,
		Entry("a change is followed", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(3, 200)
		}),
		Entry("a change need not be followed at once", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.2, 404)
		}),
		Entry("a change is not followed in time", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.3, 404)
		}),
		Entry("a change is not followed in time, by a machine out of touch", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.3, 404)
			b.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("a removed route is still followed", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.configuration(3, 2, b.routesWith())
			b.ReadBacks = nil
			b.read(59.5, 3)
			b.pendingQuery(5, 200)
		}),
		Entry("a job is rejected although its queue exists", RuleConfig, func(b *historyBuilder) {
			b.AddJob(&JobRecord{ID: "b", Queue: b.submitted.Queue, Accepted: Never,
				Submissions: []Attempt{{Machine: "front-0", Sent: at(5), Answered: at(5.1), Status: 404}}})
		}),
		Entry("a job runs at the old service", RuleConfig, func(b *historyBuilder) {
			b.configuration(2, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.ReadBacks = nil
			b.read(59.5, 2)
			b.submitted.Submissions[0].Sent, b.submitted.Submissions[0].Answered = at(2.3), at(2.4)
			b.run(b.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a job runs at the old service that was submitted soon after the change", noViolation, func(b *historyBuilder) {
			b.configuration(2, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.ReadBacks = nil
			b.read(59.5, 2)
			b.submitted.Submissions[0].Sent, b.submitted.Submissions[0].Answered = at(2.2), at(2.3)
			b.run(b.first, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a machine goes back", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.8, 404)
		}),
		Entry("a machine goes back within the slack", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.6, 404)
		}),
		Entry("a machine goes back with a new incarnation", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.8, 404)
			b.PendingQueries[1].Incarnation = 2
		}),
		Entry("what was rejected is in force", RuleConfig, func(b *historyBuilder) {
			rejected := b.configuration(2, 1, b.routesWith("/v2/"))
			rejected.Acknowledged = Never
			rejected.Attempts[0].Status = 412
			rejected.Base = 0
			b.pendingQuery(1, 200)
		}),
		Entry("what has an unknown outcome is in force", noViolation, func(b *historyBuilder) {
			unknown := b.secondVersion()
			unknown.Acknowledged = Never
			unknown.Attempts[0].Answered = Never
			b.fault(1, 2, Fault{Kind: "cut"})
			b.pendingQuery(1, 200)
			b.pendingQuery(1, 404)
			b.PendingQueries[1].Machine = "front-1"
		}),
		Entry("what is invalid is in force", RuleConfig, func(b *historyBuilder) {
			invalid := b.configuration(2, 1, b.routesWith("/v2/"))
			invalid.Invalid, invalid.Acknowledged, invalid.Attempts[0].Status = true, Never, 504
			b.pendingQuery(1, 200)
		}),
		Entry("what is invalid is acknowledged", RuleConfig, func(b *historyBuilder) {
			invalid := b.configuration(2, 1, nil)
			invalid.Invalid, invalid.Acknowledged = true, Never
		}),
		Entry("two on top of one are acknowledged", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.configuration(3, 1, b.routesWith("/v2/"))
			b.ReadBacks = nil
			b.read(59.5, 3)
		}),
		Entry("what was acknowledged is rejected", RuleConfig, func(b *historyBuilder) {
			record := b.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 412})
		}),
		Entry("what was acknowledged is acknowledged again", noViolation, func(b *historyBuilder) {
			record := b.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 200})
		}),
		Entry("a valid change is not acknowledged", RuleAcks, func(b *historyBuilder) {
			record := b.configuration(2, 1, b.routesWith())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
		}),
		Entry("a change is not acknowledged near a fault", noViolation, func(b *historyBuilder) {
			record := b.configuration(2, 1, b.routesWith())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
			b.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("nothing is read back", RuleConfig, func(b *historyBuilder) { b.ReadBacks = nil }),
		Entry("nothing is read back after the final fault", RuleLost, func(b *historyBuilder) { b.ReadBacks, b.FinalFault = nil, at(30) }),
		Entry("an old version is read back", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.ReadBacks = nil
			b.read(59.5, 1)
		}),
		Entry("another text is read back", RuleConfig, func(b *historyBuilder) {
			b.ReadBacks = []ReadBack{{At: at(59.5), Body: `{"routes":[],"version":1}`}}
		}),
		Entry("garbage is read back", RuleConfig, func(b *historyBuilder) { b.ReadBacks = []ReadBack{{At: at(59.5), Body: "1"}} }),
	)
})
