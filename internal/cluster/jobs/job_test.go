package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The jobs of a shard", func() {
	It("are listed in ascending order of id, in pages and by queue", func() {
		s := newShard()
		for _, id := range []string{jobC, jobA, jobB} {
			s.submit(id, 3, protocol.Step{Count: 1})
		}
		Expect(s.JobIDs("", "", 10)).To(Equal([]string{jobA, jobB, jobC}))
		Expect(s.JobIDs("", "", 2)).To(Equal([]string{jobA, jobB}))
		Expect(s.JobIDs("", jobB, 2)).To(Equal([]string{jobC}))
		Expect(s.JobIDs("host/path/", jobC, 2)).To(BeEmpty())
		Expect(s.JobIDs("host/other/", "", 2)).To(BeEmpty())
	})

	It("report how many of their tasks are Done and Running", func() {
		s := newShard()
		s.submit(jobA, 3, protocol.Step{Count: 3}, protocol.Step{Count: 2, DependsOn: []int{0}})
		first := jobs.TaskID{Job: jobA}
		second := jobs.TaskID{Job: jobA, Index: 1}
		s.do(&jobs.Command{Starts: []jobs.Start{{Task: first, Run: 1, Runner: "r"}, {Task: second, Run: 1, Runner: "r"}}})
		s.do(&jobs.Command{Ends: []jobs.End{{Runner: "r", N: 1, Task: first, Run: 1, Outcome: protocol.EndDone}}})
		done, running, all := s.Job(jobA).Progress()
		Expect([]int{done, running, all}).To(Equal([]int{1, 1, 5}))
	})
})
