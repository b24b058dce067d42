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

// unknownID is that of a job that was never handed in.
const unknownID = "00000000000000ff"

// answer is what a client's call got from the owner.
type answer struct {
	given bool
	kind  failure.Kind
	state string
	count int
	known bool
}

func (a *answer) status(state string, err error) {
	a.given, a.state, a.kind = true, state, failure.KindOf(err)
}

func (a *answer) pending(count int, err error) {
	a.given, a.count, a.kind = true, count, failure.KindOf(err)
}

func (a *answer) acknowledged(err error) { a.given, a.kind = true, failure.KindOf(err) }

func (a *answer) taken(known bool, err error) {
	a.given, a.known, a.kind = true, known, failure.KindOf(err)
}

// bounded returns a world whose owner holds so many jobs at most.
func bounded(most int) *world {
	w := &world{state: jobs.New(jobs.Options{}), now: time.Second}
	bounds := options()
	bounds.MaxPending = most
	w.owner = scheduler.New(bounds, w.state)
	w.lead(7)
	return w
}

// ended hands a job in and brings it to its end.
func (w *world) ended(jobID, state string) {
	q := protocol.Queue{Key: queue, Service: service, MaxAttempts: 1}
	_, err := w.submitTo(q, jobID, small())
	Expect(err).NotTo(HaveOccurred())
	switch state {
	case protocol.JobCancelled:
		w.owner.Cancel(w.now, jobID, func(error) {})
		w.settle()
	case protocol.JobFailed:
		w.endRun(protocol.EndFailed)
	default:
		w.endRun(protocol.EndDone)
	}
}

// endRun has a runner take and end the first run of the only task there is.
func (w *world) endRun(how string) {
	orders, err := w.beat(beatOf("i1", 1))
	Expect(err).NotTo(HaveOccurred())
	Expect(orders.Start).To(HaveLen(1))
	beat := beatOf("i1", 2)
	beat.Finished = []protocol.FinishedRun{{N: 1, Task: orders.Start[0].Task, Run: 1, How: protocol.RunEnd(how)}}
	_, err = w.beat(beat)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("An owner that may have been replaced", func() {
	// A confirmation of a moment ago says nothing of now.
	const moment = time.Millisecond
	var (
		w   *world
		got *answer
	)
	BeforeEach(func() {
		w = bounded(1)
		got = &answer{}
	})

	DescribeTable("waits for a confirmation asked for after the question",
		func(prepare func(), ask func(), check func()) {
			prepare()
			w.pass(moment)
			asked := w.now + moment
			w.passUnconfirmed(moment)
			ask()
			w.settle()
			Expect(got.given).To(BeFalse())
			w.now += moment
			w.owner.Tick(w.now, w.clock(), asked-1) // of a round that left before
			w.settle()
			Expect(got.given).To(BeFalse())
			w.owner.Tick(w.now, w.clock(), asked)
			w.settle()
			Expect(got.given).To(BeTrue())
			check()
		},
		Entry("to show a job as queued", func() { w.submit(id, small()) },
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(answer{given: true, state: protocol.JobQueued})) }),
		Entry("to show a job as running", func() {
			w.submit(id, small())
			w.beat(beatOf("i1", 1))
		},
			func() { w.owner.Status(w.now, id, got.status) },
			func() { Expect(*got).To(Equal(answer{given: true, state: protocol.JobRunning})) }),
		Entry("to say that there is no such job", func() {},
			func() { w.owner.Status(w.now, unknownID, got.status) },
			func() { Expect(got.kind).To(Equal(failure.Gone)) }),
		Entry("to count", func() { w.submit(id, small()) },
			func() { w.owner.Pending(w.now, queue, got.pending) },
			func() { Expect(*got).To(Equal(answer{given: true, count: 1})) }),
		Entry("to refuse a hand-in for want of room", func() { w.submit(id, small()) },
			func() { w.owner.Submit(w.now, submitOf(unknownID), got.taken) },
			func() { Expect(got.kind).To(Equal(failure.Overloaded)) }),
	)

	It("takes a hand-in for which there is room by the time of the confirmation", func() {
		w.submit(id, small())
		w.now += moment
		w.owner.Submit(w.now, submitOf(unknownID), got.taken)
		w.owner.Cancel(w.now, id, func(error) {})
		w.settle()
		Expect(got.given).To(BeFalse())
		w.pass(moment)
		Expect(*got).To(Equal(answer{given: true}))
		_, known := w.state.StateOf(unknownID)
		Expect(known).To(BeTrue())
	})

	DescribeTable("gives up after a while without a confirmation, and answers nothing of what it remembers",
		func(ask func()) {
			w.submit(id, small())
			w.pass(moment)
			w.passUnconfirmed(moment)
			ask()
			w.passUnconfirmed(790 * time.Millisecond)
			Expect(got.given).To(BeFalse())
			w.passUnconfirmed(20 * time.Millisecond)
			Expect(*got).To(Equal(answer{given: true, kind: failure.NotLeader}))
		},
		Entry("of a job", func() { w.owner.Status(w.now, id, got.status) }),
		Entry("of a job that it does not know", func() { w.owner.Status(w.now, unknownID, got.status) }),
		Entry("of a count", func() { w.owner.Pending(w.now, queue, got.pending) }),
		Entry("of its room", func() { w.owner.Submit(w.now, submitOf(unknownID), got.taken) }),
	)

	DescribeTable("tells at once what stays true",
		func(prepare func(), ask func(), want answer) {
			prepare()
			w.passUnconfirmed(time.Minute)
			ask()
			Expect(*got).To(Equal(want))
		},
		Entry("a job that is completed", func() { w.ended(id, protocol.JobCompleted) },
			func() { w.owner.Status(w.now, id, got.status) }, answer{given: true, state: protocol.JobCompleted}),
		Entry("a job that has failed", func() { w.ended(id, protocol.JobFailed) },
			func() { w.owner.Status(w.now, id, got.status) }, answer{given: true, state: protocol.JobFailed}),
		Entry("a job that is cancelled", func() { w.ended(id, protocol.JobCancelled) },
			func() { w.owner.Status(w.now, id, got.status) }, answer{given: true, state: protocol.JobCancelled}),
		Entry("that it has a job which is handed in again", func() {
			w.submit(id, small())
			w.owner.Cancel(w.now, id, func(error) {})
			w.settle()
		},
			func() { w.owner.Submit(w.now, submitOf(id), got.taken) }, answer{given: true, known: true}),
		Entry("that it has a job which is fenced", func() { w.submit(id, small()) },
			func() { w.owner.Fence(w.now, jobs.Fence{ID: id, Version: 9}, got.taken) }, answer{given: true, known: true}),
		Entry("that a job can never be done", func() {},
			func() { w.owner.Submit(w.now, jobs.Submit{ID: id}, got.taken) }, answer{given: true, kind: failure.Invalid}),
	)
})
