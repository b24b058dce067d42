package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// granted are orders that hold what runs.
func granted() protocol.Orders {
	return protocol.Orders{HoldMs: 4000, FenceToken: 7, RetryDelayMs: 40}
}

func starting(tasks ...string) protocol.Orders {
	orders := granted()
	for _, task := range tasks {
		orders.Start = append(orders.Start, protocol.StartOrder{Task: task, Run: 1, Spec: "do", Saved: "0b"})
	}
	return orders
}

var one = protocol.ActiveRun{Task: "a.0.0.1", Run: 1}

var _ = Describe("a runner that is called", func() {
	var b *calledBed
	BeforeEach(func() {
		b = newCalledBed()
		DeferCleanup(func() { b.close() })
	})

	It("is looked at without a grant, and reported as if it had sent a heartbeat", func() {
		b.runner.finished = []protocol.FinishedRun{{N: 3, Task: "a.0.0.9", Run: 2, How: protocol.EndDone}}
		b.runner.active = []protocol.ActiveRun{{Task: "a.0.0.8", Run: 2, Saved: "0c", Percent: 40}}
		answered := b.own(instance, 4, protocol.RunnerReady)
		e := b.turn()
		Expect(b.runner.next(pathHold)).To(Equal(called{Path: pathHold}))
		Expect(e.beat.ClockMs).To(And(BeNumerically(">=", b.runner.origin), BeNumerically("<=", b.runner.clockMs())))
		Expect(*e.beat).To(Equal(protocol.Heartbeat{
			Instance: instance, Service: "huvo11a", Address: "10.0.0.9:1", State: protocol.RunnerReady,
			Sequence: 4<<sequenceBits | 1, ClockMs: e.beat.ClockMs,
			Active: b.runner.active, Finished: b.runner.finished, Called: true,
		}))
		Expect(answered).NotTo(Receive(), "the owner has not got it yet")
		e.reply <- result{orders: granted()}
		w := answerOf(answered)
		Expect(w.Code).To(Equal(200))
		Expect(w.Body.String()).To(MatchJSON(`{}`))
	})

	It("does as ordered, stops first, held from before the owner was told", func() {
		running := protocol.ActiveRun{Task: "a.0.0.2", Run: 5}
		b.runner.active = []protocol.ActiveRun{running}
		b.own(instance, 4, protocol.RunnerReady)
		e := b.turn()
		orders := starting("a.0.0.1")
		orders.Stop = []protocol.StopOrder{{Task: "a.0.0.2", Run: 5}}
		orders.LastSeen = 3
		e.reply <- result{orders: orders}
		deadline := e.beat.ClockMs + orders.HoldMs
		for range 2 {
			Expect(b.runner.next(pathHold).DeadlineMs).To(BeZero(), "nothing is granted yet")
		}
		var calls []called
		for range 2 {
			var call called
			Eventually(b.runner.calls).Should(Receive(&call))
			calls = append(calls, call)
		}
		Expect(calls).To(HaveExactElements(
			called{Path: pathStop, Task: "a.0.0.2", RunID: 5, FenceToken: 7},
			called{Path: pathStart, Task: "a.0.0.1", RunID: 1, Spec: "do", Saved: "0b", DeadlineMs: deadline, FenceToken: 7},
		))
		e = b.turn()
		Expect(e.beat.Active).To(ConsistOf(one, running), "what was started is known before a look shows it")
		Expect(e.beat.Sequence).To(Equal(uint64(4<<sequenceBits | 2)))
		e.reply <- result{orders: granted()}
		e = b.turn()
		e.reply <- result{orders: granted()}
		Expect(b.runner.next(pathHold)).To(Equal(called{Path: pathHold, DeadlineMs: e.beat.ClockMs + orders.HoldMs,
			FenceToken: 7, LastSeen: 3, WaitMs: mostWait.Milliseconds()}))
	})

	It("tells of an end at once, until the owner has acknowledged it", func() {
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: granted()}
		ended := protocol.FinishedRun{N: 1, Task: "a.0.0.1", Run: 1, How: protocol.EndDone}
		b.runner.set(func() { b.runner.finished = []protocol.FinishedRun{ended} })
		b.runner.nudges <- struct{}{}
		has := func(beat *protocol.Heartbeat) bool { return len(beat.Finished) > 0 }
		b.until(granted(), has).reply <- result{orders: granted()}
		e := b.turn()
		Expect(e.beat.Finished).To(ConsistOf(ended))
		acknowledged := granted()
		acknowledged.LastSeen = 1
		e.reply <- result{orders: acknowledged}
		Expect(b.turn().beat.Finished).To(BeEmpty())
	})

	It("that refuses a start is made to refuse it for good, which the owner is told", func() {
		b.runner.refuse = "room"
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: starting("a.0.0.1")}
		e := b.until(granted(), func(beat *protocol.Heartbeat) bool {
			if len(beat.Rejected) == 0 {
				Expect(beat.Active).To(ConsistOf(one), "its room is kept until a later look does not show it")
			}
			return len(beat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{"a.0.0.1", 1}))
		Expect(e.beat.Rejected).To(ConsistOf(one))
		Expect(e.beat.Active).To(BeEmpty())
		e.reply <- result{orders: granted()}
		Expect(b.turn().beat.Rejected).To(BeEmpty())
	})

	It("is made to refuse for good what an agent before this one may have sent", func() {
		b.own(instance, 4, protocol.RunnerReady)
		orders := granted()
		orders.Stop = []protocol.StopOrder{{Task: one.Task, Run: one.Run}}
		b.turn().reply <- result{orders: orders}
		e := b.until(granted(), func(beat *protocol.Heartbeat) bool {
			if len(beat.Rejected) == 0 {
				Expect(beat.Active).To(ConsistOf(one), "it may be on its way until a look after the stop does not show it")
			}
			return len(beat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{one.Task, one.Run}))
		Expect(e.beat.Rejected).To(ConsistOf(one))
		Expect(e.beat.Active).To(BeEmpty())
	})

	It("that has a newer owner is not made to refuse anything", func() {
		b.runner.refuse = whyFence
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: starting("a.0.0.1")}
		e := b.turn()
		Expect(e.beat.Active).To(BeEmpty())
		Expect(e.beat.Rejected).To(BeEmpty())
		Expect(b.runner.stopped).To(BeEmpty())
	})

	DescribeTable("of which it is unknown whether it has started a run",
		func(started bool) {
			b.own(instance, 4, protocol.RunnerReady)
			e := b.turn()
			b.runner.set(func() {
				b.runner.cut = true
				b.runner.onStart = func() {
					if started {
						b.runner.active = append(b.runner.active, one)
					}
				}
			})
			e.reply <- result{orders: starting("a.0.0.1")}
			b.runner.next(pathStart)
			b.clock.Advance(time.Second)
			answered := b.own(instance, 5, protocol.RunnerReady)
			e = b.turn()
			Expect(e.beat.Active).To(ConsistOf(one))
			e.reply <- result{orders: granted()}
			Expect(answerOf(answered).Code).To(Equal(200))
			if started {
				for range 5 {
					e := b.turn()
					Expect(e.beat.Active).To(ConsistOf(one))
					e.reply <- result{orders: granted()}
				}
				Expect(b.runner.stopped).To(BeEmpty())
				return
			}
			e = b.until(granted(), func(beat *protocol.Heartbeat) bool { return len(beat.Active) == 0 })
			Expect(e.beat.Rejected).To(ConsistOf(one))
			Expect(b.runner.stopped).To(HaveKey(runName{"a.0.0.1", 1}))
		},
		Entry("keeps its room until it was stopped", false),
		Entry("is believed when it shows it", true),
	)

	It("is given no start that has become old", func() {
		b.own(instance, 4, protocol.RunnerReady)
		e := b.turn()
		b.runner.set(func() { b.runner.onStart = func() { b.clock.Advance(orderTime) } })
		e.reply <- result{orders: starting("a.0.0.1", "a.0.0.2")}
		Expect(b.runner.next(pathStart).Task).To(Equal("a.0.0.1"))
		Expect(b.turn().beat.Active).To(ConsistOf(one))
	})

	It("is not given the orders of an owner of the past", func() {
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: granted()}
		old := starting("a.0.0.1")
		old.FenceToken = 6
		b.turn().reply <- result{orders: old}
		Expect(b.turn().beat.Active).To(BeEmpty())
	})

	It("is told that its draining is known only once it is", func() {
		b.own(instance, 4, protocol.RunnerReady)
		e := b.turn()
		draining := b.own(instance, 5, protocol.RunnerDraining)
		Expect(e.beat.State).To(Equal(protocol.RunnerReady))
		e.reply <- result{orders: granted()}
		e = b.until(granted(), func(beat *protocol.Heartbeat) bool { return beat.State == protocol.RunnerDraining })
		Expect(draining).NotTo(Receive())
		e.reply <- result{orders: granted()}
		Expect(answerOf(draining).Code).To(Equal(200))
	})

	It("has its heartbeat refused when no owner answers", func() {
		answered := b.own(instance, 4, protocol.RunnerReady)
		b.turn()
		b.clock.Advance(exchangeTime)
		Expect(answerOf(answered).Code).To(Equal(503))
	})

	It("is looked at by the present token, and reported with rising numbers, after the agent's restart", func() {
		b.runner.fence = 7
		b.own(instance, 4, protocol.RunnerReady)
		fence := b.turn()
		Expect(*fence.beat).To(Equal(protocol.Heartbeat{Instance: instance, Service: "huvo11a", FenceOnly: true}))
		fence.reply <- result{orders: protocol.Orders{FenceToken: 8}}
		before := b.turn().beat.Sequence
		Expect(b.runner.fence).To(Equal(uint64(8)))
		b.service.Close()
		b.service = NewService(Options{Owners: b.owners, Service: "huvo11a", Clock: b.clock, Calls: true, App: b.runner.address()})
		b.own(instance, 5, protocol.RunnerReady)
		b.turn().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(b.turn().beat.Sequence).To(BeNumerically(">", before))
	})

	It("is not taken for the one that has followed it", func() {
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: granted()}
		b.runner.next(pathHold)
		b.clock.Advance(time.Second)
		b.runner = b.runner.again()
		for range 20 {
			b.clock.Advance(50 * time.Millisecond)
			select {
			case e := <-b.owners.attempts: // what it was before the connection broke
				e.reply <- result{orders: granted()}
			default:
			}
		}
		e, next := b.untilBeating("i-next", granted())
		e.reply <- result{orders: granted()}
		Expect(answerOf(next).Code).To(Equal(200))
		Expect(answerOf(b.own(instance, 9, protocol.RunnerReady)).Code).To(Equal(410), "it is over")
	})

	It("is not ended by a late heartbeat of the one before, of which the agent has never heard", func() {
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: granted()}
		Expect(answerOf(b.own("i-before", 90, protocol.RunnerReady)).Code).To(Equal(503))
		e := b.turn()
		Expect(e.beat.Instance).To(Equal(instance))
		e.reply <- result{orders: granted()}
		next := b.own(instance, 5, protocol.RunnerReady)
		b.until(granted(), func(beat *protocol.Heartbeat) bool { return beat.Sequence>>sequenceBits == 5 }).reply <- result{orders: granted()}
		Expect(answerOf(next).Code).To(Equal(200))
	})

	It("is called no more once it has said that it ends", func() {
		b.own(instance, 4, protocol.RunnerReady)
		b.turn().reply <- result{orders: granted()}
		leaving := b.begin(post(instance, "deregister", ""))
		for {
			e := b.turn()
			if e.leaving == nil {
				e.reply <- result{orders: granted()}
				continue
			}
			e.reply <- result{}
			break
		}
		Expect(answerOf(leaving).Code).To(Equal(200))
		Expect(b.service.caller.current).To(BeNil())
	})
})

var _ = DescribeTable("a session is certain to be with a heartbeat's runner",
	func(clockMs int64, arrived time.Duration, certain bool) {
		linked := time.Unix(1000, 0)
		s := &session{linkedAt: linked, linkClock: 50_000}
		Expect(s.confirm(clockMs, linked.Add(arrived))).To(Equal(certain))
	},
	Entry("just before", int64(49_998), -2*time.Millisecond, true),
	Entry("later, by the same clock", int64(51_480), 1500*time.Millisecond, true),
	Entry("long before", int64(49_000), -time.Second, false),
	Entry("that was long under way", int64(49_000), time.Millisecond, false),
	Entry("by another clock", int64(482_113), time.Millisecond, false),
)

var _ = Describe("a picture", func() {
	now := time.Unix(1000, 0)
	run := runName{"a.0.0.1", 1}

	DescribeTable("keeps a run that was started until a later look",
		func(lookMs int64, kept bool) {
			p := newPicture()
			p.start(run, 500, now)
			p.look(&look{clockMs: lookMs}, now)
			Expect(len(p.active()) == 1).To(Equal(kept))
		},
		Entry("an earlier one", int64(400), true),
		Entry("one of the same moment", int64(500), true),
		Entry("a later one", int64(501), false),
	)

	It("never takes the runner's clock to be later than it is", func() {
		p := newPicture()
		p.look(&look{clockMs: 1000}, now)
		slow := int64(1000 + 0.98*2000)
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically("<", slow))
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically(">", 1000))
		p.start(run, 900, now.Add(time.Second))
		Expect(p.clock(now)).To(Equal(int64(1000)))
	})
})

var _ = Describe("a loop", func() {
	It("has its runner's heartbeat from its start", func() {
		b := newCalledBed()
		defer b.close()
		request := &protocol.HeartbeatRequest{Shard: 1, Heartbeat: protocol.Heartbeat{Instance: instance, Sequence: 4}}
		l, err := b.service.caller.loopFor(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		known, _ := l.registration.get()
		Expect(known).To(Equal(request))
	})
})
