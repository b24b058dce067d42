package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/jobs"
	"ospreypond/internal/protocol"
)

var _ = Describe("the overview", func() {
	It("lists jobs in order, from one on, by queue, and so many", func() {
		s := newShard()
		s.submit(jobC, 2, step(1))
		s.submit(jobA, 2, step(1))
		other := jobs.Submit{ID: jobB, Queue: protocol.Queue{Key: "other"}, Job: protocol.JobSpec{Steps: []protocol.Step{step(1)}}}
		s.do(&jobs.Command{Submits: []jobs.Submit{other}})
		Expect(s.JobIDs("", "", 9)).To(Equal([]string{jobA, jobB, jobC}))
		Expect(s.JobIDs("", jobA, 1)).To(Equal([]string{jobB}))
		Expect(s.JobIDs("host/path/", "", 9)).To(Equal([]string{jobA, jobC}))
		Expect(s.JobIDs("none", "", 9)).To(BeEmpty())
	})

	It("counts tasks done, running and all", func() {
		s := newShard()
		s.submit(jobA, 2, step(3), step(1, after(0)))
		s.start("r1", 1, id(jobA, 0), id(jobA, 1))
		s.end("r1", id(jobA, 0), 1, protocol.EndDone, "")
		done, running, all := s.Job(jobA).Progress()
		Expect([]int{done, running, all}).To(Equal([]int{1, 1, 4}))
		var seen []string
		s.EachRunOn("r1", func(task *jobs.Task) bool {
			seen = append(seen, task.ID.String())
			return true
		})
		s.EachRunOn("r2", func(*jobs.Task) bool { return true })
		Expect(seen).To(Equal([]string{jobA + ".0.0.1"}))
	})
})
