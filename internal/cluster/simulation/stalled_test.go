package simulation

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The service of a job", func() {
	It("is the service that runs its tasks, also when its queue has moved to another", func() {
		b := newHistoryBuilder()
		other := &RunnerIncarnation{Instance: "other", Service: "other"}
		moved := &RunnerIncarnation{Instance: "first", Service: "first"}
		b.Runs = append(b.Runs,
			&Run{Task: TaskName{Job: "another job"}, Runner: other},
			&Run{Task: TaskName{Job: testJob}, Runner: moved},
		)
		d := &Deployment{History: b.History, Operator: &Operator{}}
		Expect(d.serviceOfJob(b.submitted)).To(Equal("first"))
	})

	It("is the service of its queue until one of its tasks has run", func() {
		b := newHistoryBuilder()
		queue := b.submitted.Queue
		current := &Document{Routes: []Route{{Host: queue.Host, PathPrefix: queue.Prefix, Service: "alfa"}}}
		d := &Deployment{History: b.History, Operator: &Operator{current: current}}
		Expect(d.serviceOfJob(b.submitted)).To(Equal("alfa"))
	})
})
