package simulation

import (
	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The auditor", func() {
	DescribeTable("finds the rule that a history breaks", expectAudit,
		Entry("a job was accepted and no task has started", noViolation, func(b *historyBuilder) {}),
		Entry("all tasks run once and the job is shown as completed", noViolation, func(b *historyBuilder) {
			b.completeFirstStep()
			for i := range 2 {
				b.run(b.firstRunner, 1, i, 1, 4, 5, protocol.EndDone)
				b.run(b.secondRunner, 2, i, 1, 4, 5, protocol.EndDone)
			}
			b.query(6, 200, protocol.JobCompleted)
		}),

		Entry("LIMIT: runs use exactly the capacity of a runner", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 4, protocol.EndDone)
			b.run(b.firstRunner, 0, 1, 1, 3, 4, protocol.EndDone)
		}),
		Entry("LIMIT: a start exceeds the CPU of a runner", RuleLimit, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 4, protocol.EndStopped)
			b.run(b.firstRunner, 0, 1, 1, 2, 4, protocol.EndStopped)
			b.run(b.firstRunner, 2, 0, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a start exceeds the memory of a runner", RuleLimit, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].MemoryMB = 600
			b.run(b.firstRunner, 0, 0, 1, 2, 4, protocol.EndStopped)
			b.run(b.firstRunner, 0, 1, 1, 3, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a start exceeds the GPUs of a runner", RuleLimit, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].GPU = 1
			b.run(b.firstRunner, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),
		Entry("LIMIT: a start exceeds the capacity of a runner that enforces it itself", noViolation, func(b *historyBuilder) {
			b.firstRunner.EnforcesCapacity = true
			b.submitted.Spec.Steps[0].CPU = 9000
			b.run(b.firstRunner, 0, 0, 1, 2, 4, protocol.EndStopped)
		}),

		Entry("TWICE: a second run starts when the first has ended stopped", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndStopped)
			b.run(b.secondRunner, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: two runs of a task overlap", RuleTwice, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			b.run(b.secondRunner, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: two runs of a task overlap in a step with AtMostOnce", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.firstRunner, 0, 0, 1, 2, 3.1, protocol.EndStopped)
			b.run(b.secondRunner, 0, 0, 2, 3, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a second run starts after the first ended with its runner", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 2.5, EndCrashed).Acknowledged = Never
			b.run(b.secondRunner, 0, 0, 2, 3, 4, protocol.EndDone)
		}),
		Entry("TWICE: a run starts after another has ended done", RuleTwice, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a run starts between the done end of another and its acknowledgement", RuleTwice, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = at(9)
			b.run(b.secondRunner, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a run starts after the done end of another that is never acknowledged", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone).Acknowledged = Never
			b.run(b.secondRunner, 0, 0, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a run starts after the done end of another, whose runner's lease expired before the acknowledgement", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone).LapsedBeforeAck = true
			b.run(b.secondRunner, 0, 0, 2, 5.5, 6, protocol.EndStopped)
		}),
		Entry("TWICE: with AtMostOnce, a run starts less than 1 s after the acknowledgement of a done end", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 0, 2, 4, 5, protocol.EndStopped)
		}),
		Entry("TWICE: with AtMostOnce, a run starts more than 1 s after the acknowledgement of a done end", RuleTwice, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 0, 2, 4.2, 5, protocol.EndStopped)
		}),
		Entry("TWICE: with AtMostOnce, a run starts more than 1 s after the acknowledgement of a done end, on a disturbed machine", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AtMostOnce = true
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 0, 2, 4.2, 5, protocol.EndStopped)
			b.fault(2, 2.5, Fault{Machines: []string{"side-i-2"}})
		}),
		Entry("TWICE: a member of a gang starts after another member has ended done", RuleTwice, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 2, 1, 2, 3.5, 4, protocol.EndStopped)
		}),
		Entry("TWICE: a long-running task starts again after it has ended done", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].LongRunning = true
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 0, 2, 6, 7, protocol.EndDone)
		}),

		Entry("ORDER: a task starts before the step on which it depends is done", RuleOrder, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 1, 1, 2, 4, protocol.EndDone)
			b.run(b.firstRunner, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: a task starts after a task on which it depends has ended failed", RuleOrder, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.secondRunner, 0, 1, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 1, 0, 1, 3.5, 5, protocol.EndDone)
		}),
		Entry("ORDER: a repetition starts 0.2 s before it is due", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+2200
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: a repetition starts 0.3 s before it is due", RuleOrder, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+2300
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: a repetition starts 5.2 s before it is due in a scenario that steps a clock", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs = 1, EpochMs+7200
			b.fault(30, 30, Fault{Clock: true})
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ORDER: the second repetition starts 1 s before it is due", RuleOrder, func(b *historyBuilder) {
			b.submitted.Spec.Repetitions, b.submitted.Spec.FirstRunMs, b.submitted.Spec.IntervalMs = 2, EpochMs+2000, 1000
			run := b.run(b.firstRunner, 0, 0, 1, 2, 2.5, protocol.EndDone)
			run.Task.Repetition = 1
			run.TaskText = run.Task.String()
		}),

		Entry("ROUTE: a task runs at a service that is not its queue's", RuleRoute, func(b *historyBuilder) {
			b.run(b.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a task runs at the service that another configuration has for its queue", noViolation, func(b *historyBuilder) {
			b.configuration(5, 1, map[QueueName]RouteRecord{b.submitted.Queue: {Service: "beta", MaxAttempts: 2}})
			b.read(59.6, 5)
			b.ReadBacks = b.ReadBacks[1:]
			b.run(b.runner("i-3", "beta", "a"), 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a task runs on a runner without the required label", RuleRoute, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].Requirements = "b"
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a task runs on a runner with the required label", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].Requirements = "b"
			b.run(b.secondRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("ROUTE: more tasks of a step overlap on a runner than antiAffinity allows", RuleRoute, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AntiAffinity = 1
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.firstRunner, 0, 1, 1, 2.5, 3, protocol.EndDone)
		}),
		Entry("ROUTE: a runner runs as many tasks of a step as antiAffinity allows, one after the other", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].AntiAffinity = 1
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
			b.run(b.firstRunner, 0, 1, 1, 3, 4, protocol.EndDone)
		}),

		Entry("BUDGET: as many runs end failed as the budget allows", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 2, 4, 5, protocol.EndFailed)
		}),
		Entry("BUDGET: a run starts after as many have ended failed as the budget allows", RuleBudget, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 2, 4, 5, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: a run starts after failed ends of which one is never acknowledged", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 2, 4, 5, protocol.EndFailed).Acknowledged = Never
			b.run(b.firstRunner, 0, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: the failed ends of all members of a gang run count once", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 2, 1, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 2, 0, 2, 4, 5, protocol.EndDone)
			b.run(b.firstRunner, 2, 1, 2, 4, 5, protocol.EndDone)
		}),
		Entry("BUDGET: a gang starts after as many of its runs have failed as the budget allows", RuleBudget, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 2, 1, 2, 4, 5, protocol.EndFailed)
			b.run(b.firstRunner, 2, 0, 3, 6, 7, protocol.EndDone)
		}),
		Entry("BUDGET: a long-running task starts after any number of failed ends", noViolation, func(b *historyBuilder) {
			b.submitted.Spec.Steps[0].LongRunning = true
			for i := range 5 {
				b.run(b.firstRunner, 0, 0, uint64(i+1), 2+float64(i), 2.5+float64(i), protocol.EndFailed)
			}
		}),

		Entry("GANG: a member ends alone in a fault-free span", RuleGang, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 5, 8, protocol.EndAlone)
		}),
		Entry("GANG: a member ends alone during a fault", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.fault(6, 7, Fault{Kind: "srv_crash"})
		}),
		Entry("GANG: a member ends alone during a planned event", RuleGang, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.fault(6, 7, Fault{Kind: "config", Planned: true})
		}),
		Entry("GANG: a member ends alone after its job was cancelled", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 5, 8, protocol.EndAlone)
			b.cancel(6)
		}),
		Entry("GANG: members of one run start from different checkpoints", RuleGang, func(b *historyBuilder) {
			b.run(b.firstRunner, 2, 0, 1, 5, 8, protocol.EndBroken).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 2, 0}, true, 5)
			b.run(b.firstRunner, 2, 1, 1, 5, 8, protocol.EndBroken)
		}),

		Entry("UNASKED: a run is of a job that no client submitted", RuleUnasked, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone).Task.Job = "00000000000000bb"
		}),
		Entry("UNASKED: a run is of a task that the step does not have", RuleUnasked, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 2, 1, 2, 3, protocol.EndDone)
		}),
		Entry("UNASKED: a run has another spec than was submitted", RuleUnasked, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone).Spec = "another text"
		}),
		Entry("UNASKED: a run starts from a checkpoint of its task", noViolation, func(b *historyBuilder) {
			b.completeFirstStep()
			b.run(b.firstRunner, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 1}, false, 7)
		}),
		Entry("UNASKED: a run starts from a checkpoint of another task", RuleUnasked, func(b *historyBuilder) {
			b.completeFirstStep()
			b.run(b.firstRunner, 1, 1, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 1, 0}, false, 7)
		}),
		Entry("UNASKED: a run of a step without checkpoints starts from one", RuleUnasked, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 4, 5, protocol.EndDone).Checkpoint = formatCheckpoint(TaskName{testJob, 0, 0, 0}, false, 7)
		}),
		Entry("UNASKED: a run starts less than 3 s after the cancel was acknowledged", noViolation, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.firstRunner, 0, 0, 1, 7, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a run starts more than 3 s after the cancel was acknowledged", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.firstRunner, 0, 0, 1, 7.2, 7.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a run starts more than 3 s after a cancel was answered with 410", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.submitted.Cancels[0].Status = 410
			b.run(b.firstRunner, 0, 0, 1, 7.1, 7.2, protocol.EndDone)
		}),
		Entry("UNASKED: a run starts more than 7 s after a cancel that is not acknowledged in a fault-free span", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.submitted.Cancels[0].Answered = Never
			b.run(b.firstRunner, 0, 0, 1, 11.2, 11.5, protocol.EndStopped)
		}),
		Entry("UNASKED: a run continues for longer than 3.9 s after the cancel was acknowledged", RuleUnasked, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.firstRunner, 0, 0, 1, 3, 8.2, protocol.EndStopped)
		}),
		Entry("UNASKED: a run continues for longer than 3.9 s after the cancel was acknowledged, during a fault", noViolation, func(b *historyBuilder) {
			b.cancel(4)
			b.run(b.firstRunner, 0, 0, 1, 3, 8.2, protocol.EndStopped)
			b.fault(6, 7, Fault{Kind: "cut", Machines: []string{"side-i-1"}})
		}),

		Entry("REFUSED: a run starts although every submission was rejected", RuleRefused, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 503}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: a run starts when one submission was not answered and the other rejected", noViolation, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: Never}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),
		Entry("REFUSED: a run starts when one submission was answered 504 and the other rejected", noViolation, func(b *historyBuilder) {
			b.submitted.Accepted = Never
			b.submitted.Submissions = []Attempt{{Sent: at(1), Answered: at(1.1), Status: 504}, {Sent: at(1.5), Answered: at(1.6), Status: 429}}
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndDone)
		}),

		Entry("DRAIN: a run starts 2 s after `draining` was acknowledged", noViolation, func(b *historyBuilder) {
			b.firstRunner.DrainAcknowledged = at(4)
			b.run(b.firstRunner, 0, 0, 1, 6, 7, protocol.EndDone)
		}),
		Entry("DRAIN: a run starts more than 2 s after `draining` was acknowledged", RuleDrain, func(b *historyBuilder) {
			b.firstRunner.DrainAcknowledged = at(4)
			b.run(b.firstRunner, 0, 0, 1, 6.1, 7, protocol.EndDone)
		}),
		Entry("DRAIN: a run starts more than 2 s after `draining` was acknowledged, on a disturbed machine", noViolation, func(b *historyBuilder) {
			b.firstRunner.DrainAcknowledged = at(4)
			b.run(b.firstRunner, 0, 0, 1, 6.1, 7, protocol.EndDone)
			b.fault(5, 5, Fault{ControlPlane: true})
		}),

		Entry("MIXED: a job is shown as completed before its last task has ended", RuleMixed, func(b *historyBuilder) {
			b.completeFirstStep()
			b.query(6, 200, protocol.JobCompleted)
		}),
		Entry("MIXED: a job is shown in a state that does not exist", RuleMixed, func(b *historyBuilder) {
			b.query(6, 200, "done")
		}),

		Entry("LOST: a job is unknown less than 3 s after its acceptance", noViolation, func(b *historyBuilder) { b.query(3.9, 410, "") }),
		Entry("LOST: a job is unknown more than 3 s after its acceptance", RuleLost, func(b *historyBuilder) { b.query(4.1, 410, "") }),
		Entry("LOST: a job is unknown to a disturbed machine more than 3 s after its acceptance", noViolation, func(b *historyBuilder) {
			b.query(4.1, 410, "")
			b.fault(3, 4, Fault{Machines: []string{"front-0"}})
		}),
		Entry("LOST: a job is unknown after a cancel", noViolation, func(b *historyBuilder) { b.cancel(3); b.query(14, 410, "") }),
		Entry("LOST: a job is shown as failed though no task has used up its budget", RuleLost, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 2, 4, 5, protocol.EndLapsed)
			b.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: a job is shown as failed when a task has used up its budget", noViolation, func(b *historyBuilder) {
			b.run(b.firstRunner, 0, 0, 1, 2, 3, protocol.EndFailed)
			b.run(b.firstRunner, 0, 0, 2, 4, 5, protocol.EndFailed)
			b.query(6, 200, protocol.JobFailed)
		}),
		Entry("LOST: a job is shown as cancelled though no cancel was sent", RuleLost, func(b *historyBuilder) { b.query(6, 200, protocol.JobCancelled) }),
		Entry("LOST: a job is shown as cancelled before the cancel was sent", RuleLost, func(b *historyBuilder) { b.query(6, 200, protocol.JobCancelled); b.cancel(7) }),
		Entry("LOST: no query after the traffic gets the state of a job", RuleLost, func(b *historyBuilder) {
			b.submitted.Queries = []Attempt{{Machine: "front-0", Sent: at(50), Answered: Never}, {Machine: "front-0", Sent: at(55), Answered: at(56), Status: 503}}
		}),
		Entry("LOST: a job is unknown after the traffic, during a fault", RuleLost, func(b *historyBuilder) {
			b.fault(49, 60, Fault{ControlPlane: true})
			b.query(55, 410, "")
		}),
		Entry("LOST: a job is stalled after the traffic", RuleLost, func(b *historyBuilder) { b.StalledJobs = []StalledJob{{testJob, at(45), at(48)}} }),

		Entry("DUTY: a machine calls four times with a refused fencing token later than a lease after the refusal", RuleDuty, func(b *historyBuilder) {
			b.refuse("side-i-1", 7, 2, 3, 4, 9, 10, 11, 12)
		}),
		Entry("DUTY: a machine calls three times with a refused fencing token later than a lease after the refusal", noViolation, func(b *historyBuilder) {
			b.refuse("side-i-1", 7, 2, 3, 4, 9, 10, 11)
		}),
		Entry("DUTY: a machine is refused with another fencing token at each call", noViolation, func(b *historyBuilder) {
			for token := range uint64(8) {
				b.refuse("side-i-1", token, float64(2+3*token))
			}
		}),
		Entry("RECOVER: no job is accepted after the final fault", RuleRecover, func(b *historyBuilder) {
			b.FinalFault, b.Returned = at(10), at(12)
			b.AddJob(&JobRecord{ID: "00000000000000cc", Accepted: Never, Submissions: []Attempt{{Sent: at(30), Answered: Never}}})
		}),
		Entry("RECOVER: a quarter of the jobs is accepted after the final fault", noViolation, func(b *historyBuilder) {
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
