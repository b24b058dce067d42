package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("The audit of the promises finds during a fault the rule that a history breaks",
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
	Entry("a job is unknown less than 3 s after its acceptance", noViolation, func(b *historyBuilder) { b.query(3.9, 410, "") }),
	Entry("a job is unknown more than 3 s after its acceptance", RuleLost, func(b *historyBuilder) { b.query(4.1, 410, "") }),
	Entry("a cancelled job is unknown", noViolation, func(b *historyBuilder) { b.cancel(3); b.query(14, 410, "") }),
	Entry("a job that was not accepted is unknown", noViolation, func(b *historyBuilder) { b.submitted.Accepted = Never; b.query(14, 410, "") }),
	Entry("a job was accepted whose cancel is answered with 410", RuleUnasked, func(b *historyBuilder) {
		b.submitted.Queries = nil
		b.cancel(14)
		b.submitted.Cancels[0].Status = 410
	}),
	Entry("a job is shown whose cancel was answered with 410", RuleUnasked, func(b *historyBuilder) {
		b.submitted.Submissions, b.submitted.Accepted = nil, Never
		b.cancel(14)
		b.submitted.Cancels[0].Status = 410
	}),
	Entry("a job runs whose cancel was answered with 410", RuleUnasked, func(b *historyBuilder) {
		b.submitted.Submissions, b.submitted.Queries, b.submitted.Accepted = nil, nil, Never
		b.cancel(14)
		b.submitted.Cancels[0].Status = 410
		b.run(b.firstRunner, 0, 0, 1, 14.5, 15, protocol.EndDone)
	}),
	Entry("a job is rejected and unknown whose cancel was answered with 410", noViolation, func(b *historyBuilder) {
		b.submitted.Submissions[0].Status, b.submitted.Accepted = 410, Never
		b.cancel(14)
		b.submitted.Cancels[0].Status = 410
		b.submitted.Queries = nil
		b.query(15, 410, "")
	}),
	Entry("a new queue is answered 404 less than 2 s after its change was acknowledged", noViolation, func(b *historyBuilder) {
		b.secondVersion()
		b.pendingQuery(2.2, 404)
	}),
	Entry("a new queue is answered 404 more than 2 s after its change was acknowledged", RuleConfig, func(b *historyBuilder) {
		b.secondVersion()
		b.pendingQuery(2.3, 404)
	}),
	Entry("the pending jobs of a removed queue are counted more than 2 s after its removal", RuleConfig, func(b *historyBuilder) {
		b.secondVersion()
		b.configuration(3, 2, b.routesWith())
		b.pendingQuery(5, 200)
	}),
	Entry("a submission is accepted by an older version, which the owner of the job's shard checks again", noViolation, func(b *historyBuilder) {
		b.secondVersion()
		b.configuration(3, 2, b.routesWith())
		b.submitted.Queue = QueueName{"h", "/v2/"}
		b.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 200}}
	}),
	Entry("a submission to a queue that exists is answered 404", RuleConfig, func(b *historyBuilder) {
		b.submitted.Submissions = []Attempt{{Machine: "front-0", Incarnation: 1, Sent: at(5), Answered: at(5.1), Status: 404}}
	}),
)
