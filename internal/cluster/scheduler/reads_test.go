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

// unknownID is the ID of a job that was never submitted.
const unknownID = "00000000000000ff"

// result is the owner's reply to a request; its methods are the callbacks.
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

// limitedWorld returns a world whose owner refuses submits while maxJobs jobs have not ended.
func limitedWorld(maxJobs int) *world {
	w := &world{state: jobs.New(jobs.Options{}), now: time.Second}
	limited := options()
	limited.MaxUnfinishedJobs = maxJobs
	w.owner = scheduler.New(limited, w.state)
	w.lead(7)
	return w
}

// submitAndEnd submits a job and brings it into the given final state.
func (w *world) submitAndEnd(jobID, state string) {
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

// endRun makes a runner start and end the first run of the only task.
func (w *world) endRun(outcome string) {
	orders := w.orders(heartbeatOf("i1", 1))
	Expect(orders.Start).To(HaveLen(1))
	heartbeat := heartbeatOf("i1", 2)
	heartbeat.Finished = []protocol.FinishedRun{{N: 1, Task: orders.Start[0].Task, Run: 1, How: protocol.RunEnd(outcome)}}
	w.orders(heartbeat)
}

var _ = Describe("An owner that may have been replaced", func() {
	// However recent a confirmation is, another process may have become the leader since.
	const moment = time.Millisecond
	var (
		w   *world
		got *result
	)
	BeforeEach(func() {
		w = limitedWorld(1)
		got = &result{}
	})

	DescribeTable("waits for a confirmation of leadership that was requested after the call",
		func(prepare func(), ask func(), check func()) {
			prepare()
			w.pass(moment)
			asked := w.now + moment
			w.passUnconfirmed(moment)
			ask()
			w.commitAll()
			Expect(got.replied).To(BeFalse())
			w.now += moment
			w.owner.Tick(w.now, w.clock(), asked-1) // the messages of this confirmation were sent before the call
			w.commitAll()
			Expect(got.replied).To(BeFalse())
			w.owner.Tick(w.now, w.clock(), asked)
			w.commitAll()
			Expect(got.replied).To(BeTrue())
			check()
		},
		Entry("before it shows a job as queued", func() { w.submit(id, small()) },
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(result{replied: true, state: protocol.JobQueued})) }),
		Entry("before it shows a job as running", func() {
			w.submit(id, small())
			w.orders(heartbeatOf("i1", 1))
		},
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(result{replied: true, state: protocol.JobRunning})) }),
		Entry("before it replies that a job is unknown", func() {},
			func() { w.owner.Status(w.now, unknownID, got.status) },
			func() { Expect(got.kind).To(Equal(failure.Gone)) }),
		Entry("before it replies how many jobs of a queue have not ended", func() { w.submit(id, small()) },
			func() { w.owner.Pending(w.now, queue, got.pending) },
			func() { Expect(*got).To(Equal(result{replied: true, count: 1})) }),
		Entry("before it refuses a submit because too many jobs have not ended", func() { w.submit(id, small()) },
			func() { w.owner.Submit(w.now, submitOf(unknownID), got.submitted) },
			func() { Expect(got.kind).To(Equal(failure.Overloaded)) }),
	)

	It("accepts a submit if enough jobs have ended by the time of the confirmation", func() {
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

	DescribeTable("fails a read if no confirmation comes within the time limit",
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
		Entry("the state of a job", func() { w.owner.Status(w.now, id, got.status) }),
		Entry("the state of an unknown job", func() { w.owner.Status(w.now, unknownID, got.status) }),
		Entry("the number of jobs that have not ended", func() { w.owner.Pending(w.now, queue, got.pending) }),
		Entry("a submit beyond the limit of unfinished jobs", func() { w.owner.Submit(w.now, submitOf(unknownID), got.submitted) }),
	)

	DescribeTable("answers at once if the answer can never change",
		func(prepare func(), ask func(), want result) {
			prepare()
			w.passUnconfirmed(time.Minute)
			ask()
			Expect(*got).To(Equal(want))
		},
		Entry("a job is completed", func() { w.submitAndEnd(id, protocol.JobCompleted) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobCompleted}),
		Entry("a job has failed", func() { w.submitAndEnd(id, protocol.JobFailed) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobFailed}),
		Entry("a job is cancelled", func() { w.submitAndEnd(id, protocol.JobCancelled) },
			func() { w.owner.Status(w.now, id, got.status) }, result{replied: true, state: protocol.JobCancelled}),
		Entry("a job that is submitted again is known", func() {
			w.submit(id, small())
			w.owner.Cancel(w.now, id, func(error) {})
			w.commitAll()
		},
			func() { w.owner.Submit(w.now, submitOf(id), got.submitted) }, result{replied: true, known: true}),
		Entry("a job that is to be fenced is known", func() { w.submit(id, small()) },
			func() { w.owner.Fence(w.now, jobs.Fence{ID: id, Version: 9}, got.submitted) }, result{replied: true, known: true}),
		Entry("a submitted job is invalid", func() {},
			func() { w.owner.Submit(w.now, jobs.Submit{ID: id}, got.submitted) }, result{replied: true, kind: failure.Invalid}),
	)
})
