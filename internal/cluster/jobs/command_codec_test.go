package jobs_test

import (
	"encoding/hex"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// fullStep returns a step with every field set.
func fullStep() protocol.Step {
	return protocol.Step{
		Count: 3, CPU: 15_000, MemoryMB: 1 << 17, GPU: 8, EstimatedMs: 912.25, DependsOn: []int{0, 1}, Gang: true,
		RackLocal: true, Requirements: "kind-a", Affinity: "r1-3", AntiAffinity: 2, AtMostOnce: true, LongRunning: true,
		Checkpoints: true,
	}
}

// fullCommand returns a command with every field set, and with some items that have zero values.
func fullCommand() *jobs.Command {
	spec := protocol.JobSpec{
		Spec: strings.Repeat("é", 2000), Steps: []protocol.Step{step(1), step(2), fullStep()},
		Repetitions: 9, FirstRunMs: startMs, IntervalMs: 1500,
	}
	return &jobs.Command{
		TimeOfDayMs: startMs,
		Submits:     []jobs.Submit{{ID: jobA, Queue: queue(3), Job: spec, Version: 1 << 60}, {ID: jobB, Queue: queue(0)}},
		Cancels:     []string{jobA, ""},
		Fences:      []jobs.Fence{{ID: jobB, Version: 1 << 50}, {}},
		Ends: []jobs.End{
			{Runner: "r1", N: 1 << 60, Task: id(jobA, 1, 2, 3), Run: 7, Outcome: protocol.EndDone, Checkpoint: "00000bb87a21d94b"},
			{Runner: "r1", N: 5, Task: id(jobA, 1, 2, 4), Run: 7, Outcome: protocol.EndRefused},
			{Runner: "r2", N: 6, Task: id(jobB, -1, -2, -3), Run: 0, Outcome: "vanished"},
		},
		Losses:          []jobs.Loss{{Runner: "r2", Task: id(jobB, 0), Run: 3, Checkpoint: "x"}, {Runner: "", Task: jobs.TaskID{}}},
		Starts:          []jobs.Start{{Task: id(jobC, 0), Run: 1, Runner: "r2"}, {Task: id(jobC, 1), Run: 1, Runner: "r3"}},
		RunnerAddresses: []jobs.RunnerAddress{{Runner: "r2", Address: "10.0.0.2:8080"}, {Runner: "r3"}},

		Departures: []string{"r2", "r1"},
	}
}

// encode returns the encoding of a command.
func encode(c *jobs.Command) []byte {
	GinkgoHelper()
	data, err := jobs.Encode(c)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("The encoding of a command", func() {
	DescribeTable("decodes to an equal command",
		func(c *jobs.Command) {
			got, err := jobs.Decode(encode(c))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(c))
		},
		Entry("that is empty", &jobs.Command{}),
		Entry("with a time before 1970", &jobs.Command{TimeOfDayMs: -5}),
		Entry("that has every field", fullCommand()),
		Entry("that has one start", &jobs.Command{Starts: []jobs.Start{{Task: id(jobA, 0), Run: 1, Runner: "r1"}}}),
	)

	It("is decoded if an earlier release wrote it without departures", func() {
		c := fullCommand()
		c.Departures = nil
		data := encode(c)
		data[0] = 3                                 // the version without departures
		got, err := jobs.Decode(data[:len(data)-1]) // the last byte is the number of departures, 0
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(c))
	})

	It("preserves every outcome, also an unknown one", func() {
		for _, outcome := range []protocol.RunEnd{
			protocol.EndDone, protocol.EndFailed, protocol.EndStopped, protocol.EndLapsed,
			protocol.EndBroken, protocol.EndAlone, protocol.EndRefused, "", "other",
		} {
			got, err := jobs.Decode(encode(&jobs.Command{Ends: []jobs.End{{Outcome: outcome}}}))
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Ends[0].Outcome).To(Equal(outcome))
		}
	})

	It("is rejected if it is truncated anywhere, if bytes follow it, or if its version is unknown", func() {
		c := fullCommand()
		c.Submits[0].Job.Spec = "short"
		data := encode(c)
		for length := range data {
			_, err := jobs.Decode(data[:length])
			Expect(err).To(HaveOccurred(), "truncated to %d bytes", length)
		}
		_, err := jobs.Decode(append(data, 0))
		Expect(err).To(HaveOccurred())
		data[0] = 99
		_, err = jobs.Decode(data)
		Expect(err).To(MatchError(ContainSubstring("version 99")))
	})

	It("never makes Decode or Apply panic, whichever bytes are damaged", func() {
		data := encode(fullCommand())
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			damaged := append([]byte(nil), data...)
			for range rapid.IntRange(1, 8).Draw(t, "changes") {
				at := rapid.IntRange(1, len(damaged)-1).Draw(t, "at")
				damaged[at] = rapid.Byte().Draw(t, "byte")
			}
			if c, err := jobs.Decode(damaged); err == nil {
				jobs.New(jobs.Options{}).Apply(c)
			}
		})
	})
})

// populatedShard returns a shard with at least one item of each kind that a snapshot has: fences, a gang after the end of
// one member's run, repetitions, a lingering run, ended jobs with and without a run, and departed runners.
func populatedShard() *shard {
	s := newShard()
	s.fence("0000000000000fff", 5)
	s.advance(1)
	s.fence("0000000000000fff", 7)
	s.submit(jobA, 2, step(3, gang, checkpoints), step(2, after(0)), fullStep())
	s.startOn(1, "r1", id(jobA, 0), "r2", id(jobA, 1), "r2", id(jobA, 2))
	s.end("r1", id(jobA, 0), 1, protocol.EndFailed, "checkpoint of one")
	s.submitSpec(jobB, 2, protocol.JobSpec{
		Steps: []protocol.Step{step(2, gang), step(1, after(0))}, Repetitions: 3, FirstRunMs: startMs, IntervalMs: 500,
	})
	s.advance(600)
	s.startOn(1, "r1", id(jobB, 1, 0, 0), "r2", id(jobB, 1, 0, 1))
	s.end("r2", id(jobB, 1, 0, 1), 1, protocol.EndDone, "")
	s.submit(jobC, 2, step(2))
	s.start("r3", 1, id(jobC, 0))
	s.cancel(jobC)
	s.submit("0000000000000eee", 2, step(1))
	s.cancel("0000000000000eee")
	s.do(&jobs.Command{Departures: []string{"r2", "unknown"}})
	return s
}

var _ = Describe("A snapshot", func() {
	It("restores a state whose accessors return the same", func() {
		s := populatedShard()
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := jobs.New(jobs.Options{})
		Expect(restored.Restore(data)).To(Succeed())
		Expect(view(restored)).To(Equal(view(s.State)))
		for _, job := range []string{jobA, jobB, jobC, "0000000000000eee"} {
			Expect(restored.Job(job).Queue).To(Equal(s.Job(job).Queue))
			Expect(restored.Job(job).Spec).To(Equal(s.Job(job).Spec))
			Expect(restored.Job(job).State).To(Equal(s.Job(job).State))
			Expect(restored.Job(job).AcceptedMs).To(Equal(s.Job(job).AcceptedMs))
			Expect(restored.Job(job).EndedMs).To(Equal(s.Job(job).EndedMs))
			Expect(restored.Job(job).Groups).To(HaveLen(len(s.Job(job).Groups)))
		}
		Expect(restored.UnfinishedJobs("host/path/")).To(Equal(2))
		Expect(restored.Counters().Lingering).To(Equal(1))
		for runner, departed := range map[string]bool{"r1": false, "r2": true, "r3": false, "unknown": true, "other": false} {
			Expect(restored.Departed(runner)).To(Equal(departed), runner)
		}
	})

	It("is restored if an earlier release wrote it without departures", func() {
		const written = "0380a0abfef962904e04010000000200020272320000904e000272310001904e000110303030303030303030303030303061" +
			"610a686f73742f706174682f07736572766963650204000000000000f83f000180a0abfef962001874657874206f66203030" +
			"303030303030303030303030616100020004e80780010000000000208c40800102e80780010000000000208c400100010002" +
			"0000000000000103010000000602010000000203723200000000000000000000"
		data, err := hex.DecodeString(written)
		Expect(err).NotTo(HaveOccurred())
		restored := jobs.New(jobs.Options{})
		Expect(restored.Restore(data)).To(Succeed())
		s := newShard()
		s.submit(jobA, 2, step(2), step(1, after(0)))
		s.startOn(1, "r1", id(jobA, 0), "r2", id(jobA, 1))
		s.end("r1", id(jobA, 0), 1, protocol.EndDone, "")
		Expect(view(restored)).To(Equal(view(s.State)))
		Expect(restored.Digest()).To(Equal(s.Digest()))
	})

	It("replaces the complete state when it is restored", func() {
		empty, err := jobs.New(jobs.Options{}).Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s := populatedShard()
		Expect(s.Restore(empty)).To(Succeed())
		Expect(s.Counters()).To(Equal(jobs.Counters{}))
		Expect(s.Runners()).To(BeEmpty())
		Expect(s.pendingIDs()).To(BeEmpty())
	})

	It("is rejected without changing the state if it is truncated anywhere, if a byte follows it, or if its version is unknown", func() {
		s := populatedShard()
		data, _ := s.Snapshot()
		before := view(s.State)
		for length := range data {
			Expect(s.Restore(data[:length])).NotTo(Succeed(), "truncated to %d bytes", length)
		}
		Expect(s.Restore(append(append([]byte(nil), data...), 0))).NotTo(Succeed())
		Expect(s.Restore(append([]byte{99}, data[1:]...))).To(MatchError(ContainSubstring("version 99")))
		Expect(view(s.State)).To(Equal(before))
	})

	It("never makes Restore panic, whichever bytes are damaged", func() {
		data, _ := populatedShard().Snapshot()
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			damaged := append([]byte(nil), data...)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				at := rapid.IntRange(1, len(damaged)-1).Draw(t, "at")
				damaged[at] = rapid.Byte().Draw(t, "byte")
			}
			_ = jobs.New(jobs.Options{}).Restore(damaged)
		})
	})

	It("shares no memory with the state that was restored from it", func() {
		s := populatedShard()
		data, _ := s.Snapshot()
		restored := jobs.New(jobs.Options{})
		Expect(restored.Restore(data)).To(Succeed())
		again, _ := restored.Snapshot()
		clear(data)
		later, _ := restored.Snapshot()
		Expect(later).To(Equal(again))
	})
})
