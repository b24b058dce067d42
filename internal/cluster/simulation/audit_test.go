package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The auditor", func() {
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
		Entry("nothing has happened", "", func(p *page) {}),
		Entry("all goes well", "", func(p *page) {
			p.firstDone()
			for i := range 2 {
				p.run(p.first, 1, i, 1, 4, 5, protocol.EndDone)
				p.run(p.second, 2, i, 1, 4, 5, protocol.EndDone)
			}
			p.ask(6, 200, protocol.JobCompleted)
		}),

		Entry("LIMIT: full to the brim", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),
		Entry("LIMIT: over its CPU", RuleLimit, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 0, 1, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 2, 0, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its memory", RuleLimit, func(p *page) {
			p.job.Spec.Steps[0].MemoryMB = 600
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: over its accelerators", RuleLimit, func(p *page) {
			p.job.Spec.Steps[0].GPU = 1
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a runner that guards its capacity", "", func(p *page) {
			p.first.Guards = true
			p.job.Spec.Steps[0].CPU = 9000
			p.run(p.first, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),

		Entry("TWICE: one after the other", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: at one time", RuleTwice, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: at one time, where copies may run", "", func(p *page) {
			p.job.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: the first died with its runner", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 2.5, EndCrashed).Noted = Never
			p.run(p.second, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: after its end", RuleTwice, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end taken note of only later", RuleTwice, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Noted = at(9)
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end that was never taken note of", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Noted = Never
			p.run(p.second, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: after an end whose runner's hold lapsed before it was taken note of", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).NoteLost = true
			p.run(p.second, 0, 0, 2, 5.5, 6, protocol.EndStopped)
		}),
		Entry("TWICE: a copy soon after the end", "", func(p *page) {
			p.job.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a copy long after the end", RuleTwice, func(p *page) {
			p.job.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
		}),
		Entry("TWICE: a copy long after the end, by a machine out of touch", "", func(p *page) {
			p.job.Spec.Steps[0].AtMostOnce = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 4.2, 5, protocol.EndStopped)
			p.struck(2, 2.5, Trouble{Machines: []string{"side-i-2"}})
		}),
		Entry("TWICE: a member of a gang after another's end", RuleTwice, func(p *page) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 2, 1, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: what lasts is started again", "", func(p *page) {
			p.job.Spec.Steps[0].LongRunning = true
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 0, 2, 6, 7, protocol.EndDone)
		}),

		Entry("ORDER: before an earlier step", RuleOrder, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 1, 1, 2, 4, protocol.EndDone)
			p.run(p.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: an earlier step that only failed", RuleOrder, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.second, 0, 1, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: at its time", "", func(p *page) {
			p.job.Spec.Repetitions, p.job.Spec.FirstRunMs = 1, EpochMs+2200
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before its time", RuleOrder, func(p *page) {
			p.job.Spec.Repetitions, p.job.Spec.FirstRunMs = 1, EpochMs+2300
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: before its time on a day when clocks jump", "", func(p *page) {
			p.job.Spec.Repetitions, p.job.Spec.FirstRunMs = 1, EpochMs+7200
			p.struck(30, 30, Trouble{Clock: true})
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: the second time before its own", RuleOrder, func(p *page) {
			p.job.Spec.Repetitions, p.job.Spec.FirstRunMs, p.job.Spec.IntervalMs = 2, EpochMs+2000, 1000
			run := p.run(p.first, 0, 0, 1, 2, 2.5, protocol.EndDone)
			run.Task.Time = 1
			run.Text = run.Task.String()
		}),

		Entry("ROUTE: another service", RuleRoute, func(p *page) {
			p.run(p.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a service that some configuration sends the queue to", "", func(p *page) {
			p.configuration(5, 1, map[QueueName]RouteRecord{p.job.Queue: {Service: "beta", MaxAttempts: 2}})
			p.read(59.6, 5)
			p.Reads = p.Reads[1:]
			p.run(p.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: without the label", RuleRoute, func(p *page) {
			p.job.Spec.Steps[0].Requirements = "b"
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: with the label", "", func(p *page) {
			p.job.Spec.Steps[0].Requirements = "b"
			p.run(p.second, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: beyond antiAffinity", RuleRoute, func(p *page) {
			p.job.Spec.Steps[0].AntiAffinity = 1
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 2.5, 3, protocol.EndDone)
		}),
		Entry("ROUTE: within antiAffinity, one after the other", "", func(p *page) {
			p.job.Spec.Steps[0].AntiAffinity = 1
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
			p.run(p.first, 0, 1, 1, 3, 4, protocol.EndDone)
		}),

		Entry("BUDGET: within it", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
		}),
		Entry("BUDGET: beyond it", RuleBudget, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			p.run(p.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: an end that was never taken note of", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed).Noted = Never
			p.run(p.first, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: a gang's runs count once each", "", func(p *page) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 1, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 0, 2, 4, 5, protocol.EndDone)
			p.run(p.first, 2, 1, 2, 4, 5, protocol.EndDone)
		}),
		Entry("BUDGET: beyond a gang's", RuleBudget, func(p *page) {
			p.run(p.first, 2, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 2, 1, 2, 4, 5, protocol.EndFailed)
			p.run(p.first, 2, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: none where tasks last", "", func(p *page) {
			p.job.Spec.Steps[0].LongRunning = true
			for i := range 5 {
				p.run(p.first, 0, 0, uint64(i+1), 2+float64(i), 2.5+float64(i), protocol.EndFailed)
			}
		}),

		Entry("GANG: alone in a calm", RuleGang, func(p *page) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
		}),
		Entry("GANG: alone near trouble", "", func(p *page) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.struck(6, 7, Trouble{Kind: "srv_crash"})
		}),
		Entry("GANG: alone near a change of the configuration", RuleGang, func(p *page) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.struck(6, 7, Trouble{Kind: "config", Planned: true})
		}),
		Entry("GANG: alone after its job was cancelled", "", func(p *page) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndAlone)
			p.cancel(6)
		}),
		Entry("GANG: members bring different checkpoints", RuleGang, func(p *page) {
			p.run(p.first, 2, 0, 1, 5, 8, protocol.EndBroken).Saved = checkpointText(TaskName{testJob, 0, 2, 0}, true, 5)
			p.run(p.first, 2, 1, 1, 5, 8, protocol.EndBroken)
		}),

		Entry("UNASKED: a job that nobody sent", RuleUnasked, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Task.Job = "00000000000000bb"
		}),
		Entry("UNASKED: a task that the step has not", RuleUnasked, func(p *page) {
			p.run(p.first, 0, 2, 1, 2, 3, protocol.EndDone)
		}),
		Entry("UNASKED: another spec", RuleUnasked, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone).Spec = "another text"
		}),
		Entry("UNASKED: its own checkpoint", "", func(p *page) {
			p.firstDone()
			p.run(p.first, 1, 1, 1, 4, 5, protocol.EndDone).Saved = checkpointText(TaskName{testJob, 0, 1, 1}, false, 7)
		}),
		Entry("UNASKED: another task's checkpoint", RuleUnasked, func(p *page) {
			p.firstDone()
			p.run(p.first, 1, 1, 1, 4, 5, protocol.EndDone).Saved = checkpointText(TaskName{testJob, 0, 1, 0}, false, 7)
		}),
		Entry("UNASKED: a checkpoint where there is none", RuleUnasked, func(p *page) {
			p.run(p.first, 0, 0, 1, 4, 5, protocol.EndDone).Saved = checkpointText(TaskName{testJob, 0, 0, 0}, false, 7)
		}),
		Entry("UNASKED: a start soon after the cancel", "", func(p *page) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 7, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after the cancel", RuleUnasked, func(p *page) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 7.2, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a start long after a cancel that is not acknowledged in a calm", RuleUnasked, func(p *page) {
			p.cancel(4)
			p.job.Cancels[0].Answered = Never
			p.run(p.first, 0, 0, 1, 11.2, 11.5, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel", RuleUnasked, func(p *page) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
		}),
		Entry("UNASKED: it goes on after the cancel, near trouble", "", func(p *page) {
			p.cancel(4)
			p.run(p.first, 0, 0, 1, 3, 8.2, protocol.EndStopped)
			p.struck(6, 7, Trouble{Kind: "cut", Machines: []string{"side-i-1"}})
		}),

		Entry("REFUSED: every try was rejected", RuleRefused, func(p *page) {
			p.job.Accepted = Never
			p.job.HandIns = []Try{{Sent: at(1), Answered: at(1.1), Status: 503}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one try was not answered", "", func(p *page) {
			p.job.Accepted = Never
			p.job.HandIns = []Try{{Sent: at(1), Answered: Never}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: one try got 504", "", func(p *page) {
			p.job.Accepted = Never
			p.job.HandIns = []Try{{Sent: at(1), Answered: at(1.1), Status: 504}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndDone)
		}),

		Entry("DRAIN: within drainMs", "", func(p *page) {
			p.first.DrainAck = at(4)
			p.run(p.first, 0, 0, 1, 6, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs", RuleDrain, func(p *page) {
			p.first.DrainAck = at(4)
			p.run(p.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
		}),
		Entry("DRAIN: after drainMs, by a machine out of touch", "", func(p *page) {
			p.first.DrainAck = at(4)
			p.run(p.first, 0, 0, 1, 6.1, 7, protocol.EndDone)
			p.struck(5, 5, Trouble{Core: true})
		}),

		Entry("MIXED: completed before the last end", RuleMixed, func(p *page) {
			p.firstDone()
			p.ask(6, 200, protocol.JobCompleted)
		}),
		Entry("MIXED: a state that is none", RuleMixed, func(p *page) {
			p.ask(6, 200, "done")
		}),

		Entry("LOST: unknown soon after its acceptance", "", func(p *page) { p.ask(3.9, 410, "") }),
		Entry("LOST: unknown long after its acceptance", RuleLost, func(p *page) { p.ask(4.1, 410, "") }),
		Entry("LOST: unknown, by a machine out of touch", "", func(p *page) {
			p.ask(4.1, 410, "")
			p.struck(3, 4, Trouble{Machines: []string{"front-0"}})
		}),
		Entry("LOST: unknown after a cancel", "", func(p *page) { p.cancel(3); p.ask(14, 410, "") }),
		Entry("LOST: failed without cause", RuleLost, func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndLapsed)
			p.ask(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: failed with cause", "", func(p *page) {
			p.run(p.first, 0, 0, 1, 2, 3, protocol.EndFailed)
			p.run(p.first, 0, 0, 2, 4, 5, protocol.EndFailed)
			p.ask(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: cancelled by nobody", RuleLost, func(p *page) { p.ask(6, 200, protocol.JobCancelled) }),
		Entry("LOST: cancelled before it is cancelled", RuleLost, func(p *page) { p.ask(6, 200, protocol.JobCancelled); p.cancel(7) }),
		Entry("LOST: no answer at the end", RuleLost, func(p *page) {
			p.job.Asks = []Try{{Machine: "front-0", Sent: at(50), Answered: Never}, {Machine: "front-0", Sent: at(55), Answered: at(56), Status: 503}}
		}),
		Entry("LOST: unknown at the end", RuleLost, func(p *page) {
			p.struck(49, 60, Trouble{Core: true})
			p.ask(55, 410, "")
		}),
		Entry("LOST: it stands still", RuleLost, func(p *page) { p.Idle = []IdleJob{{testJob, at(45), at(48)}} }),

		Entry("RECOVER: nothing is served after the final fault", RuleRecover, func(p *page) {
			p.FinalFault, p.Returned = at(10), at(12)
			p.AddJob(&JobRecord{ID: "00000000000000cc", Accepted: Never, HandIns: []Try{{Sent: at(30), Answered: Never}}})
		}),
		Entry("RECOVER: a quarter is served", "", func(p *page) {
			p.FinalFault, p.Returned = at(10), at(12)
			for i := range 4 {
				job := &JobRecord{ID: string(rune('0' + i)), Accepted: Never, HandIns: []Try{{Sent: at(30), Answered: Never}}}
				p.AddJob(job)
			}
			p.JobOrder[1].Accepted = at(31)
			p.JobOrder[1].Asks = p.job.Asks
		}),
	)
})
