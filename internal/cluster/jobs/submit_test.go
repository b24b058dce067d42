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

var _ = Describe("A shard to which jobs are submitted", func() {
	var s *shard
	BeforeEach(func() { s = newShard() })

	It("accepts a job id once, even if a different job is submitted later under the same id", func() {
		Expect(s.submit(jobA, 2, step(2)).Submits[0]).To(Equal(jobs.Accepted))
		Expect(s.submit(jobA, 2, step(5)).Submits[0]).To(Equal(jobs.Duplicate))
		Expect(s.PendingCount()).To(Equal(2))
		Expect(s.UnfinishedJobs("host/path/")).To(Equal(1))
	})

	It("accepts the first of two submits of one id in the same command", func() {
		submit := jobs.Submit{ID: jobA, Queue: queue(1), Job: protocol.JobSpec{Steps: []protocol.Step{step(1)}}}
		effects := s.do(&jobs.Command{Submits: []jobs.Submit{submit, submit}})
		Expect(effects.Submits).To(Equal([]jobs.SubmitEffect{jobs.Accepted, jobs.Duplicate}))
		Expect(s.Counters().Jobs).To(Equal(1))
	})

	It("never accepts a fenced id with the fence's version or an older one, and does not know the job", func() {
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.submitBy(jobA, 5)).To(Equal(jobs.Fenced))
		Expect(s.submitBy(jobA, 4)).To(Equal(jobs.Fenced))
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.cancel(jobA)).To(BeFalse())
	})

	It("accepts a fenced id with a newer version, since the queue may belong to the shard again", func() {
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.submitBy(jobA, 6)).To(Equal(jobs.Accepted))
		Expect(s.fence(jobA, 7)).To(BeTrue())
		Expect(s.submitBy(jobA, 3)).To(Equal(jobs.Duplicate))
	})

	DescribeTable("keeps the newest version of several fences", func(first, second uint64) {
		s.fence(jobA, first)
		s.advance(10)
		s.fence(jobA, second)
		Expect(s.submitBy(jobA, max(first, second))).To(Equal(jobs.Fenced))
		Expect(s.submitBy(jobA, max(first, second)+1)).To(Equal(jobs.Accepted))
	},
		Entry("if the second fence is newer", uint64(5), uint64(8)),
		Entry("if the first fence is newer", uint64(8), uint64(5)),
	)

	It("retains a repeated fence for the full time after the repetition", func() {
		s.fence(jobA, 5)
		s.advanceInSteps(15 * time.Minute)
		s.fence(jobA, 5)
		s.advanceInSteps(20 * time.Minute)
		Expect(s.submitBy(jobA, 5)).To(Equal(jobs.Fenced))
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.advance(1)
		Expect(s.Counters().Forgotten).To(Equal(0))
	})

	It("still knows a job after the expiry of a fence that its id had before", func() {
		s.fence(jobA, 5)
		s.submitBy(jobA, 6)
		s.advanceInSteps(15 * time.Minute)
		s.cancel(jobA)
		s.advanceInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.fence(jobA, 7)).To(BeTrue())
		Expect(s.submitBy(jobA, 9)).To(Equal(jobs.Duplicate))
	})

	It("never accepts a withdrawn id with any version, whatever fences and submits follow", func() {
		Expect(s.fence(jobA, protocol.EveryVersion)).To(BeFalse())
		Expect(s.fence(jobA, 5)).To(BeFalse())
		Expect(s.submitBy(jobA, 9)).To(Equal(jobs.Withdrawn))
		Expect(s.submitBy(jobA, protocol.EveryVersion-1)).To(Equal(jobs.Withdrawn))
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.Counters().Withdrawn).To(Equal(1))
	})

	It("does not withdraw the id of a job that it accepts in the same command", func() {
		submit := jobs.Submit{ID: jobA, Queue: queue(2), Job: protocol.JobSpec{Steps: []protocol.Step{step(1)}}}
		withdrawal := jobs.Fence{ID: jobA, Version: protocol.EveryVersion}
		effects := s.do(&jobs.Command{Submits: []jobs.Submit{submit}, Fences: []jobs.Fence{withdrawal}})
		Expect(effects.Submits).To(Equal([]jobs.SubmitEffect{jobs.Accepted}))
		Expect(effects.Fences).To(Equal([]bool{true}))
		Expect(s.Counters().Withdrawn).To(Equal(0))
	})

	It("retains a withdrawn id in a snapshot, for TombstoneRetention", func() {
		s.fence(jobA, protocol.EveryVersion)
		s.fence(jobB, 5)
		s.advanceInSteps(5 * time.Minute)
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s.State = jobs.New(jobs.Options{})
		Expect(s.Restore(snapshot)).To(Succeed())
		remaining, withdrawn := s.Withdrawn(jobA)
		Expect(withdrawn).To(BeTrue())
		Expect(remaining).To(Equal(15 * time.Minute))
		_, withdrawn = s.Withdrawn(jobB)
		Expect(withdrawn).To(BeFalse())
		Expect(s.submitBy(jobA, 9)).To(Equal(jobs.Withdrawn))
		s.advanceInSteps(15 * time.Minute)
		Expect(s.Counters().Withdrawn).To(Equal(1))
		s.advance(1)
		Expect(s.Counters().Withdrawn).To(Equal(0))
		Expect(s.submitBy(jobA, 9)).To(Equal(jobs.Accepted))
	})

	It("does not fence the id of a job that it has or had", func() {
		s.submit(jobA, 2, step(1))
		Expect(s.fence(jobA, 5)).To(BeTrue())
		s.cancel(jobA)
		Expect(s.fence(jobA, 5)).To(BeTrue())
		for range 100 {
			s.advance(5000)
		}
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.fence(jobA, 5)).To(BeTrue())
		Expect(s.submit(jobA, 2, step(1)).Submits[0]).To(Equal(jobs.Duplicate))
	})

	It("rejects an invalid job in a committed command, and still accepts a valid job under the same id", func() {
		Expect(s.submit(jobA, 2).Submits[0]).To(Equal(jobs.Rejected))
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.submit(jobA, 2, step(1)).Submits[0]).To(Equal(jobs.Accepted))
	})

	It("keeps no reference to the memory of a command", func() {
		steps := []protocol.Step{step(1), step(1, after(0))}
		s.submit(jobA, 2, steps...)
		steps[1].DependsOn[0] = 7
		steps[0].Count = 9
		Expect(s.Job(jobA).Spec.Steps[1].DependsOn).To(Equal([]int{0}))
		Expect(s.Job(jobA).Spec.Steps[0].Count).To(Equal(1))
	})

	It("retains the state of an ended job for one and a half times StatusRetention, and then its id for TombstoneRetention", func() {
		s.submit(jobA, 2, step(1))
		s.cancel(jobA)
		s.advanceInSteps(180 * time.Second)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		s.advance(1)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.advanceInSteps(20 * time.Minute)
		Expect(s.Counters().Forgotten).To(Equal(1))
		s.advance(1)
		Expect(s.Counters().Forgotten).To(Equal(0))
	})

	It("forgets neither jobs nor fences if the time of day jumps forward", func() {
		s.submit(jobA, 2, step(1))
		s.cancel(jobA)
		s.fence(jobB, 5)
		s.advance(3_600_000)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.submitBy(jobB, 5)).To(Equal(jobs.Fenced))
	})

	It("never sets its clock back", func() {
		s.advance(1000)
		s.advance(-5000)
		Expect(s.ClockMs()).To(Equal(startMs + 1000))
	})

	It("retains a cancelled job while a run of it may exist", func() {
		s.submit(jobA, 2, step(1))
		s.start("r1", 1, id(jobA, 0))
		s.cancel(jobA)
		s.advanceInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.runsOn("r1")).To(HaveLen(1))
		s.end("r1", id(jobA, 0), 1, protocol.EndStopped, "")
		s.advanceInSteps(10 * time.Minute)
		Expect(s.stateOf(jobA)).To(Equal("unknown"))
	})

	It("drops the spec and groups of an ended job, without changing those to which callers still refer", func() {
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

// advanceInSteps advances the clock in steps of at most 5 s. A larger step would advance the shard's age by less than the
// step, and retention is measured in this age.
func (s *shard) advanceInSteps(span time.Duration) {
	for ms := span.Milliseconds(); ms > 0; ms -= 5000 {
		s.advance(min(ms, 5000))
	}
}

var _ = DescribeTable("Validate accepts or rejects a job spec",
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
	Entry("that is plain", func(*protocol.JobSpec) {}, true),
	Entry("with an empty text", func(j *protocol.JobSpec) { j.Spec = "" }, true),
	Entry("with the longest allowed text", func(j *protocol.JobSpec) { j.Spec = strings.Repeat("x", 4000) }, true),
	Entry("with a text that is too long", func(j *protocol.JobSpec) { j.Spec = strings.Repeat("x", 4001) }, false),
	Entry("without steps", func(j *protocol.JobSpec) { j.Steps = nil }, false),
	Entry("with too many steps", func(j *protocol.JobSpec) { j.Steps = make([]protocol.Step, 1000) }, false),
	Entry("with a count of 0", func(j *protocol.JobSpec) { j.Steps[0].Count = 0 }, false),
	Entry("with a negative count", func(j *protocol.JobSpec) { j.Steps[0].Count = -1 }, false),
	Entry("with a count that is too large", func(j *protocol.JobSpec) { j.Steps[0].Count = math.MaxInt }, false),
	Entry("with a sum of counts that is too large", func(j *protocol.JobSpec) { j.Steps[0].Count, j.Steps[1].Count = 90_000, 90_000 }, false),
	Entry("that needs no resources", func(j *protocol.JobSpec) { j.Steps[0].CPU, j.Steps[0].MemoryMB = 0, 0 }, true),
	Entry("with a negative CPU need", func(j *protocol.JobSpec) { j.Steps[0].CPU = -1 }, false),
	Entry("with a negative memory need", func(j *protocol.JobSpec) { j.Steps[0].MemoryMB = -1 }, false),
	Entry("with a negative GPU need", func(j *protocol.JobSpec) { j.Steps[0].GPU = -1 }, false),
	Entry("with a CPU need that is too large", func(j *protocol.JobSpec) { j.Steps[0].CPU = math.MaxInt64 }, false),
	Entry("with a negative estimate", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = -1 }, false),
	Entry("with an estimate that is not a number", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = math.NaN() }, false),
	Entry("with an infinite estimate", func(j *protocol.JobSpec) { j.Steps[0].EstimatedMs = math.Inf(1) }, false),
	Entry("with a negative antiAffinity", func(j *protocol.JobSpec) { j.Steps[0].AntiAffinity = -1 }, false),
	Entry("with a step that depends on itself", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{1} }, false),
	Entry("with a step that depends on a later one", func(j *protocol.JobSpec) { j.Steps[0].DependsOn = []int{1} }, false),
	Entry("with a step that depends on one that does not exist", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{2} }, false),
	Entry("with a step that depends on a negative number", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{-1} }, false),
	Entry("with a step that depends on the same step twice", func(j *protocol.JobSpec) { j.Steps[1].DependsOn = []int{0, 0} }, true),
	Entry("with repetitions", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs, j.IntervalMs = 3, startMs, 1000 }, true),
	Entry("with a negative number of repetitions", func(j *protocol.JobSpec) { j.Repetitions = -1 }, false),
	Entry("with too many repetitions", func(j *protocol.JobSpec) { j.Repetitions = math.MaxInt }, false),
	Entry("with too many tasks in all repetitions together", func(j *protocol.JobSpec) { j.Repetitions, j.Steps[0].Count = 1_000_000, 1000 }, false),
	Entry("with a negative interval", func(j *protocol.JobSpec) { j.Repetitions, j.IntervalMs = 2, -1 }, false),
	Entry("with an interval that is too long", func(j *protocol.JobSpec) { j.Repetitions, j.IntervalMs = 2, math.MaxInt64 }, false),
	Entry("with a negative time of the first run", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs = 2, -1 }, false),
	Entry("with a time of the first run that is too late", func(j *protocol.JobSpec) { j.Repetitions, j.FirstRunMs = 2, math.MaxInt64 }, false),
)

var _ = DescribeTable("ParseTaskID parses a text, or rejects it,",
	func(text string, want jobs.TaskID, valid bool) {
		got, err := jobs.ParseTaskID(text)
		Expect(err == nil).To(Equal(valid))
		Expect(got).To(Equal(want))
		if valid {
			Expect(got.String()).To(Equal(text))
		}
	},
	Entry("that is plain", "5c0e7a21d94b36f8.0.1.17", jobs.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, true),
	Entry("with a repetition", "ab.3.0.0", jobs.TaskID{Job: "ab", Repetition: 3}, true),
	Entry("with a job id that has dots", "a.b.3.0.0", jobs.TaskID{Job: "a.b", Repetition: 3}, true),
	Entry("with the largest numbers", "a.999999999.999999999.999999999",
		jobs.TaskID{Job: "a", Repetition: 999999999, Step: 999999999, Index: 999999999}, true),
	Entry("that is empty", "", jobs.TaskID{}, false),
	Entry("without a job id", ".0.0.0", jobs.TaskID{}, false),
	Entry("with too few parts", "a.0.0", jobs.TaskID{}, false),
	Entry("with an empty part", "a.0..0", jobs.TaskID{}, false),
	Entry("with a minus sign", "a.0.0.-1", jobs.TaskID{}, false),
	Entry("with a plus sign", "a.0.+1.0", jobs.TaskID{}, false),
	Entry("with a leading zero", "a.0.01.0", jobs.TaskID{}, false),
	Entry("with a letter in place of a number", "a.0.x.0", jobs.TaskID{}, false),
	Entry("with a number that is too large", "a.0.0.99999999999999999999", jobs.TaskID{}, false),
)
