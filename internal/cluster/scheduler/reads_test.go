package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/scheduler"
)

// unknownID is that of a job that was never submitted.
const unknownID = "00000000000000ff"

// result is what a caller got from the owner.
type result struct {
	replied bool
	kind    failure.Kind
	state   protocol.JobState
	count   int
	known   bool
}

func (r *result) status(state protocol.JobState, err error) {
	r.replied, r.state, r.kind = true, state, failure.KindOf(err)
}

func (r *result) pending(count int, err error) {
	r.replied, r.count, r.kind = true, count, failure.KindOf(err)
}

func (r *result) acknowledged(err error) { r.replied, r.kind = true, failure.KindOf(err) }

func (r *result) submitted(known bool, err error) {
	r.replied, r.known, r.kind = true, known, failure.KindOf(err)
}

// limitedWorld returns a world whose owner accepts so many unfinished jobs at most.
func limitedWorld(maxJobs int) *world {
	w := &world{state: jobs.New(jobs.Options{}), now: time.Second}
	limited := options()
	limited.MaxUnfinishedJobs = maxJobs
	w.owner = scheduler.New(limited, w.state)
	w.lead(7)
	return w
}

// ended submits a job and brings it into a final state.
func (w *world) ended(jobID, state string) {
	q := protocol.Queue{Key: queue, Service: service, MaxAttempts: 1}
	w.submitTo(q, jobID, small())
	switch state {
	case protocol.JobCancelled:
		w.owner.Cancel(w.now, jobID, func(error) {})
		w.commitAll()
	case protocol.JobFailed:
		w.endRun(protocol.EndFailed)
	default:
		w.endRun(protocol.EndDone)
	}
}

// endRun has a runner start and end the first run of the only task there is.
func (w *world) endRun(outcome string) {
	orders := w.orders(heartbeatOf("i1", 1))
	Expect(orders.Start).To(HaveLen(1))
	heartbeat := heartbeatOf("i1", 2)
	heartbeat.Finished = []protocol.FinishedRun{{N: 1, Task: orders.Start[0].Task, Run: 1, How: protocol.RunEnd(outcome)}}
	w.orders(heartbeat)
}

var _ = Describe("An owner that may have been replaced", func() {
	// A confirmation, however recent, says nothing of now.
	const moment = time.Millisecond
	var (
		w   *world
		got *result
	)
	BeforeEach(func() {
		w = limitedWorld(1)
		got = &result{}
	})

	DescribeTable("waits for a confirmation that was asked for after the question",
		func(prepare func(), ask func(), check func()) {
			prepare()
			w.pass(moment)
			asked := w.now + moment
			w.passUnconfirmed(moment)
			ask()
			w.commitAll()
			Expect(got.replied).To(BeFalse())
			w.now += moment
			w.owner.Tick(w.now, w.clock(), asked-1) // its messages left before the question came
			w.commitAll()
			Expect(got.replied).To(BeFalse())
			w.owner.Tick(w.now, w.clock(), asked)
			w.commitAll()
			Expect(got.replied).To(BeTrue())
			check()
		},
		Entry("to show a job as queued", func() { w.submit(id, small()) },
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(result{replied: true, state: protocol.JobQueued})) }),
		Entry("to show a job as running", func() {
			w.submit(id, small())
			w.orders(heartbeatOf("i1", 1))
		},
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(result{replied: true, state: protocol.JobRunning})) }),
		Entry("to reply that there is no such job", func() {},
			func() { w.owner.Status(w.now, unknownID, got.status) },
			func() { Expect(got.kind).To(Equal(failure.Gone)) }),
		Entry("to count", func() { w.submit(id, small()) },
			func() { w.owner.Pending(w.now, queue, got.pending) },
			func() { Expect(*got).To(Equal(result{replied: true, count: 1})) }),
		Entry("to refuse a submit since too many jobs have not ended", func() { w.submit(id, small()) },
			func() { w.owner.Submit(w.now, submitOf(unknownID), got.submitted) },
			func() { Expect(got.kind).To(Equal(failure.Overloaded)) }),
	)

	It("accepts a submit if few enough jobs are left by the time of the confirmation", func() {
		w.submit(id, small())
		w.now += moment
		w.owner.Submit(w.now, submitOf(unknownID), got.submitted)
		w.owner.Cancel(w.now, id, func(error) {})
		w.commitAll()
		Expect(got.replied).To(BeFalse())
		w.pass(moment)
		Expect(*got).To(Equal(result{replied: true}))
		_, known := w.state.StateOf(unknownID)
		Expect(known).To(BeTrue())
	})

	DescribeTable("answers by an error after a time without a confirmation",
		func(ask func()) {
			w.submit(id, small())
			w.pass(moment)
			w.passUnconfirmed(moment)
			ask()
			w.passUnconfirmed(790 * time.Millisecond)
			Expect(got.replied).To(BeFalse())
			w.passUnconfirmed(20 * time.Millisecond)
			Expect(*got).To(Equal(result{replied: true, kind: failure.NotLeader}))
		},
		Entry("of a job", func() { w.owner.Status(w.now, id, got.status) }),
		Entry("of a job that it does not know", func() { w.owner.Status(w.now, unknownID, got.status) }),
		Entry("of a count", func() { w.owner.Pending(w.now, queue, got.pending) }),
		Entry("of a submit beyond the limit", func() { w.owner.Submit(w.now, submitOf(unknownID), got.submitted) }),
	)

	DescribeTable("answers at once what stays true",
		func(prepare func(), ask func(), want result) {
			prepare()
			w.passUnconfirmed(time.Minute)
			ask()
			Expect(*got).To(Equal(want))
		},
		Entry("a job that is completed", func() { w.ended(id, protocol.JobCompleted) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobCompleted}),
		Entry("a job that has failed", func() { w.ended(id, protocol.JobFailed) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobFailed}),
		Entry("a job that is cancelled", func() { w.ended(id, protocol.JobCancelled) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobCancelled}),
		Entry("that it has a job which is submitted again", func() {
			w.submit(id, small())
			w.owner.Cancel(w.now, id, func(error) {})
			w.commitAll()
		},
			func() { w.owner.Submit(w.now, submitOf(id), got.submitted) }, result{replied: true, known: true}),
		Entry("that it has a job which is fenced", func() { w.submit(id, small()) },
			func() { w.owner.Fence(w.now, jobs.Fence{ID: id, Version: 9}, got.submitted) }, result{replied: true, known: true}),
		Entry("that a job can never be done", func() {},
			func() { w.owner.Submit(w.now, jobs.Submit{ID: id}, got.submitted) }, result{replied: true, kind: failure.Invalid}),
	)
})
