package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The auditor", func() {
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
		Entry("nothing has happened", "", func(p *historyBuilder) {}),
		Entry("all goes well", "", func(p *historyBuilder) {
			p.firstDone()
			for i := range 2 {
				p.run(p.first, 1, i, 1, 4, 5, protocol.EndDone)
				p.run(p.second, 2, i, 1, 4, 5, protocol.EndDone)
			}
			p.query(6, 200, protocol.JobCompleted)
		}),

		Entry("LIMIT: full to the brim", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),
		Entry("LIMIT: over its CPU", RuleLimit, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 0, 1, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 2, 0, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its memory", RuleLimit, func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].MemoryMB = 600
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its accelerators", RuleLimit, func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].GPU = 1
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a runner that guards its capacity", "", func(p *historyBuilder) {
			p.first.EnforcesCapacity = true
			p.submitted.Spec.Steps[0].CPU = 9000
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),

		Entry("TWICE: one after the other", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: at one time", RuleTwice, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: at one time, where copies may run", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: the first died with its runner", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 2.5, EndCrashed).Acknowledged = Never
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: after its end", RuleTwice, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end taken note of only later", RuleTwice, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = at(9)
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end that was never taken note of", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = Never
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end whose runner's hold lapsed before it was taken note of", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).LapsedBeforeAck = true
			p.run(p.second, 0, 0, 2, 5.5, 6, protocol.EndStopped)
		}),
		Entry("TWICE: a copy soon after the end", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a copy long after the end", RuleTwice, func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a copy long after the end, by a machine out of touch", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
			p.fault(2, 2.5, Fault{Machines: []string{"side-i-2"}})
		}),
		Entry("TWICE: a member of a gang after another's end", RuleTwice, func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 2, 1, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: what lasts is started again", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].LongRunning = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 6, 7, protocol.EndDone)
		}),

		Entry("ORDER: before an earlier step", RuleOrder, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 1, 1, 2, 4, protocol.EndDone)
			p.run(p.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: an earlier step that only failed", RuleOrder, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 1, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: at its time", "", func(p *historyBuilder) {
			p.submitted.Spec.Repetitions, p.submitted.Spec.FirstRunMs = 1, EpochMs+2200
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before its time", RuleOrder, func(p *historyBuilder) {
			p.submitted.Spec.Repetitions, p.submitted.Spec.FirstRunMs = 1, EpochMs+2300
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before its time on a day when clocks jump", "", func(p *historyBuilder) {
			p.submitted.Spec.Repetitions, p.submitted.Spec.FirstRunMs = 1, EpochMs+7200
			p.fault(30, 30, Fault{Clock: true})
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: the second time before its own", RuleOrder, func(p *historyBuilder) {
			p.submitted.Spec.Repetitions, p.submitted.Spec.FirstRunMs, p.submitted.Spec.IntervalMs = 2, EpochMs+2000, 1000
			run := p.run(p.first, 0, 0, 1, 2, 2.5, protocol.EndDone)
			run.Task.Repetition = 1
			run.TaskText = run.Task.String()
		}),

		Entry("ROUTE: another service", RuleRoute, func(p *historyBuilder) {
			p.run(p.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a service that some configuration sends the queue to", "", func(p *historyBuilder) {
			p.configuration(5, 1, map[QueueName]RouteRecord{p.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			p.read(59.6, 5)
			p.ReadBacks = p.ReadBacks[1:]
			p.run(p.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: without the label", RuleRoute, func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].Requirements = "b"
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: with the label", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].Requirements = "b"
			p.run(p.second, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: beyond antiAffinity", RuleRoute, func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AntiAffinity = 1
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 2.5, 3, protocol.EndDone)
		}),
		Entry("ROUTE: within antiAffinity, one after the other", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].AntiAffinity = 1
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),

		Entry("BUDGET: within it", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
		}),
		Entry("BUDGET: beyond it", RuleBudget, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			p.run(p.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: an end that was never taken note of", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed).Acknowledged = Never
			p.run(p.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: a gang's runs count once each", "", func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 1, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 0, 2, 4, 5, protocol.EndDone)
			p.run(p.first, 2, 1, 2, 4, 5, protocol.EndDone)
		}),
		Entry("BUDGET: beyond a gang's", RuleBudget, func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 1, 2, 4, 5, protocol.EndFailed)
			p.run(p.first, 2, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: none where tasks last", "", func(p *historyBuilder) {
			p.submitted.Spec.Steps[0].LongRunning = true
			for i := range 5 {
				p.run(p.first, 0, 0, uint64(i+1), 2+float64(i), 2.5+float64(i), protocol.EndFailed)
			}
		}),

		Entry("GANG: alone in a calm", RuleGang, func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
		}),
		Entry("GANG: alone near trouble", "", func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.fault(6, 7, Fault{Kind: "srv_crash"})
		}),
		Entry("GANG: alone near a change of the configuration", RuleGang, func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.fault(6, 7, Fault{Kind: "config", Planned: true})
		}),
		Entry("GANG: alone after its job was cancelled", "", func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.cancel(6)
		}),
		Entry("GANG: members bring different checkpoints", RuleGang, func(p *historyBuilder) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndBroken).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 2, 0}, true, 5)
			p.run(p.first, 2, 1, 1, 5, 8, protocol.EndBroken)
		}),

		Entry("UNASKED: a job that nobody sent", RuleUnasked, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Task.Job = "00000000000000bb"
		}),
		Entry("UNASKED: a task that the step has not", RuleUnasked, func(p *historyBuilder) {
			p.run(p.first, 0, 2, 1, 2, 3, protocol.EndDone)
		}),
		Entry("UNASKED: another spec", RuleUnasked, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Spec = "another text"
		}),
		Entry("UNASKED: its own checkpoint", "", func(p *historyBuilder) {
			p.firstDone()
			p.run(p.first, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 1}, false, 7)
		}),
		Entry("UNASKED: another task's checkpoint", RuleUnasked, func(p *historyBuilder) {
			p.firstDone()
			p.run(p.first, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 0}, false, 7)
		}),
		Entry("UNASKED: a checkpoint where there is none", RuleUnasked, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 0, 0}, false, 7)
		}),
		Entry("UNASKED: a start soon after the cancel", "", func(p *historyBuilder) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 7, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after the cancel", RuleUnasked, func(p *historyBuilder) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 7.2, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after a cancel that is not acknowledged in a calm", RuleUnasked, func(p *historyBuilder) {
			p.cancel(4)
			p.submitted.Cancels[0].Answered = Never
			p.run(p.first, 0, 0, 1, 11.2, 11.5, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel", RuleUnasked, func(p *historyBuilder) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel, near trouble", "", func(p *historyBuilder) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
			p.fault(6, 7, Fault{Kind: "cut", Machines: []string{"side-i-1"}})
		}),

		Entry("REFUSED: every try was rejected", RuleRefused, func(p *historyBuilder) {
			p.submitted.Accepted = Never
			p.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 503}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one try was not answered", "", func(p *historyBuilder) {
			p.submitted.Accepted = Never
			p.submitted.Submissions = []Attempt{{Sent: at(1), Answered: Never}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one try got 504", "", func(p *historyBuilder) {
			p.submitted.Accepted = Never
			p.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 504}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),

		Entry("DRAIN: within drainMs", "", func(p *historyBuilder) {
			p.first.DrainAcknowledged = at(4)
			p.run(p.first, 0, 0, 1, 6, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs", RuleDrain, func(p *historyBuilder) {
			p.first.DrainAcknowledged = at(4)
			p.run(p.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs, by a machine out of touch", "", func(p *historyBuilder) {
			p.first.DrainAcknowledged = at(4)
			p.run(p.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
			p.fault(5, 5, Fault{ControlPlane: true})
		}),

		Entry("MIXED: completed before the last end", RuleMixed, func(p *historyBuilder) {
			p.firstDone()
			p.query(6, 200, protocol.JobCompleted)
		}),
		Entry("MIXED: a state that is none", RuleMixed, func(p *historyBuilder) {
			p.query(6, 200, "done")
		}),

		Entry("LOST: unknown soon after its acceptance", "", func(p *historyBuilder) { p.query(3.9, 410, "") }),
		Entry("LOST: unknown long after its acceptance", RuleLost, func(p *historyBuilder) { p.query(4.1, 410, "") }),
		Entry("LOST: unknown, by a machine out of touch", "", func(p *historyBuilder) {
			p.query(4.1, 410, "")
			p.fault(3, 4, Fault{Machines: []string{"front-0"}})
		}),
		Entry("LOST: unknown after a cancel", "", func(p *historyBuilder) { p.cancel(3); p.query(14, 410, "") }),
		Entry("LOST: failed without cause", RuleLost, func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndLapsed)
			p.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: failed with cause", "", func(p *historyBuilder) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			p.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: cancelled by nobody", RuleLost, func(p *historyBuilder) { p.query(6, 200, protocol.JobCancelled) }),
		Entry("LOST: cancelled before it is cancelled", RuleLost, func(p *historyBuilder) { p.query(6, 200, protocol.JobCancelled); p.cancel(7) }),
		Entry("LOST: no answer at the end", RuleLost, func(p *historyBuilder) {
			p.submitted.Queries = []Attempt{{Machine: "front-0", Sent: at(50), Answered: Never}, {Machine: "front-0", Sent: at(55), Answered: at(56), Status: 503}}
		}),
		Entry("LOST: unknown at the end", RuleLost, func(p *historyBuilder) {
			p.fault(49, 60, Fault{ControlPlane: true})
			p.query(55, 410, "")
		}),
		Entry("LOST: it stands still", RuleLost, func(p *historyBuilder) { p.StalledJobs = []StalledJob{{testJob, at(45), at(48)}} }),

		Entry("RECOVER: nothing is served after the final fault", RuleRecover, func(p *historyBuilder) {
			p.FinalFault, p.Returned = at(10), at(12)
			p.AddJob(&JobRecord{ID: "00000000000000cc", Accepted: Never, Submissions: []Attempt{{Sent: at(30), Answered: Never}}})
		}),
		Entry("RECOVER: a quarter is served", "", func(p *historyBuilder) {
			p.FinalFault, p.Returned = at(10), at(12)
			for i := range 4 {
				job := &JobRecord{ID: string(rune('0' + i)), Accepted: Never, Submissions: []Attempt{{Sent: at(30), Answered: Never}}}
				p.AddJob(job)
			}
			p.JobOrder[1].Accepted = at(31)
			p.JobOrder[1].Queries = p.submitted.Queries
		}),
	)
})
