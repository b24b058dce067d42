package jobs_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("the phase of a task after the end of its run",
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
	Entry("done", protocol.EndDone, jobs.Done, protocol.JobRunning, 0),
	Entry("failed", protocol.EndFailed, jobs.Pending, protocol.JobRunning, 1),
	Entry("stopped", protocol.EndStopped, jobs.Pending, protocol.JobRunning, 0),
	Entry("lapsed", protocol.EndLapsed, jobs.Pending, protocol.JobRunning, 0),
	Entry("broken", protocol.EndBroken, jobs.Pending, protocol.JobRunning, 0),
	Entry("alone", protocol.EndAlone, jobs.Pending, protocol.JobRunning, 0),
	Entry("refused", protocol.EndRefused, jobs.Pending, protocol.JobRunning, 0),
	Entry("an unknown outcome", "vanished", jobs.Pending, protocol.JobRunning, 0),
	Entry("done, long-running", protocol.EndDone, jobs.Pending, protocol.JobRunning, 0, longRunning),
	Entry("failed, long-running", protocol.EndFailed, jobs.Pending, protocol.JobRunning, 0, longRunning),
)

var _ = Describe("runs", func() {
	var s *shard
	BeforeEach(func() { s = newShard() })

	DescribeTable("an invalid start is not applied",
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

	It("applies a start once, even if a command has it twice", func() {
		s.submit(jobA, 2, step(2))
		Expect(s.start("r1", 1, id(jobA, 0), id(jobA, 0), id(jobA, 1))).To(Equal([]bool{true, false, true}))
		Expect(s.runsOn("r1")).To(Equal([]string{jobA + ".0.0.0/1", jobA + ".0.0.1/1"}))
		Expect(s.Runners()).To(Equal([]string{"r1"}))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
	})

	It("applies ends before starts of the same task in one command", func() {
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

	DescribeTable("an end that is not of the current run only advances lastSeen",
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
		Entry("an old run on its own runner", "r1", uint64(1), uint64(1), uint64(1)),
		Entry("the current run on an old runner", "r1", uint64(1), uint64(2), uint64(1)),
		Entry("an old run on the current runner", "r2", uint64(6), uint64(1), uint64(6)),
		Entry("a future run", "r2", uint64(6), uint64(3), uint64(6)),
		Entry("the current run with an N that was applied", "r2", uint64(5), uint64(2), uint64(5)),
		Entry("the current run with a lower N", "r2", uint64(3), uint64(2), uint64(5)),
		Entry("an unknown runner", "r3", uint64(9), uint64(2), uint64(9)),
	)

	DescribeTable("a loss counts for the current run on its runner only",
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
		Entry("the current run", "r1", uint64(1), true),
		Entry("another runner", "r2", uint64(1), false),
		Entry("another run", "r1", uint64(2), false),
	)

	It("ignores an end of a pending task from a runner without an id", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.lose("r1", id(jobA, 0), 1, "")
		Expect(s.end("", id(jobA, 0), 1, protocol.EndDone, "").Ends).To(Equal([]bool{false}))
		Expect(s.phase(id(jobA, 0))).To(Equal(jobs.Pending))
	})

	It("fails a job with the last attempt of a task, and cancels the rest", func() {
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

	It("never fails a task without a limit of attempts, nor a long-running one", func() {
		s.submit(jobA, 0, step(1))
		s.submit(jobB, 1, step(1, longRunning))
		for run := uint64(1); run <= 20; run++ {
			s.start("r1", run, id(jobA, 0), id(jobB, 0))
			s.end("r1", id(jobA, 0), run, protocol.EndFailed, "")
			s.end("r1", id(jobB, 0), run, protocol.EndFailed, "")
		}
		Expect(s.pendingIDs()).To(ConsistOf(jobA+".0.0.0", jobB+".0.0.0"))
	})

	It("cancels pending tasks at once, running ones with their end", func() {
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

	It("keeps a completed job completed when it is cancelled", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.end("r1", id(jobA, 0), 1, protocol.EndDone, "")
		Expect(s.cancel(jobA)).To(BeTrue())
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCompleted))
	})

	DescribeTable("checkpoints",
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
		Entry("the newest is kept", "b", []func(*protocol.Step){checkpoints}, "a", "b"),
		Entry("an empty one changes nothing", "b", []func(*protocol.Step){checkpoints}, "a", "b", ""),
		Entry("a long-running task keeps it too", "c", []func(*protocol.Step){checkpoints, longRunning}, "a", "b", "c"),
		Entry("steps without checkpoints keep none", "", nil, "a", "b"),
	)

	It("orders pending tasks by priority, then by when they became pending", func() {
		first := protocol.Queue{Key: "first", Priority: 0, MaxAttempts: 2}
		last := protocol.Queue{Key: "last", Priority: 2, MaxAttempts: 2}
		one := protocol.JobSpec{Steps: []protocol.Step{step(1)}}
		s.do(&jobs.Command{Submits: []jobs.Submit{{ID: jobA, Queue: last, Job: one}}})
		s.submit(jobB, 2, step(2))
		s.pass(10)
		s.do(&jobs.Command{Submits: []jobs.Submit{{ID: jobC, Queue: first, Job: one}}})
		s.start("r1", 1, id(jobB, 0))
		s.end("r1", id(jobB, 0), 1, protocol.EndStopped, "")
		Expect(s.pendingIDs()).To(Equal([]string{jobC + ".0.0.0", jobB + ".0.0.1", jobB + ".0.0.0", jobA + ".0.0.0"}))
		Expect(s.Task(id(jobB, 0)).PendingSinceMs).To(Equal(startMs + 10))
		seen := 0
		s.EachPending(func(*jobs.Task) bool { seen++; return seen < 2 })
		Expect(seen).To(Equal(2))
	})

	It("forgets a runner without runs, and keeps one that has runs", func() {
		s.submit(jobA, 2, step(2))
		s.start("r1", 1, id(jobA, 0))
		s.start("r2", 1, id(jobA, 1))
		s.end("r2", id(jobA, 1), 1, protocol.EndDone, "")
		s.passInSteps(10*time.Minute + 5*time.Second)
		Expect(s.LastSeen("r2")).To(Equal(uint64(0)))
		Expect(s.Counters().Runners).To(Equal(1))
		Expect(s.runsOn("r1")).To(HaveLen(1))
	})
})
