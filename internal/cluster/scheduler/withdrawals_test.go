package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Guards against a job that runs although its cancel was acknowledged: the submission arrives after the cancel.
var _ = Describe("An owner that withdraws the ID of an unknown job", func() {
	const id = "00000000000000aa"
	const moment = 10 * time.Millisecond
	var w *world
	var got *result
	BeforeEach(func() { w, got = newWorld(), &result{} })

	withdraw := func(id string, reply *result) {
		w.owner.Fence(w.now, jobs.Fence{ID: id, Version: protocol.EveryVersion}, reply.submitted)
	}
	withdrawNow := func(id string) {
		GinkgoHelper()
		reply := &result{}
		withdraw(id, reply)
		w.commitAll()
		Expect(*reply).To(Equal(result{replied: true}))
	}
	// age advances the shard's age by commands in steps that retention counts in full.
	age := func(span time.Duration) {
		for ; span > 0; span -= 5 * time.Second {
			w.now += min(span, 5*time.Second)
			w.owner.Tick(w.now, w.clock(), w.now)
			w.state.Apply(&jobs.Command{TimeOfDayMs: w.clock()})
		}
	}

	It("replies once the withdrawal is committed", func() {
		w.stalled = true
		withdraw(id, got)
		w.commitAll()
		Expect(got.replied).To(BeFalse())
		w.commit()
		Expect(*got).To(Equal(result{replied: true}))
	})

	It("rejects a later submission as Gone, also as the next owner", func() {
		withdrawNow(id)
		w.owner.Submit(w.now, submitOf(id), got.submitted)
		w.commitAll()
		Expect(*got).To(Equal(result{replied: true, kind: failure.Gone}))
		w.owner.BecomeFollower()
		w.lead(8)
		w.owner.Submit(w.now, submitOf(id), got.submitted)
		w.commitAll()
		Expect(*got).To(Equal(result{replied: true, kind: failure.Gone}))
		Expect(w.state.Counters().Jobs).To(Equal(0))
	})

	It("withdraws the ID by a cancel alone, as frontends of earlier releases send no fence", func() {
		w.owner.Cancel(w.now, id, got.acknowledged)
		w.commitAll()
		Expect(*got).To(Equal(result{replied: true, kind: failure.Gone}))
		w.owner.Submit(w.now, submitOf(id), got.submitted)
		w.commitAll()
		Expect(*got).To(Equal(result{replied: true, kind: failure.Gone}))
	})

	It("cancels a job whose submission is in the same command, and does not withdraw its ID", func() {
		w.stalled = true
		w.owner.Submit(w.now, submitOf(id), func(bool, error) {})
		w.owner.Cancel(w.now, id, got.acknowledged)
		w.commitAll()
		w.commit()
		Expect(*got).To(Equal(result{replied: true}))
		state, _ := w.state.StateOf(id)
		Expect(state).To(BeEquivalentTo(protocol.JobCancelled))
		Expect(w.state.Counters().Withdrawn).To(Equal(0))
	})

	It("adds no command for a fence of a withdrawn ID by a version of the configuration", func() {
		withdrawNow(id)
		commands := len(w.log)
		w.now += moment
		w.owner.Fence(w.now, jobs.Fence{ID: id, Version: 9}, got.submitted)
		w.commitAll()
		Expect(got.replied).To(BeFalse())
		w.pass(moment)
		Expect(*got).To(Equal(result{replied: true}))
		Expect(w.log).To(HaveLen(commands))
	})

	It("has the job instead if a submission was committed before", func() {
		w.stalled = true
		w.owner.Submit(w.now, submitOf(id), func(bool, error) {})
		withdraw(id, got)
		w.commitAll()
		w.commit()
		Expect(*got).To(Equal(result{replied: true, known: true}))
		Expect(w.state.Counters().Jobs).To(Equal(1))
	})

	It("answers a repeated cancel without another command, but only with a new confirmation of its leadership", func() {
		withdrawNow(id)
		commands := len(w.log)
		w.now += moment
		withdraw(id, got)
		w.commitAll()
		Expect(got.replied).To(BeFalse())
		w.pass(moment)
		Expect(*got).To(Equal(result{replied: true}))
		Expect(w.log).To(HaveLen(commands))
	})

	It("commits a repeated cancel again when little of the retention remains", func() {
		withdrawNow(id)
		age(jobs.DefaultTombstoneRetention - time.Minute)
		withdrawNow(id)
		remaining, withdrawn := w.state.Withdrawn(id)
		Expect(withdrawn).To(BeTrue())
		Expect(remaining).To(BeNumerically(">", 19*time.Minute))
	})

	It("answers the cancel of a job about to be forgotten only after that, as the ID can be withdrawn then", func() {
		const ended = "00000000000000ee"
		w.submitAndEnd(ended, protocol.JobCancelled)
		age(jobs.DefaultStatusRetention*3/2 + 5*time.Second)
		withdraw(ended, got)
		w.commitAll()
		Expect(*got).To(Equal(result{replied: true, known: true}), "the ID stays known for a long time")
		age(jobs.DefaultTombstoneRetention - time.Minute)
		withdraw(ended, got)
		Expect(*got).To(Equal(result{replied: true, kind: failure.Unavailable}))
		age(2 * time.Minute)
		withdrawNow(ended)
	})

	It("fails with an unknown outcome if the leadership is lost before the commit", func() {
		w.stalled = true
		withdraw(id, got)
		w.commitAll()
		w.owner.BecomeFollower()
		Expect(*got).To(Equal(result{replied: true, kind: failure.UnknownOutcome}))
	})

	It("refuses cancels beyond a number for one command, and still accepts submissions", func() {
		w.stalled = true
		withdraw("first", &result{})
		w.commitAll() // the next withdrawals wait for the command after this one
		replies := make([]result, 600)
		for i := range replies {
			withdraw(fmt.Sprintf("%016x", i), &replies[i])
		}
		refused := 0
		for _, reply := range replies {
			if reply.replied {
				Expect(reply.kind).To(Equal(failure.Overloaded))
				refused++
			}
		}
		Expect(refused).To(Equal(600 - 128))
		Expect(w.owner.Counters().WithdrawalsRefused).To(Equal(uint64(refused)))
		w.commit()
		w.stalled = false
		w.submit("00000000000fffff", small())
		Expect(w.state.Counters().Withdrawn).To(Equal(129))
	})

	It("refuses cancels while too many IDs are withdrawn, and still accepts submissions and repeated cancels", func() {
		const limit = 20_000
		command := &jobs.Command{TimeOfDayMs: w.clock()}
		for i := range limit {
			command.Fences = append(command.Fences, jobs.Fence{ID: fmt.Sprintf("%016x", i), Version: protocol.EveryVersion})
		}
		w.state.Apply(command)
		withdraw("another", got)
		Expect(*got).To(Equal(result{replied: true, kind: failure.Overloaded}))
		repeated := &result{}
		withdraw(fmt.Sprintf("%016x", 7), repeated)
		w.pass(moment)
		Expect(*repeated).To(Equal(result{replied: true}))
		w.submit("00000000000fffff", small())
		age(jobs.DefaultTombstoneRetention + 5*time.Second)
		withdrawNow("another")
	})
})
