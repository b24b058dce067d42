package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// leaseOrders returns orders that grant a lease and nothing else.
func leaseOrders() protocol.Orders {
	return protocol.Orders{HoldMs: 4000, FenceToken: 7, RetryDelayMs: 40}
}

// startOrders returns orders that grant a lease and start the first run of each task.
func startOrders(tasks ...string) protocol.Orders {
	orders := leaseOrders()
	for _, task := range tasks {
		orders.Start = append(orders.Start, protocol.StartOrder{Task: task, Run: 1, Spec: "do", Saved: "0b"})
	}
	return orders
}

var firstRun = protocol.ActiveRun{Task: "a.0.0.1", Run: 1}

var _ = Describe("a runner that is called", func() {
	var b *calledFixture
	BeforeEach(func() {
		b = newCalledFixture()
		DeferCleanup(func() { b.close() })
	})

	It("is polled without a lease, and reported as if it had sent a heartbeat", func() {
		b.runner.finished = []protocol.FinishedRun{{N: 3, Task: "a.0.0.9", Run: 2, How: protocol.EndDone}}
		b.runner.active = []protocol.ActiveRun{{Task: "a.0.0.8", Run: 2, Saved: "0c", Percent: 40}}
		answered := b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		e := b.nextExchange()
		Expect(b.runner.next(pathLease)).To(Equal(receivedCall{Path: pathLease}))
		Expect(e.heartbeat.ClockMs).To(And(BeNumerically(">=", b.runner.origin), BeNumerically("<=", b.runner.clockMs())))
		Expect(*e.heartbeat).To(Equal(protocol.Heartbeat{
			Instance: instance, Service: "huvo11a", Address: "10.0.0.9:1", State: protocol.RunnerReady,
			Sequence: 4<<sequenceBits | 1, ClockMs: e.heartbeat.ClockMs,
			Active: b.runner.active, Finished: b.runner.finished, Called: true,
		}))
		Expect(answered).NotTo(Receive(), "the owner doesn't have it yet")
		e.reply <- result{orders: leaseOrders()}
		w := responseOf(answered)
		Expect(w.Code).To(Equal(200))
		Expect(w.Body.String()).To(MatchJSON(`{}`))
	})

	It("carries out orders, stops first, under a lease from before the report to the owner", func() {
		running := protocol.ActiveRun{Task: "a.0.0.2", Run: 5}
		b.runner.active = []protocol.ActiveRun{running}
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		e := b.nextExchange()
		orders := startOrders("a.0.0.1")
		orders.Stop = []protocol.StopOrder{{Task: "a.0.0.2", Run: 5}}
		orders.LastSeen = 3
		e.reply <- result{orders: orders}
		deadline := e.heartbeat.ClockMs + orders.HoldMs
		for range 2 {
			Expect(b.runner.next(pathLease).DeadlineMs).To(BeZero(), "nothing is granted yet")
		}
		var calls []receivedCall
		for range 2 {
			var call receivedCall
			Eventually(b.runner.calls).Should(Receive(&call))
			calls = append(calls, call)
		}
		Expect(calls).To(HaveExactElements(
			receivedCall{Path: pathStop, Task: "a.0.0.2", RunID: 5, FenceToken: 7},
			receivedCall{Path: pathStart, Task: "a.0.0.1", RunID: 1, Spec: "do", Saved: "0b", DeadlineMs: deadline, FenceToken: 7},
		))
		e = b.nextExchange()
		Expect(e.heartbeat.Active).To(ConsistOf(firstRun, running), "a started run is known before a poll shows it")
		Expect(e.heartbeat.Sequence).To(Equal(uint64(4<<sequenceBits | 2)))
		e.reply <- result{orders: leaseOrders()}
		e = b.nextExchange()
		e.reply <- result{orders: leaseOrders()}
		Expect(b.runner.next(pathLease)).To(Equal(receivedCall{Path: pathLease, DeadlineMs: e.heartbeat.ClockMs + orders.HoldMs,
			FenceToken: 7, LastSeen: 3, WaitMs: maxPollWait.Milliseconds()}))
	})

	It("reports an end at once, until the owner has acknowledged it", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		ended := protocol.FinishedRun{N: 1, Task: "a.0.0.1", Run: 1, How: protocol.EndDone}
		b.runner.set(func() { b.runner.finished = []protocol.FinishedRun{ended} })
		b.runner.nudges <- struct{}{}
		has := func(heartbeat *protocol.Heartbeat) bool { return len(heartbeat.Finished) > 0 }
		b.nextExchangeWhere(leaseOrders(), has).reply <- result{orders: leaseOrders()}
		e := b.nextExchange()
		Expect(e.heartbeat.Finished).To(ConsistOf(ended))
		acknowledged := leaseOrders()
		acknowledged.LastSeen = 1
		e.reply <- result{orders: acknowledged}
		Expect(b.nextExchange().heartbeat.Finished).To(BeEmpty())
	})

	It("that rejects a start is made to reject it for good, which is reported to the owner", func() {
		b.runner.rejectReason = "room"
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: startOrders("a.0.0.1")}
		e := b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool {
			if len(heartbeat.Rejected) == 0 {
				Expect(heartbeat.Active).To(ConsistOf(firstRun), "its capacity is reserved until a later poll does not show it")
			}
			return len(heartbeat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{"a.0.0.1", 1}))
		Expect(e.heartbeat.Rejected).To(ConsistOf(firstRun))
		Expect(e.heartbeat.Active).To(BeEmpty())
		e.reply <- result{orders: leaseOrders()}
		Expect(b.nextExchange().heartbeat.Rejected).To(BeEmpty())
	})

	It("is made to reject for good what an earlier agent may have sent", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		orders := leaseOrders()
		orders.Stop = []protocol.StopOrder{{Task: firstRun.Task, Run: firstRun.Run}}
		b.nextExchange().reply <- result{orders: orders}
		e := b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool {
			if len(heartbeat.Rejected) == 0 {
				Expect(heartbeat.Active).To(ConsistOf(firstRun), "it may be on its way until a poll after the stop does not show it")
			}
			return len(heartbeat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{firstRun.Task, firstRun.Run}))
		Expect(e.heartbeat.Rejected).To(ConsistOf(firstRun))
		Expect(e.heartbeat.Active).To(BeEmpty())
	})

	It("that has a newer owner is not made to reject anything", func() {
		b.runner.rejectReason = reasonFence
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: startOrders("a.0.0.1")}
		e := b.nextExchange()
		Expect(e.heartbeat.Active).To(BeEmpty())
		Expect(e.heartbeat.Rejected).To(BeEmpty())
		Expect(b.runner.stopped).To(BeEmpty())
	})

	DescribeTable("whose start of a run is unconfirmed",
		func(started bool) {
			b.sendHeartbeat(instance, 4, protocol.RunnerReady)
			e := b.nextExchange()
			b.runner.set(func() {
				b.runner.abortNextStart = true
				b.runner.onStart = func() {
					if started {
						b.runner.active = append(b.runner.active, firstRun)
					}
				}
			})
			e.reply <- result{orders: startOrders("a.0.0.1")}
			b.runner.next(pathStart)
			b.clock.Advance(time.Second)
			answered := b.sendHeartbeat(instance, 5, protocol.RunnerReady)
			e = b.nextExchange()
			Expect(e.heartbeat.Active).To(ConsistOf(firstRun))
			e.reply <- result{orders: leaseOrders()}
			Expect(responseOf(answered).Code).To(Equal(200))
			if started {
				for range 5 {
					e := b.nextExchange()
					Expect(e.heartbeat.Active).To(ConsistOf(firstRun))
					e.reply <- result{orders: leaseOrders()}
				}
				Expect(b.runner.stopped).To(BeEmpty())
				return
			}
			e = b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool { return len(heartbeat.Active) == 0 })
			Expect(e.heartbeat.Rejected).To(ConsistOf(firstRun))
			Expect(b.runner.stopped).To(HaveKey(runName{"a.0.0.1", 1}))
		},
		Entry("reserves its capacity until it was stopped", false),
		Entry("is believed when a poll shows it", true),
	)

	It("gets no start that has become too old", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		e := b.nextExchange()
		b.runner.set(func() { b.runner.onStart = func() { b.clock.Advance(maxOrderAge) } })
		e.reply <- result{orders: startOrders("a.0.0.1", "a.0.0.2")}
		Expect(b.runner.next(pathStart).Task).To(Equal("a.0.0.1"))
		Expect(b.nextExchange().heartbeat.Active).To(ConsistOf(firstRun))
	})

	It("does not get the orders of a former owner", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		old := startOrders("a.0.0.1")
		old.FenceToken = 6
		b.nextExchange().reply <- result{orders: old}
		Expect(b.nextExchange().heartbeat.Active).To(BeEmpty())
	})

	It("gets its draining acknowledged only once the owner knows it", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		e := b.nextExchange()
		draining := b.sendHeartbeat(instance, 5, protocol.RunnerDraining)
		Expect(e.heartbeat.State).To(Equal(protocol.RunnerReady))
		e.reply <- result{orders: leaseOrders()}
		e = b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool { return heartbeat.State == protocol.RunnerDraining })
		Expect(draining).NotTo(Receive())
		e.reply <- result{orders: leaseOrders()}
		Expect(responseOf(draining).Code).To(Equal(200))
	})

	It("has its heartbeat rejected when no owner responds", func() {
		answered := b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange()
		b.clock.Advance(exchangeTimeout)
		Expect(responseOf(answered).Code).To(Equal(503))
	})

	It("is not called again with a fencing token that it has refused", func() {
		b.runner.fence = 7
		b.sendHeartbeat(instance, 1, protocol.RunnerReady)
		Expect(b.runner.next(pathLease).FenceToken).To(BeZero())
		for range 8 { // the owner cannot be reached, or is one that was replaced
			b.nextExchange().reply <- result{err: failure.New(failure.Unavailable, "no owner")}
		}
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 0}}
		Expect(b.runner.calls).To(BeEmpty())
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(b.runner.next(pathLease).FenceToken).To(Equal(uint64(8)))
	})

	It("is polled by the current fencing token, and reported with rising sequences, after the agent's restart", func() {
		b.runner.fence = 7
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		fence := b.nextExchange()
		Expect(*fence.heartbeat).To(Equal(protocol.Heartbeat{Instance: instance, Service: "huvo11a", FenceOnly: true}))
		fence.reply <- result{orders: protocol.Orders{FenceToken: 8}}
		before := b.nextExchange().heartbeat.Sequence
		Expect(b.runner.fence).To(Equal(uint64(8)))
		b.service.Close()
		b.service = NewService(Options{Owners: b.owners, Service: "huvo11a", Clock: b.clock, Calls: true, App: b.runner.address()})
		b.sendHeartbeat(instance, 5, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(b.nextExchange().heartbeat.Sequence).To(BeNumerically(">", before))
	})

	It("is not confused with the incarnation that has replaced it", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		b.runner.next(pathLease)
		b.clock.Advance(time.Second)
		b.runner = b.runner.restart()
		for range 20 {
			b.clock.Advance(50 * time.Millisecond)
			select {
			case e := <-b.owners.attempts: // what it was before the connection broke
				e.reply <- result{orders: leaseOrders()}
			default:
			}
		}
		e, next := b.awaitReport("i-next", leaseOrders())
		e.reply <- result{orders: leaseOrders()}
		Expect(responseOf(next).Code).To(Equal(200))
		Expect(responseOf(b.sendHeartbeat(instance, 9, protocol.RunnerReady)).Code).To(Equal(410), "it has ended")
	})

	It("is not replaced by a late heartbeat of an earlier incarnation that is unknown to the agent", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		Expect(responseOf(b.sendHeartbeat("i-before", 90, protocol.RunnerReady)).Code).To(Equal(503))
		e := b.nextExchange()
		Expect(e.heartbeat.Instance).To(Equal(instance))
		e.reply <- result{orders: leaseOrders()}
		next := b.sendHeartbeat(instance, 5, protocol.RunnerReady)
		b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool { return heartbeat.Sequence>>sequenceBits == 5 }).reply <- result{orders: leaseOrders()}
		Expect(responseOf(next).Code).To(Equal(200))
	})

	It("is no longer called once it has deregistered", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		leaving := b.serve(post(instance, "deregister", ""))
		for {
			e := b.nextExchange()
			if e.deregister == nil {
				e.reply <- result{orders: leaseOrders()}
				continue
			}
			e.reply <- result{}
			break
		}
		Expect(responseOf(leaving).Code).To(Equal(200))
		Expect(b.service.supervisor.current).To(BeNil())
	})
})

var _ = DescribeTable("a session is confirmed by a heartbeat",
	func(clockMs int64, arrived time.Duration, certain bool) {
		linked := time.Unix(1000, 0)
		s := &session{linkedAt: linked, linkClockMs: 50_000}
		Expect(s.confirm(clockMs, linked.Add(arrived))).To(Equal(certain))
	},
	Entry("just before", int64(49_998), -2*time.Millisecond, true),
	Entry("later, by the same clock", int64(51_480), 1500*time.Millisecond, true),
	Entry("long before", int64(49_000), -time.Second, false),
	Entry("delayed on the way", int64(49_000), time.Millisecond, false),
	Entry("by another clock", int64(482_113), time.Millisecond, false),
)

var _ = Describe("a runner's snapshot", func() {
	now := time.Unix(1000, 0)
	run := runName{"a.0.0.1", 1}

	DescribeTable("keeps a run that was started until a later poll",
		func(pollMs int64, want bool) {
			p := newRunnerSnapshot()
			p.addStarted(run, 500, now)
			p.update(&pollResponse{clockMs: pollMs}, now)
			Expect(len(p.active()) == 1).To(Equal(want))
		},
		Entry("an earlier one", int64(400), true),
		Entry("one of the same moment", int64(500), true),
		Entry("a later one", int64(501), false),
	)

	It("never overestimates the runner's clock", func() {
		p := newRunnerSnapshot()
		p.update(&pollResponse{clockMs: 1000}, now)
		slow := int64(1000 + 0.98*2000)
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically("<", slow))
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically(">", 1000))
		p.addStarted(run, 900, now.Add(time.Second))
		Expect(p.clock(now)).To(Equal(int64(1000)))
	})
})

var _ = Describe("a loop", func() {
	It("knows its runner's heartbeat from its start", func() {
		b := newCalledFixture()
		defer b.close()
		request := &protocol.HeartbeatRequest{Shard: 1, Heartbeat: protocol.Heartbeat{Instance: instance, Sequence: 4}}
		l, err := b.service.supervisor.loopFor(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		known, _ := l.registration.get()
		Expect(known).To(Equal(request))
	})
})
