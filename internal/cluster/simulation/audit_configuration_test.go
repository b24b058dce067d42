package simulation

import (
	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/protocol"
)

// routesWith returns the route of the first configuration, and one for each further prefix.
func (b *historyBuilder) routesWith(prefixes ...string) map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{b.submitted.Queue: {Service: "alfa", MaxAttempts: 2}}
	for _, prefix := range prefixes {
		routes[QueueName{"h", prefix}] = RouteRecord{Service: "alfa", MaxAttempts: 1}
	}
	return routes
}

// secondVersion adds version 2, which adds the route of "/v2/", and a read of this version at the end. The change is sent at
// 0.2 s and acknowledged at 0.25 s.
func (b *historyBuilder) secondVersion() *ConfigurationRecord {
	record := b.configuration(2, 1, b.routesWith("/v2/"))
	b.ReadBacks = nil
	b.read(59.5, 2)
	return record
}

var _ = Describe("The audit of the configuration", func() {
	DescribeTable("finds the rule that a history breaks", expectAudit,
		Entry("a machine follows an acknowledged change", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(3, 200)
		}),
		Entry("a machine follows the old version less than 2 s after the acknowledgement of a new one", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.2, 404)
		}),
		Entry("a machine follows the old version more than 2 s after the acknowledgement of a new one", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.3, 404)
		}),
		Entry("a machine that a fault disturbs follows the old version more than 2 s after the acknowledgement of a new one", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(2.3, 404)
			b.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("a machine follows a removed route", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.configuration(3, 2, b.routesWith())
			b.ReadBacks = nil
			b.read(59.5, 3)
			b.pendingQuery(5, 200)
		}),
		Entry("a submission is answered 404 although its queue exists", RuleConfig, func(b *historyBuilder) {
			b.AddJob(&JobRecord{ID: "b", Queue: b.submitted.Queue, Accepted: Never,
				Submissions: []Attempt{{Machine: "front-0", Sent: at(5), Answered: at(5.1), Status: 404}}})
		}),
		Entry("a job that was submitted more than 2 s after its queue moved runs at the old service", RuleConfig, func(b *historyBuilder) {
			b.configuration(2, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.ReadBacks = nil
			b.read(59.5, 2)
			b.submitted.Submissions[0].Sent, b.submitted.Submissions[0].Answered = at(2.3), at(2.4)
			b.run(b.firstRunner, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a job that was submitted less than 2 s after its queue moved runs at the old service", noViolation, func(b *historyBuilder) {
			b.configuration(2, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.ReadBacks = nil
			b.read(59.5, 2)
			b.submitted.Submissions[0].Sent, b.submitted.Submissions[0].Answered = at(2.2), at(2.3)
			b.run(b.firstRunner, 0, 0, 1, 3, 4, protocol.EndDone)
		}),
		Entry("a process shows an older version 0.4 s after a newer one", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.8, 404)
		}),
		Entry("a process shows an older version less than 0.25 s after a newer one", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.6, 404)
		}),
		Entry("a restarted process shows an older version than the process before it", noViolation, func(b *historyBuilder) {
			b.secondVersion()
			b.pendingQuery(0.4, 200)
			b.pendingQuery(0.8, 404)
			b.PendingQueries[1].Incarnation = 2
		}),
		Entry("a machine follows a change that was rejected", RuleConfig, func(b *historyBuilder) {
			rejected := b.configuration(2, 1, b.routesWith("/v2/"))
			rejected.Acknowledged = Never
			rejected.Attempts[0].Status = 412
			rejected.Base = 0
			b.pendingQuery(1, 200)
		}),
		Entry("one machine follows a change without a response, another does not", noViolation, func(b *historyBuilder) {
			unknown := b.secondVersion()
			unknown.Acknowledged = Never
			unknown.Attempts[0].Answered = Never
			b.fault(1, 2, Fault{Kind: "cut"})
			b.pendingQuery(1, 200)
			b.pendingQuery(1, 404)
			b.PendingQueries[1].Machine = "front-1"
		}),
		Entry("a machine follows an invalid change", RuleConfig, func(b *historyBuilder) {
			invalid := b.configuration(2, 1, b.routesWith("/v2/"))
			invalid.Invalid, invalid.Acknowledged, invalid.Attempts[0].Status = true, Never, 504
			b.pendingQuery(1, 200)
		}),
		Entry("an invalid change is acknowledged", RuleConfig, func(b *historyBuilder) {
			invalid := b.configuration(2, 1, nil)
			invalid.Invalid, invalid.Acknowledged = true, Never
		}),
		Entry("two changes on top of the same version are acknowledged", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.configuration(3, 1, b.routesWith("/v2/"))
			b.ReadBacks = nil
			b.read(59.5, 3)
		}),
		Entry("a change is rejected when the operator sends it again after its acknowledgement was lost", RuleConfig, func(b *historyBuilder) {
			record := b.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 412})
		}),
		Entry("a change is acknowledged again when the operator sends it again after its acknowledgement was lost", noViolation, func(b *historyBuilder) {
			record := b.secondVersion()
			record.Attempts[0].ReplyLost = true
			record.Attempts = append(record.Attempts, Attempt{Sent: at(2), Answered: at(2.1), Status: 200})
		}),
		Entry("a valid change is not acknowledged in a fault-free span", RuleAcks, func(b *historyBuilder) {
			record := b.configuration(2, 1, b.routesWith())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
		}),
		Entry("a valid change is not acknowledged during a fault", noViolation, func(b *historyBuilder) {
			record := b.configuration(2, 1, b.routesWith())
			record.Acknowledged = Never
			record.Attempts[0].Answered = Never
			b.fault(1, 2, Fault{ControlPlane: true})
		}),
		Entry("no read of the configuration succeeds at the end", RuleConfig, func(b *historyBuilder) { b.ReadBacks = nil }),
		Entry("no read of the configuration succeeds after a final fault", RuleLost, func(b *historyBuilder) { b.ReadBacks, b.FinalFault = nil, at(30) }),
		Entry("the operator reads an older version than was acknowledged", RuleConfig, func(b *historyBuilder) {
			b.secondVersion()
			b.ReadBacks = nil
			b.read(59.5, 1)
		}),
		Entry("the operator reads the newest version with other content", RuleConfig, func(b *historyBuilder) {
			b.ReadBacks = []ReadBack{{At: at(59.5), Body: `{"routes":[],"version":1}`}}
		}),
		Entry("the operator reads text that is not a configuration", RuleConfig, func(b *historyBuilder) { b.ReadBacks = []ReadBack{{At: at(59.5), Body: "1"}} }),
	)
})
