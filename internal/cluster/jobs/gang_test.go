package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("A gang", func() {
	var (
		s       *shard
		a, b, c = id(jobA, 0), id(jobA, 1), id(jobA, 2)
	)
	BeforeEach(func() {
		s = newShard()
		s.submit(jobA, 2, step(3, gang, checkpoints), step(1, after(0)))
	})

	// startAll starts one run of each of the three members.
	startAll := func(run uint64) {
		GinkgoHelper()
		Expect(s.startOn(run, "r1", a, "r2", b, "r3", c)).To(Equal([]bool{true, true, true}))
	}

	DescribeTable("starts either all members or none",
		func(starts []jobs.Start, want []bool) {
			Expect(s.do(&jobs.Command{Starts: starts}).Starts).To(Equal(want))
			Expect(s.Counters().Running).To(Equal(count(want)))
			newestRun := s.Task(a).Run
			Expect(newestRun == 1).To(Equal(count(want) > 0))
		},
		Entry("if each member has one start", []jobs.Start{{Task: a, Run: 1}, {Task: c, Run: 1}, {Task: b, Run: 1}}, []bool{true, true, true}),
		Entry("if one member has no start", []jobs.Start{{Task: a, Run: 1}, {Task: b, Run: 1}}, []bool{false, false}),
		Entry("if one member has two starts and another has none",
			[]jobs.Start{{Task: a, Run: 1}, {Task: b, Run: 1}, {Task: b, Run: 1}}, []bool{false, false, false}),
		Entry("if one member has two starts and the others have one",
			[]jobs.Start{{Task: a, Run: 1}, {Task: b, Run: 1}, {Task: c, Run: 1}, {Task: c, Run: 1}},
			[]bool{false, false, false, false}),
		Entry("if one start has another run number",
			[]jobs.Start{{Task: a, Run: 1}, {Task: b, Run: 2}, {Task: c, Run: 1}}, []bool{false, false, false}),
	)

	It("starts although the same command has invalid starts of another gang", func() {
		s.submit(jobB, 2, step(2, gang))
		starts := []jobs.Start{
			{Task: a, Run: 1, Runner: "r1"}, {Task: id(jobB, 0), Run: 1, Runner: "r1"},
			{Task: b, Run: 1, Runner: "r1"}, {Task: id(jobB, 1), Run: 1, Runner: "r2"},
		}
		Expect(s.do(&jobs.Command{Starts: starts}).Starts).To(Equal([]bool{false, true, false, true}))
		startAll(1)
	})

	It("is Done as soon as one member is, and the runs of the others linger until their own ends", func() {
		startAll(1)
		effects := s.end("r2", b, 1, protocol.EndDone, "")
		Expect(effects.EndedRuns).To(HaveLen(3))
		Expect(s.phases(a, b, c)).To(Equal([]jobs.Phase{jobs.Done, jobs.Done, jobs.Done}))
		Expect(s.phase(id(jobA, 1, 0))).To(Equal(jobs.Pending))
		Expect(s.Runners()).To(Equal([]string{"r1", "r3"}))
		Expect(s.runsOn("r1")).To(BeEmpty())
		needs := protocol.Resources{CPU: 500, MemoryMB: 64}
		Expect(s.LingeringOn("r1")).To(Equal([]jobs.Lingering{{Task: a, Run: 1, Needs: needs}}))

		effects = s.end("r1", a, 1, protocol.EndDone, "")
		Expect(effects.Ends).To(Equal([]bool{false}))
		Expect(effects.FreedRuns).To(Equal([]jobs.FreedRun{{Runner: "r1", Lingering: jobs.Lingering{Task: a, Run: 1, Needs: needs}}}))
		Expect(s.LingeringOn("r1")).To(BeEmpty())
		Expect(s.lose("r3", c, 1, "").FreedRuns).To(HaveLen(1))
		Expect(s.Runners()).To(BeEmpty())
		Expect(s.phases(a, b, c)).To(Equal([]jobs.Phase{jobs.Done, jobs.Done, jobs.Done}))
	})

	It("keeps its lingering runs when the details of its job are dropped", func() {
		s.submit(jobB, 2, step(2, gang))
		s.startOn(1, "r1", id(jobB, 0), "r1", id(jobB, 1))
		s.end("r1", id(jobB, 0), 1, protocol.EndDone, "")
		Expect(s.stateOf(jobB)).To(Equal(protocol.JobCompleted))
		Expect(s.LingeringOn("r1")).To(HaveLen(1))
		s.end("r1", id(jobB, 1), 1, protocol.EndDone, "")
		Expect(s.LingeringOn("r1")).To(BeEmpty())
		Expect(s.Counters().Lingering).To(Equal(0))
	})

	It("becomes Pending again once no run of it may exist, and all members get the same run number", func() {
		startAll(1)
		s.end("r1", a, 1, protocol.EndBroken, "one")
		s.lose("r2", b, 1, "")
		Expect(s.phases(a, b, c)).To(Equal([]jobs.Phase{jobs.GangEnding, jobs.GangEnding, jobs.Running}))
		Expect(s.pendingIDs()).To(BeEmpty())
		Expect(s.startOn(2, "r1", a, "r2", b, "r3", c)).To(Equal([]bool{false, false, false}))
		effects := s.end("r3", c, 1, protocol.EndAlone, "")
		Expect(effects.Pending).To(HaveLen(3))
		Expect(s.pendingIDs()).To(Equal([]string{a.String(), b.String(), c.String()}))
		for _, member := range []jobs.TaskID{a, b, c} {
			Expect(s.Task(member).Checkpoint).To(Equal("one"))
		}
		Expect(s.Task(a).Group.Attempts).To(Equal(0))
		startAll(2)
		Expect(s.Task(a).Group.Run).To(Equal(uint64(2)))
	})

	It("is Done although the run of another member was lost before", func() {
		startAll(1)
		s.lose("r1", a, 1, "")
		s.end("r2", b, 1, protocol.EndDone, "")
		Expect(s.phases(a, b, c)).To(Equal([]jobs.Phase{jobs.Done, jobs.Done, jobs.Done}))
		Expect(s.Runners()).To(Equal([]string{"r3"}))
	})

	It("counts a failed run as one attempt, however many members fail in it", func() {
		startAll(1)
		s.end("r1", a, 1, protocol.EndFailed, "")
		s.end("r2", b, 1, protocol.EndFailed, "")
		s.end("r3", c, 1, protocol.EndBroken, "")
		Expect(attemptsOf(s.Task(a))).To(Equal(1))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
		startAll(2)
		member := s.Task(c)
		s.end("r2", b, 2, protocol.EndFailed, "")
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobFailed))
		Expect(s.phase(b)).To(Equal(jobs.Failed))
		Expect(s.phase(c)).To(Equal(jobs.Running))
		s.end("r1", a, 2, protocol.EndBroken, "")
		s.end("r3", c, 2, protocol.EndBroken, "")
		Expect(member.Phase).To(Equal(jobs.Cancelled))
		Expect(s.Job(jobA).Groups).To(BeEmpty())
	})

	It("is cancelled with its job: members without a run at once, Running ones when their run ends", func() {
		startAll(1)
		s.end("r1", a, 1, protocol.EndBroken, "")
		s.cancel(jobA)
		Expect(s.phases(a, b, c)).To(Equal([]jobs.Phase{jobs.Cancelled, jobs.Running, jobs.Running}))
		s.end("r2", b, 1, protocol.EndDone, "")
		s.end("r3", c, 1, protocol.EndStopped, "")
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobCancelled))
		Expect(s.Runners()).To(BeEmpty())
		Expect(s.pendingIDs()).To(BeEmpty())
	})

	It("keeps the checkpoint of an end rather than that of a loss of the same run", func() {
		startAll(1)
		s.lose("r1", a, 1, "seen")
		s.end("r2", b, 1, protocol.EndBroken, "ended")
		s.lose("r3", c, 1, "seen too")
		Expect(s.Task(a).Checkpoint).To(Equal("ended"))
		startAll(2)
		s.lose("r1", a, 2, "later")
		s.lose("r2", b, 2, "")
		s.lose("r3", c, 2, "")
		Expect(s.Task(b).Checkpoint).To(Equal("later"))
	})

	It("still counts a failed run once, and keeps the checkpoint of an end, after its state was restored from a snapshot", func() {
		startAll(1)
		s.end("r1", a, 1, protocol.EndFailed, "ended")
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Restore(data)).To(Succeed())
		s.end("r2", b, 1, protocol.EndFailed, "")
		s.lose("r3", c, 1, "seen")
		Expect(attemptsOf(s.Task(a))).To(Equal(1))
		Expect(s.stateOf(jobA)).To(Equal(protocol.JobRunning))
		Expect(s.Task(a).Checkpoint).To(Equal("ended"))
	})

	It("becomes Pending again after every end if its step is long-running", func() {
		s.submit(jobB, 1, step(2, gang, longRunning))
		for run := uint64(1); run <= 3; run++ {
			s.startOn(run, "r1", id(jobB, 0), "r2", id(jobB, 1))
			s.end("r1", id(jobB, 0), run, protocol.EndDone, "")
			Expect(s.phase(id(jobB, 0))).To(Equal(jobs.GangEnding))
			s.end("r2", id(jobB, 1), run, protocol.EndFailed, "")
			Expect(s.phase(id(jobB, 0))).To(Equal(jobs.Pending))
		}
		Expect(s.stateOf(jobB)).To(Equal(protocol.JobRunning))
	})
})

// startOn starts tasks in one command and returns which starts were applied. pairs has a runner (string) and a task
// (jobs.TaskID) for each start.
func (s *shard) startOn(run uint64, pairs ...any) []bool {
	command := &jobs.Command{}
	for i := 0; i < len(pairs); i += 2 {
		start := jobs.Start{Runner: pairs[i].(string), Task: pairs[i+1].(jobs.TaskID), Run: run}
		command.Starts = append(command.Starts, start)
	}
	return s.do(command).Starts
}

// count returns how many of the flags are set.
func count(flags []bool) (set int) {
	for _, flag := range flags {
		if flag {
			set++
		}
	}
	return set
}
