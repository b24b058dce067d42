package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("A job with several steps or repetitions", func() {
	var s *shard
	BeforeEach(func() { s = newShard() })

	// finish starts the next run of a task and ends it as done.
	finish := func(job string, k, step, index int) {
		GinkgoHelper()
		task := id(job, k, step, index)
		run := s.Task(task).Run + 1
		Expect(s.start("r1", run, task)).To(Equal([]bool{true}))
		Expect(s.end("r1", task, run, protocol.EndDone, "").Ends).To(Equal([]bool{true}))
	}

	It("makes a step Pending once all tasks of the steps on which it depends are Done", func() {
		s.submit(jobA, 2, step(2), step(1), step(1, after(0, 1)), step(1, after(2)))
		Expect(s.PendingCount()).To(Equal(3))
		finish(jobA, 0, 0, 0)
		finish(jobA, 0, 0, 1)
		Expect(s.phase(id(jobA, 2, 0))).To(Equal(jobs.Blocked))
		finish(jobA, 0, 1, 0)
		Expect(s.phase(id(jobA, 2, 0))).To(Equal(jobs.Pending))
		Expect(s.phase(id(jobA, 3, 0))).To(Equal(jobs.Blocked))
		finish(jobA, 0, 2, 0)
		finish(jobA, 0, 3, 0)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCompleted))
	})

	repeated := func(times int, firstMs, intervalMs int64, steps ...protocol.Step) protocol.JobSpec {
		return protocol.JobSpec{Steps: steps, Repetitions: times, FirstRunMs: firstMs, IntervalMs: intervalMs}
	}

	It("opens a repetition when it falls due, not before", func() {
		s.submitSpec(jobA, 2, repeated(2, startMs+1000, 500, step(1), step(1, after(0))))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobQueued))
		due, ok := s.NextDueMs()
		Expect(due).To(Equal(startMs + 1000))
		Expect(ok).To(BeTrue())
		s.advance(999)
		Expect(s.pendingIDs()).To(BeEmpty())
		Expect(s.advance(1).Pending).To(HaveLen(1))
		Expect(s.pendingIDs()).To(Equal([]string{jobA + ".0.0.0"}))
		due, _ = s.NextDueMs()
		Expect(due).To(Equal(startMs + 1500))
		s.advance(500)
		Expect(s.pendingIDs()).To(Equal([]string{jobA + ".0.0.0", jobA + ".1.0.0"}))
		_, ok = s.NextDueMs()
		Expect(ok).To(BeFalse())
	})

	It("runs its repetitions independently and completes with the last one", func() {
		s.submitSpec(jobA, 2, repeated(3, startMs, 500, step(1), step(1, after(0))))
		finish(jobA, 0, 0, 0)
		s.advance(500)
		Expect(s.phase(id(jobA, 0, 1, 0))).To(Equal(jobs.Pending))
		Expect(s.phase(id(jobA, 1, 1, 0))).To(Equal(jobs.Blocked))
		finish(jobA, 1, 0, 0)
		finish(jobA, 1, 1, 0)
		Expect(s.Task(id(jobA, 1, 1, 0))).To(BeNil(), "a complete repetition is dropped")
		Expect(s.phase(id(jobA, 0, 1, 0))).To(Equal(jobs.Pending))
		finish(jobA, 0, 1, 0)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
		Expect(s.Job(jobA).Groups).To(BeEmpty())
		s.advance(500)
		finish(jobA, 2, 0, 0)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
		finish(jobA, 2, 1, 0)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCompleted))
	})

	It("opens all overdue repetitions at once", func() {
		s.submitSpec(jobA, 2, repeated(4, startMs-1000, 500, step(1)))
		Expect(s.PendingCount()).To(Equal(3))
		s.advance(10_000)
		Expect(s.PendingCount()).To(Equal(4))
	})

	It("opens no more repetitions once it has ended", func() {
		s.submitSpec(jobA, 1, repeated(4, startMs, 500, step(1)))
		s.submitSpec(jobB, 1, repeated(4, startMs, 700, step(1)))
		s.cancel(jobA)
		due, _ := s.NextDueMs()
		Expect(due).To(Equal(startMs + 700))
		s.start("r1", 1, id(jobB, 0))
		s.end("r1", id(jobB, 0), 1, protocol.EndFailed, "")
		_, ok := s.NextDueMs()
		Expect(ok).To(BeFalse())
		s.advance(10_000)
		Expect(s.PendingCount()).To(Equal(0))
	})

	It("limits the tasks of open repetitions, and opens further repetitions as earlier ones complete", func() {
		s.submitSpec(jobA, 1, repeated(5, startMs, 0, step(8000)))
		Expect(s.PendingCount()).To(Equal(16_000))
		_, ok := s.NextDueMs()
		Expect(ok).To(BeFalse())
		for index := range 8000 {
			finish(jobA, 0, 0, index)
		}
		Expect(s.PendingCount()).To(Equal(16_000))
		Expect(s.phase(id(jobA, 2, 0, 0))).To(Equal(jobs.Pending))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
	})

	It("opens repetitions of several jobs that fall due at the same time in ascending order of job id", func() {
		s.submitSpec(jobB, 1, repeated(2, startMs+100, 1000, step(1)))
		s.submitSpec(jobA, 1, repeated(2, startMs+100, 1000, step(1)))
		s.advance(100)
		Expect(s.pendingIDs()).To(Equal([]string{jobA + ".0.0.0", jobB + ".0.0.0"}))
	})
})
