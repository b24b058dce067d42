package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The service of a job", func() {
	It("is the one that runs its tasks, wherever its queue has moved since", func() {
		p := newHistoryBuilder()
		other := &RunnerIncarnation{Instance: "other", Service: "other"}
		moved := &RunnerIncarnation{Instance: "first", Service: "first"}
		p.Runs = append(p.Runs,
			&Run{Task: TaskName{Job: "another job"}, Runner: other},
			&Run{Task: TaskName{Job: testJob}, Runner: moved},
		)
		d := &Deployment{History: p.History, Operator: &Operator{}}
		Expect(d.serviceOfJob(p.submitted)).To(Equal("first"))
	})

	It("is that of its queue while nothing of it has run", func() {
		p := newHistoryBuilder()
		d := &Deployment{History: p.History, Operator: &Operator{}}
		Expect(d.serviceOfJob(p.submitted)).To(Equal(d.serviceOf(p.submitted.Queue)))
	})
})
