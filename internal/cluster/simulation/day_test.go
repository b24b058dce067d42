package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The service of a job", func() {
	It("is the one that runs its tasks, wherever its queue has moved since", func() {
		p := newPage()
		other := &RunnerLife{Instance: "other", Service: "other"}
		moved := &RunnerLife{Instance: "first", Service: "first"}
		p.Runs = append(p.Runs,
			&Run{Task: TaskName{Job: "another job"}, Runner: other},
			&Run{Task: TaskName{Job: testJob}, Runner: moved},
		)
		d := &Deployment{Ledger: p.Ledger, Operator: &Operator{}}
		Expect(d.serviceOfJob(p.job)).To(Equal("first"))
	})

	It("is that of its queue while nothing of it has run", func() {
		p := newPage()
		d := &Deployment{Ledger: p.Ledger, Operator: &Operator{}}
		Expect(d.serviceOfJob(p.job)).To(Equal(d.serviceOf(p.job.Queue)))
	})
})
