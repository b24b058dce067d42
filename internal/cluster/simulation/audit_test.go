package simulation

import (
	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The auditor", func() {
	DescribeTable("checks a history against the rules", expectAudit,
		Entry("nothing has happened", noViolation, func(b *historyBuilder) {}),
		Entry("all goes well", noViolation, func(b *historyBuilder) {
			b.completeFirstStep()
			for i := range 2 {
				b.run(b.first, 1, i, 1, 4, 5, protocol.EndDone)
				b.run(b.second, 2, i, 1, 4, 5, protocol.EndDone)
			}
			b.query(6, 200, protocol.JobCompleted)
		}),

		Entry("LIMIT: full to the brim", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 4, protocol.EndDone)
			b.run(b.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),
		Entry("LIMIT: over its CPU", RuleLimit, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			b.run(b.first, 0, 1, 1, 2, 4, protocol.EndStopped)
			b.run(b.first, 2, 0, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its memory", RuleLimit, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].MemoryMB = 600
			b.run(b.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			b.run(b.first, 0, 1, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its accelerators", RuleLimit, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].GPU = 1
			b.run(b.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a runner that guards its capacity", noViolation, func(b *historyBuilder) {
			b.first.EnforcesCapacity = true
			b.submitted.Spec.Steps[0].CPU = 9000
			b.run(b.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),

		Entry("TWICE: one after the other", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndStopped)
			b.run(b.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: at one time", RuleTwice, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			b.run(b.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: at one time, where a task may run twice", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			b.run(b.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: the first died with its runner", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 2.5, EndCrashed).Acknowledged = Never
			b.run(b.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: after its end", RuleTwice, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end that was acknowledged only later", RuleTwice, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = at(9)
			b.run(b.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end that was never acknowledged", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = Never
			b.run(b.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end whose runner's lease expired before it was acknowledged", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone).LapsedBeforeAck = true
			b.run(b.second, 0, 0, 2, 5.5, 6, protocol.EndStopped)
		}),
		Entry("TWICE: a second run soon after the end", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 0, 2, 4, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a second run long after the end", RuleTwice, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a second run long after the end, by a machine out of touch", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
			b.fault(2, 2.5, Fault{Machines: []string{"side-i-2"}})
		}),
		Entry("TWICE: a member of a gang after another's end", RuleTwice, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 2, 1, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a long-running task is started again", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].LongRunning = true
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 0, 2, 6, 7, protocol.EndDone)
		}),

		Entry("ORDER: before an earlier step", RuleOrder, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 1, 1, 2, 4, protocol.EndDone)
			b.run(b.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: an earlier step that only failed", RuleOrder, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.second, 0, 1, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: when it is due", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+2200
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before it is due", RuleOrder, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+2300
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before it is due, while clocks are stepped", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+7200
			b.fault(30, 30, Fault{Clock: true})
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: the second repetition before it is due", RuleOrder, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs, b.submitted.Spec.IntervalMs = 2, EpochMs+2000, 1000
			run := b.run(b.first, 0, 0, 1, 2, 2.5, protocol.EndDone)
			run.Task.Repetition = 1
			run.TaskText = run.Task.String()
		}),

		Entry("ROUTE: another service", RuleRoute, func(b *historyBuilder) {
			b.run(b.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a service that some configuration sends the queue to", noViolation, func(b *historyBuilder) {
			b.configuration(5, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.read(59.6, 5)
			b.ReadBacks = b.ReadBacks[1:]
			b.run(b.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: without the label", RuleRoute, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].Requirements = "b"
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: with the label", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].Requirements = "b"
			b.run(b.second, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: beyond antiAffinity", RuleRoute, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AntiAffinity = 1
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.first, 0, 1, 1, 2.5, 3, protocol.EndDone)
		}),
		Entry("ROUTE: within antiAffinity, one after the other", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AntiAffinity = 1
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),

		Entry("BUDGET: within it", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 0, 0, 2, 4, 5, protocol.EndFailed)
		}),
		Entry("BUDGET: beyond it", RuleBudget, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			b.run(b.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: an end that was never acknowledged", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 0, 0, 2, 4, 5, protocol.EndFailed).Acknowledged = Never
			b.run(b.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: a gang's runs count once each", noViolation, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 2, 1, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 2, 0, 2, 4, 5, protocol.EndDone)
			b.run(b.first, 2, 1, 2, 4, 5, protocol.EndDone)
		}),
		Entry("BUDGET: beyond a gang's", RuleBudget, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 2, 1, 2, 4, 5, protocol.EndFailed)
			b.run(b.first, 2, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: none for long-running tasks", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].LongRunning = true
			for i := range 5 {
				b.run(b.first, 0, 0, uint64(i+1), 2+float64(i), 2.5+float64(i), protocol.EndFailed)
			}
		}),

		Entry("GANG: alone in a calm", RuleGang, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 5, 8, protocol.EndAlone)
		}),
		Entry("GANG: alone near a fault", noViolation, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.fault(6, 7, Fault{Kind: "srv_crash"})
		}),
		Entry("GANG: alone near a change of the configuration", RuleGang, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.fault(6, 7, Fault{Kind: "config", Planned: true})
		}),
		Entry("GANG: alone after its job was cancelled", noViolation, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.cancel(6)
		}),
		Entry("GANG: members bring different checkpoints", RuleGang, func(b *historyBuilder) {
			b.run(b.first, 2, 0, 1, 5, 8, protocol.EndBroken).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 2, 0}, true, 5)
			b.run(b.first, 2, 1, 1, 5, 8, protocol.EndBroken)
		}),

		Entry("UNASKED: a job that nobody submitted", RuleUnasked, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone).Task.Job = "00000000000000bb"
		}),
		Entry("UNASKED: a task that the step does not have", RuleUnasked, func(b *historyBuilder) {
			b.run(b.first, 0, 2, 1, 2, 3, protocol.EndDone)
		}),
		Entry("UNASKED: another spec", RuleUnasked, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone).Spec = "another text"
		}),
		Entry("UNASKED: its own checkpoint", noViolation, func(b *historyBuilder) {
			b.completeFirstStep()
			b.run(b.first, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 1}, false, 7)
		}),
		Entry("UNASKED: another task's checkpoint", RuleUnasked, func(b *historyBuilder) {
			b.completeFirstStep()
			b.run(b.first, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 0}, false, 7)
		}),
		Entry("UNASKED: a checkpoint where there is none", RuleUnasked, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 0, 0}, false, 7)
		}),
		Entry("UNASKED: a start soon after the cancel", noViolation, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.first, 0, 0, 1, 7, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after the cancel", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.first, 0, 0, 1, 7.2, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after a cancel that is not acknowledged in a calm", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.submitted.Cancels[0].Answered = Never
			b.run(b.first, 0, 0, 1, 11.2, 11.5, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel, near a fault", noViolation, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
			b.fault(6, 7, Fault{Kind: "cut", Machines: []string{"side-i-1"}})
		}),

		Entry("REFUSED: every submission was rejected", RuleRefused, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 503}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one submission was not answered", noViolation, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: Never}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one submission got 504", noViolation, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 504}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),

		Entry("DRAIN: within drainMs", noViolation, func(b *historyBuilder) {
			b.first.DrainAcknowledged = at(4)
			b.run(b.first, 0, 0, 1, 6, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs", RuleDrain, func(b *historyBuilder) {
			b.first.DrainAcknowledged = at(4)
			b.run(b.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs, by a machine out of touch", noViolation, func(b *historyBuilder) {
			b.first.DrainAcknowledged = at(4)
			b.run(b.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
			b.fault(5, 5, Fault{ControlPlane: true})
		}),

		Entry("MIXED: completed before the last end", RuleMixed, func(b *historyBuilder) {
			b.completeFirstStep()
			b.query(6, 200, protocol.JobCompleted)
		}),
		Entry("MIXED: a state that does not exist", RuleMixed, func(b *historyBuilder) {
			b.query(6, 200, "done")
		}),

		Entry("LOST: unknown soon after its acceptance", noViolation, func(b *historyBuilder) { b.query(3.9, 410, "") }),
		Entry("LOST: unknown long after its acceptance", RuleLost, func(b *historyBuilder) { b.query(4.1, 410, "") }),
		Entry("LOST: unknown, by a machine out of touch", noViolation, func(b *historyBuilder) {
			b.query(4.1, 410, "")
			b.fault(3, 4, Fault{Machines: []string{"front-0"}})
		}),
		Entry("LOST: unknown after a cancel", noViolation, func(b *historyBuilder) { b.cancel(3); b.query(14, 410, "") }),
		Entry("LOST: failed without cause", RuleLost, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 0, 0, 2, 4, 5, protocol.EndLapsed)
			b.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: failed with cause", noViolation, func(b *historyBuilder) {
			b.run(b.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			b.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: cancelled by nobody", RuleLost, func(b *historyBuilder) { b.query(6, 200, protocol.JobCancelled) }),
		Entry("LOST: cancelled before it is cancelled", RuleLost, func(b *historyBuilder) { b.query(6, 200, protocol.JobCancelled); b.cancel(7) }),
		Entry("LOST: no answer at the end", RuleLost, func(b *historyBuilder) {
			b.submitted.Queries = []Attempt{{Machine: "front-0", Sent: at(50), Answered: Never}, {Machine: "front-0", Sent: at(55), Answered: at(56), Status: 503}}
		}),
		Entry("LOST: unknown at the end", RuleLost, func(b *historyBuilder) {
			b.fault(49, 60, Fault{ControlPlane: true})
			b.query(55, 410, "")
		}),
		Entry("LOST: it is stalled", RuleLost, func(b *historyBuilder) { b.StalledJobs = []StalledJob{{testJob, at(45), at(48)}} }),

		Entry("DUTY: a machine goes on calling with a refused fencing token", RuleDuty, func(b *historyBuilder) {
			b.refuse("side-i-1", 7, 2, 3, 4, 9, 10, 11, 12)
		}),
		Entry("DUTY: it does so three times", noViolation, func(b *historyBuilder) {
			b.refuse("side-i-1", 7, 2, 3, 4, 9, 10, 11)
		}),
		Entry("DUTY: each time with another token", noViolation, func(b *historyBuilder) {
			for token := range uint64(8) {
				b.refuse("side-i-1", token, float64(2+3*token))
			}
		}),
		Entry("RECOVER: nothing is accepted after the final fault", RuleRecover, func(b *historyBuilder) {
			b.FinalFault, b.Returned = at(10), at(12)
			b.AddJob(&JobRecord{ID: "00000000000000cc", Accepted: Never, Submissions: []Attempt{{Sent: at(30), Answered: Never}}})
		}),
		Entry("RECOVER: a quarter is accepted", noViolation, func(b *historyBuilder) {
			b.FinalFault, b.Returned = at(10), at(12)
			for i := range 4 {
				job := &JobRecord{ID: string(rune('0' + i)), Accepted: Never, Submissions: []Attempt{{Sent: at(30), Answered: Never}}}
				b.AddJob(job)
			}
			b.JobOrder[1].Accepted = at(31)
			b.JobOrder[1].Queries = b.submitted.Queries
		}),
	)
})
