package jobs_test

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("submitting", func() {
	var s *shard
	BeforeEach(func() { s = newShard() })

	It("accepts an id once, whatever is submitted under it later", func() {
		Expect(s.submit(jobA, 2, step(2)).Submits[0]).To(Equal(jobs.Accepted))
		Expect(s.submit(jobA, 2, step(5)).Submits[0]).To(Equal(jobs.Duplicate))
		Expect(s.PendingCount()).To(Equal(2))
		Expect(s.UnfinishedJobs("host/path/")).To(Equal(1))
	})

	It("accepts one of two submits of an id in one command", func() {
		submit := jobs.Submit{ID: jobA, Queue: queue(1), Job: protocol.JobSpec{Steps: []protocol.Step{step(1)}}}
		effects := s.do(&jobs.Command{Submits: []jobs.Submit{submit, submit}})
		Expect(effects.Submits).To(Equal([]jobs.SubmitEffect{jobs.Accepted, jobs.Duplicate}))
		Expect(s.Counters().Jobs).To(Equal(1))
	})

	It("never accepts a fenced id by the fence's version or an older one, and does not know it", func() {
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.submitBy(jobA, 5)).To(Equal(jobs.Fenced))
		Expect(s.submitBy(jobA, 4)).To(Equal(jobs.Fenced))
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.cancel(jobA)).To(BeFalse())
	})

	It("accepts a fenced id by a newer version: its queue has come back", func() {
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.submitBy(jobA, 6)).To(Equal(jobs.Accepted))
		Expect(s.fence(jobA, 7)).To(BeTrue())
		Expect(s.submitBy(jobA, 3)).To(Equal(jobs.Duplicate))
	})

	DescribeTable("keeps the newest of several fences", func(first, second uint64) {
		s.fence(jobA, first)
		s.pass(10)
		s.fence(jobA, second)
		Expect(s.submitBy(jobA, max(first, second))).To(Equal(jobs.Fenced))
		Expect(s.submitBy(jobA, max(first, second)+1)).To(Equal(jobs.Accepted))
	},
		Entry("the second is newer", uint64(5), uint64(8)),
		Entry("the first is newer", uint64(8), uint64(5)),
	)

	It("retains a renewed fence as long as a new one", func() {
		s.fence(jobA, 5)
		s.passInSteps(15 * time.Minute)
		s.fence(jobA, 5)
		s.passInSteps(20 * time.Minute)
		Expect(s.submitBy(jobA, 5)).To(Equal(jobs.Fenced))
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.pass(1)
		Expect(s.Counters().Forgotten).To(Equal(0))
	})

	It("retains a job longer than the fence that was there before it", func() {
		s.fence(jobA, 5)
		s.submitBy(jobA, 6)
		s.passInSteps(15 * time.Minute)
		s.cancel(jobA)
		s.passInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.fence(jobA, 7)).To(BeTrue())
		Expect(s.submitBy(jobA, 9)).To(Equal(jobs.Duplicate))
	})

	It("does not fence a job that it has or had", func() {
		s.submit(jobA, 2, step(1))
		Expect(s.fence(jobA, 5)).To(BeTrue())
		s.cancel(jobA)
		Expect(s.fence(jobA, 5)).To(BeTrue())
		for range 100 {
			s.pass(5000)
		}
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.fence(jobA, 5)).To(BeTrue())
		Expect(s.submit(jobA, 2, step(1)).Submits[0]).To(Equal(jobs.Duplicate))
	})

	It("rejects an invalid job that was committed, without a trace", func() {
		Expect(s.submit(jobA, 2).Submits[0]).To(Equal(jobs.Rejected))
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.submit(jobA, 2, step(1)).Submits[0]).To(Equal(jobs.Accepted))
	})

	It("keeps none of a command's memory", func() {
		steps := []protocol.Step{step(1), step(1, after(0))}
		s.submit(jobA, 2, steps...)
		steps[1].DependsOn[0] = 7
		steps[0].Count = 9
		Expect(s.Job(jobA).Spec.Steps[1].DependsOn).To(Equal([]int{0}))
		Expect(s.Job(jobA).Spec.Steps[0].Count).To(Equal(1))
	})

	It("retains the state of an ended job for one and a half times the retention, then only its id", func() {
		s.submit(jobA, 2, step(1))
		s.cancel(jobA)
		s.passInSteps(180 * time.Second)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		s.pass(1)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.passInSteps(20 * time.Minute)
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.pass(1)
		Expect(s.Counters().Forgotten).To(Equal(0))
	})

	It("forgets nothing if the time of day jumps", func() {
		s.submit(jobA, 2, step(1))
		s.cancel(jobA)
		s.fence(jobB, 5)
		s.pass(3_600_000)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.submitBy(jobB, 5)).To(Equal(jobs.Fenced))
	})

	It("keeps its clock if the time of day goes back", func() {
		s.pass(1000)
		s.pass(-5000)
		Expect(s.ClockMs()).To(Equal(startMs + 1000))
	})

	It("keeps a cancelled job while a run of it may exist", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.cancel(jobA)
		s.passInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.runsOn("r1")).To(HaveLen(1))
		s.end("r1", id(jobA, 0), 1, protocol.EndStopped, "")
		s.passInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
	})

	It("drops the spec and groups of an ended job, and leaves those that callers still have unchanged", func() {
		effects := s.submit(jobA, 2, step(1))
		task := effects.Pending[0]
		s.start("r1", 1, task.ID)
		effects = s.end("r1", task.ID, 1, protocol.EndDone, "")
		Expect(effects.EndedRuns).To(Equal([]*jobs.Task{task}))
		Expect(effects.EndedJobs).To(HaveLen(1))
		Expect(effects.EndedJobs[0].Spec.Steps).To(HaveLen(1))
		Expect(task.Group.Spec().Count).To(Equal(1))
		Expect(s.Job(jobA).Groups).To(BeNil())
		Expect(s.Job(jobA).Spec).To(Equal(protocol.JobSpec{}))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCompleted))
		Expect(s.UnfinishedJobs("host/path/")).To(Equal(0))
	})
})

func (s *shard) passInSteps(span time.Duration) {
	for ms := span.Milliseconds(); ms > 0; ms -= 5000 {
		s.pass(min(ms, 5000))
	}
}

var _ = DescribeTable("validating a spec",
	func(change func(*protocol.JobSpec), valid bool) {
		spec := protocol.JobSpec{Spec: "text", Steps: []protocol.Step{step(2), step(3, after(0))}}
		change(&spec)
		err := jobs.Validate(&spec)
		if valid {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		}
	},
	Entry("a plain one", func(*protocol.JobSpec) {}, true),
	Entry("no text", func(j *protocol.JobSpec) { j.Spec = "" }, true),
	Entry("the longest text", func(j *protocol.JobSpec) { j.Spec = strings.Repeat("x", 4000) }, true),
	Entry("a longer text", func(j *protocol.JobSpec) { j.Spec = strings.Repeat("x", 4001) }, false),
	Entry("no steps", func(j *protocol.JobSpec) { j.Steps = nil }, false),
	Entry("very many steps", func(j *protocol.JobSpec) { j.Steps = make([]protocol.Step, 1000) }, false),
	Entry("count 0", func(j *protocol.JobSpec) { j.Steps[0].Count = 0 }, false),
	Entry("count below 0", func(j *protocol.JobSpec) { j.Steps[0].Count = -1 }, false),
	Entry("a huge count", func(j *protocol.JobSpec) { j.Steps[0].Count = math.MaxInt }, false),
	Entry("a huge sum of counts", func(j *protocol.JobSpec) { j.Steps[0].Count, j.Steps[1].Count = 90_000, 90_000 }, false),
	Entry("no resources at all", func(j *protocol.JobSpec) { j.Steps[0].CPU, j.Steps[0].MemoryMB = 0, 0 }, true),
	Entry("CPU below 0", func(j *protocol.JobSpec) { j.Steps[0].CPU = -1 }, false),
	Entry("memory below 0", func(j *protocol.JobSpec) { j.Steps[0].MemoryMB = -1 }, false),
	Entry("GPU below 0", func(j *protocol.JobSpec) { j.Steps[0].GPU = -1 }, false),
	Entry("CPU that overflows", func(j *protocol.JobSpec) { j.Steps[0].CPU = math.MaxInt64 }, false),
	Entry("an estimate below 0", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = -1 }, false),
	Entry("an estimate that is not a number", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = math.NaN() }, false),
	Entry("an infinite estimate", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = math.Inf(1) }, false),
	Entry("antiAffinity below 0", func(j *protocol.JobSpec) { j.Steps[0].AntiAffinity = -1 }, false),
	Entry("a step that depends on itself", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{1} }, false),
	Entry("a step that depends on a later one", func(j *protocol.JobSpec) { j.Steps[0].DependsOn = []int{1} }, false),
	Entry("a step that depends on one that does not exist", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{2} }, false),
	Entry("a step that depends on one below 0", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{-1} }, false),
	Entry("a step that depends on one twice", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{0, 0} }, true),
	Entry("repetitions", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs, j.IntervalMs = 3, startMs, 1000 }, true),
	Entry("repetitions below 0", func(j *protocol.JobSpec) { j.Repetitions = -1 }, false),
	Entry("very many repetitions", func(j *protocol.JobSpec) { j.Repetitions = math.MaxInt }, false),
	Entry("very many tasks in total", func(j *protocol.JobSpec) { j.Repetitions, j.Steps[0].Count = 1_000_000, 1000 }, false),
	Entry("an interval below 0", func(j *protocol.JobSpec) { j.Repetitions, j.IntervalMs = 2, -1 }, false),
	Entry("an interval that overflows", func(j *protocol.JobSpec) { j.Repetitions, j.IntervalMs = 2, math.MaxInt64 }, false),
	Entry("a first run below 0", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs = 2, -1 }, false),
	Entry("a first run that overflows", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs = 2, math.MaxInt64 }, false),
)

var _ = DescribeTable("parsing task ids",
	func(text string, want jobs.TaskID, valid bool) {
		got, err := jobs.ParseTaskID(text)
		Expect(err == nil).To(Equal(valid))
		Expect(got).To(Equal(want))
		if valid {
			Expect(got.String()).To(Equal(text))
		}
	},
	Entry("plain", "5c0e7a21d94b36f8.0.1.17", jobs.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, true),
	Entry("with a repetition", "ab.3.0.0", jobs.TaskID{Job: "ab", Repetition: 3}, true),
	Entry("a job with dots", "a.b.3.0.0", jobs.TaskID{Job: "a.b", Repetition: 3}, true),
	Entry("the largest numbers", "a.999999999.999999999.999999999",
		jobs.TaskID{Job: "a", Repetition: 999999999, Step: 999999999, Index: 999999999}, true),
	Entry("empty", "", jobs.TaskID{}, false),
	Entry("no job", ".0.0.0", jobs.TaskID{}, false),
	Entry("too few parts", "a.0.0", jobs.TaskID{}, false),
	Entry("an empty part", "a.0..0", jobs.TaskID{}, false),
	Entry("a sign", "a.0.0.-1", jobs.TaskID{}, false),
	Entry("a plus", "a.0.+1.0", jobs.TaskID{}, false),
	Entry("a leading zero", "a.0.01.0", jobs.TaskID{}, false),
	Entry("a letter", "a.0.x.0", jobs.TaskID{}, false),
	Entry("too large", "a.0.0.99999999999999999999", jobs.TaskID{}, false),
)
