package jobs_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("The phase of a task after the end of its run",
	func(outcome string, phase jobs.Phase, state string, attempts int, change ...func(*protocol.Step)) {
		s := newShard()
		s.submit(jobA, 2, step(2, change...))
		s.start("r1", 1, id(jobA, 0))
		task := s.Task(id(jobA, 0))
		effects := s.end("r1", id(jobA, 0), 1, protocol.RunEnd(outcome), "")
		Expect(effects.Ends).To(Equal([]bool{true}))
		Expect(effects.EndedRuns).To(Equal([]*jobs.Task{task}))
		Expect(s.phase(id(jobA, 0))).To(Equal(phase))
		Expect(s.stateOf(jobA)).To(Equal(state))
		Expect(task.Attempts).To(Equal(attempts))
		Expect(task.Runner).To(BeEmpty())
		Expect(s.runsOn("r1")).To(BeEmpty())
		Expect(s.LastSeen("r1")).To(Equal(uint64(1)))
	},
	Entry("that is done", protocol.EndDone, jobs.Done, protocol.JobRunning, 0),
	Entry("that failed", protocol.EndFailed, jobs.Pending, protocol.JobRunning, 1),
	Entry("that was stopped", protocol.EndStopped, jobs.Pending, protocol.JobRunning, 0),
	Entry("that lapsed", protocol.EndLapsed, jobs.Pending, protocol.JobRunning, 0),
	Entry("that ended because its gang's run did", protocol.EndBroken, jobs.Pending, protocol.JobRunning, 0),
	Entry("that was alone in its gang", protocol.EndAlone, jobs.Pending, protocol.JobRunning, 0),
	Entry("that was refused", protocol.EndRefused, jobs.Pending, protocol.JobRunning, 0),
	Entry("that has an unknown outcome", "vanished", jobs.Pending, protocol.JobRunning, 0),
	Entry("that is done, in a long-running step", protocol.EndDone, jobs.Pending, protocol.JobRunning, 0, longRunning),
	Entry("that failed, in a long-running step", protocol.EndFailed, jobs.Pending, protocol.JobRunning, 0, longRunning),
)

var _ = Describe("A run", func() {
	var s *shard
	BeforeEach(func() { s = newShard() })

	DescribeTable("is not started by an invalid start",
		func(before func(), task jobs.TaskID, run uint64) {
			s.submit(jobA, 2, step(1), step(1, after(0)))
			before()
			Expect(s.start("r9", run, task)).To(Equal([]bool{false}))
			Expect(s.runsOn("r9")).To(BeEmpty())
		},
		Entry("of an unknown job", func() {}, id(jobB, 0), uint64(1)),
		Entry("of an unknown step", func() {}, id(jobA, 2, 0), uint64(1)),
		Entry("of an unknown index", func() {}, id(jobA, 1), uint64(1)),
		Entry("of an index below 0", func() {}, id(jobA, -1), uint64(1)),
		Entry("of a repetition that does not exist", func() {}, id(jobA, 1, 0, 0), uint64(1)),
		Entry("of a blocked task", func() {}, id(jobA, 1, 0), uint64(1)),
		Entry("with run 0", func() {}, id(jobA, 0), uint64(0)),
		Entry("with a run too high", func() {}, id(jobA, 0), uint64(2)),
		Entry("of a running task", func() { s.start("r1", 1, id(jobA, 0)) }, id(jobA, 0), uint64(2)),
		Entry("of a task that is done", func() {
			s.start("r1", 1, id(jobA, 0))
			s.end("r1", id(jobA, 0), 1, protocol.EndDone, "")
		}, id(jobA, 0), uint64(2)),
		Entry("with an old run", func() {
			s.start("r1", 1, id(jobA, 0))
			s.end("r1", id(jobA, 0), 1, protocol.EndStopped, "")
		}, id(jobA, 0), uint64(1)),
		Entry("of a cancelled job", func() { s.cancel(jobA) }, id(jobA, 0), uint64(1)),
	)

	It("is started once, even if the command has its start twice", func() {
		s.submit(jobA, 2, step(2))
		Expect(s.start("r1", 1, id(jobA, 0), id(jobA, 0), id(jobA, 1))).To(Equal([]bool{true, false, true}))
		Expect(s.runsOn("r1")).To(Equal([]string{jobA + ".0.0.0/1", jobA + ".0.0.1/1"}))
		Expect(s.Runners()).To(Equal([]string{"r1"}))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
	})

	It("is started in the same command as the end of the task's previous run", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		effects := s.do(&jobs.Command{
			Ends:   []jobs.End{{Runner: "r1", N: 1, Task: id(jobA, 0), Run: 1, Outcome: protocol.EndStopped}},
			Starts: []jobs.Start{{Task: id(jobA, 0), Run: 2, Runner: "r2"}},
		})
		Expect(effects.Ends).To(Equal([]bool{true}))
		Expect(effects.Starts).To(Equal([]bool{true}))
		Expect(s.runsOn("r2")).To(HaveLen(1))
	})

	DescribeTable("is not ended, and at most LastSeen advances,",
		func(runner string, n uint64, run uint64, lastSeen uint64) {
			s.submit(jobA, 2, step(1))
			s.start("r1", 1, id(jobA, 0))
			s.lose("r1", id(jobA, 0), 1, "")
			s.start("r2", 2, id(jobA, 0))
			s.do(&jobs.Command{Ends: []jobs.End{{Runner: "r2", N: 5, Task: id(jobB, 0), Run: 1, Outcome: protocol.EndDone}}})
			effects := s.do(&jobs.Command{Ends: []jobs.End{
				{Runner: runner, N: n, Task: id(jobA, 0), Run: run, Outcome: protocol.EndDone},
			}})
			Expect(effects.Ends).To(Equal([]bool{false}))
			Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Running))
			Expect(s.LastSeen(runner)).To(Equal(lastSeen))
		},
		Entry("by an end of an old run from its own runner", "r1", uint64(1), uint64(1), uint64(1)),
		Entry("by an end of the current run from an old runner", "r1", uint64(1), uint64(2), uint64(1)),
		Entry("by an end of an old run from the current runner", "r2", uint64(6), uint64(1), uint64(6)),
		Entry("by an end of a future run", "r2", uint64(6), uint64(3), uint64(6)),
		Entry("by an end whose N was applied before", "r2", uint64(5), uint64(2), uint64(5)),
		Entry("by an end with a lower N", "r2", uint64(3), uint64(2), uint64(5)),
		Entry("by an end from an unknown runner", "r3", uint64(9), uint64(2), uint64(9)),
	)

	DescribeTable("is lost only by a loss that names its number and its runner, as one that names",
		func(runner string, run uint64, counts bool) {
			s.submit(jobA, 1, step(1))
			s.start("r1", 1, id(jobA, 0))
			Expect(s.lose(runner, id(jobA, 0), run, "").Losses).To(Equal([]bool{counts}))
			if counts {
				Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Pending))
				Expect(s.Task(id(jobA, 0)).Attempts).To(Equal(0))
			} else {
				Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Running))
			}
		},
		Entry("the number and the runner of the current run", "r1", uint64(1), true),
		Entry("another runner", "r2", uint64(1), false),
		Entry("another number", "r1", uint64(2), false),
	)

	It("does not exist while its task is Pending: an end from a runner with an empty id is ignored", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.lose("r1", id(jobA, 0), 1, "")
		Expect(s.end("", id(jobA, 0), 1, protocol.EndDone, "").Ends).To(Equal([]bool{false}))
		Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Pending))
	})

	It("fails the job if it was the last attempt of a task, and the job's other tasks are cancelled", func() {
		s.submit(jobA, 2, step(3), step(1, after(0)))
		s.start("r1", 1, id(jobA, 0), id(jobA, 1))
		s.end("r1", id(jobA, 0), 1, protocol.EndFailed, "")
		s.start("r2", 2, id(jobA, 0))
		task, blocked := s.Task(id(jobA, 0)), s.Task(id(jobA, 1, 0))
		running, pending := s.Task(id(jobA, 1)), s.Task(id(jobA, 2))
		effects := s.end("r2", id(jobA, 0), 2, protocol.EndFailed, "")
		Expect(effects.EndedJobs).To(HaveLen(1))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobFailed))
		Expect(task.Phase).To(Equal(jobs.Failed))
		Expect(blocked.Phase).To(Equal(jobs.Cancelled))
		Expect(pending.Phase).To(Equal(jobs.Cancelled))
		Expect(running.Phase).To(Equal(jobs.Running))
		Expect(s.PendingCount()).To(Equal(0))
		Expect(s.Job(jobA).Groups).NotTo(BeEmpty())

		s.end("r1", running.ID, 1, protocol.EndDone, "")
		Expect(running.Phase).To(Equal(jobs.Cancelled))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobFailed))
		Expect(s.Job(jobA).Groups).To(BeEmpty())
		Expect(s.cancel(jobA)).To(BeTrue())
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobFailed))
	})

	It("never fails the job if the queue has no limit of attempts or the step is long-running", func() {
		s.submit(jobA, 0, step(1))
		s.submit(jobB, 1, step(1, longRunning))
		for run := uint64(1); run <= 20; run++ {
			s.start("r1", run, id(jobA, 0), id(jobB, 0))
			s.end("r1", id(jobA, 0), run, protocol.EndFailed, "")
			s.end("r1", id(jobB, 0), run, protocol.EndFailed, "")
		}
		Expect(s.pendingIDs()).To(ConsistOf(jobA+".0.0.0", jobB+".0.0.0"))
	})

	It("delays the cancellation of its task until it ends, while Pending tasks are cancelled at once", func() {
		s.submit(jobA, 2, step(2))
		s.start("r1", 1, id(jobA, 0))
		running := s.Task(id(jobA, 0))
		Expect(s.cancel(jobA)).To(BeTrue())
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.pendingIDs()).To(BeEmpty())
		Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Running))
		s.lose("r1", id(jobA, 0), 1, "")
		Expect(running.Phase).To(Equal(jobs.Cancelled))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.cancel(jobA)).To(BeTrue())
		Expect(s.cancel(jobB)).To(BeFalse())
		Expect(s.Counters().Cancelled).To(Equal(uint64(1)))
	})

	It("that completed its job is not undone by a later cancellation", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.end("r1", id(jobA, 0), 1, protocol.EndDone, "")
		Expect(s.cancel(jobA)).To(BeTrue())
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCompleted))
	})

	DescribeTable("brings checkpoints to its task",
		func(want string, change []func(*protocol.Step), checkpoints ...string) {
			s.submit(jobA, 0, step(1, change...))
			for i, text := range checkpoints {
				s.start("r1", uint64(i+1), id(jobA, 0))
				if i%2 == 0 {
					s.end("r1", id(jobA, 0), uint64(i+1), protocol.EndFailed, text)
				} else {
					s.lose("r1", id(jobA, 0), uint64(i+1), text)
				}
			}
			Expect(s.Task(id(jobA, 0)).Checkpoint).To(Equal(want))
		},
		Entry("of which the newest is kept", "b", []func(*protocol.Step){checkpoints}, "a", "b"),
		Entry("and an empty one changes nothing", "b", []func(*protocol.Step){checkpoints}, "a", "b", ""),
		Entry("also in a long-running step", "c", []func(*protocol.Step){checkpoints, longRunning}, "a", "b", "c"),
		Entry("but not in a step without checkpoints", "", nil, "a", "b"),
	)

	It("that was stopped returns its task to the Pending tasks, which are ordered by priority and then by when they became Pending", func() {
		first := protocol.Queue{Key: "first", Priority: 0, MaxAttempts: 2}
		last := protocol.Queue{Key: "last", Priority: 2, MaxAttempts: 2}
		one := protocol.JobSpec{Steps: []protocol.Step{step(1)}}
		s.do(&jobs.Command{Submits: []jobs.Submit{{ID: jobA, Queue: last, Job: one}}})
		s.submit(jobB, 2, step(2))
		s.advance(10)
		s.do(&jobs.Command{Submits: []jobs.Submit{{ID: jobC, Queue: first, Job: one}}})
		s.start("r1", 1, id(jobB, 0))
		s.end("r1", id(jobB, 0), 1, protocol.EndStopped, "")
		Expect(s.pendingIDs()).To(Equal([]string{jobC + ".0.0.0", jobB + ".0.0.1", jobB + ".0.0.0", jobA + ".0.0.0"}))
		Expect(s.Task(id(jobB, 0)).PendingSinceMs).To(Equal(startMs + 10))
		seen := 0
		s.EachPending(func(*jobs.Task) bool { seen++; return seen < 2 })
		Expect(seen).To(Equal(2))
	})

	It("keeps the record of its runner, while a runner without runs is forgotten", func() {
		s.submit(jobA, 2, step(2))
		s.start("r1", 1, id(jobA, 0))
		s.start("r2", 1, id(jobA, 1))
		s.end("r2", id(jobA, 1), 1, protocol.EndDone, "")
		s.advanceInSteps(10*time.Minute + 5*time.Second)
		Expect(s.LastSeen("r2")).To(Equal(uint64(0)))
		Expect(s.Counters().Runners).To(Equal(1))
		Expect(s.runsOn("r1")).To(HaveLen(1))
	})
})
