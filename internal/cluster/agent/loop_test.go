package agent

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// leaseOrders returns orders that grant a lease, and have no start or stop.
func leaseOrders() protocol.Orders {
	return protocol.Orders{HoldMs: 4000, FenceToken: 7, RetryDelayMs: 40}
}

// startOrders returns orders that grant a lease and start run 1 of each task.
func startOrders(tasks ...string) protocol.Orders {
	orders := leaseOrders()
	for _, task := range tasks {
		orders.Start = append(orders.Start, protocol.StartOrder{Task: task, Run: 1, Spec: "do", Saved: "0b"})
	}
	return orders
}

// firstRun is the run that most tests start.
var firstRun = protocol.ActiveRun{Task: "a.0.0.1", Run: 1}

var _ = Describe("a runner that is called", func() {
	var b *calledFixture
	BeforeEach(func() {
		b = newCalledFixture()
		DeferCleanup(func() { b.close() })
	})

	It("is first polled without a lease, and reported to the owner as if it had sent a complete heartbeat", func() {
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
		Expect(answered).NotTo(Receive(), "the owner has not acknowledged the report yet")
		e.reply <- result{orders: leaseOrders()}
		w := responseOf(answered)
		Expect(w.Code).To(Equal(200))
		Expect(w.Body.String()).To(MatchJSON(`{}`))
	})

	It("is called for stops before starts, under a lease that begins before the report to the owner", func() {
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
			Expect(b.runner.next(pathLease).DeadlineMs).To(BeZero(), "the owner has granted no lease yet")
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
		Expect(e.heartbeat.Active).To(ConsistOf(firstRun, running), "a started run is reported before a poll shows it")
		Expect(e.heartbeat.Sequence).To(Equal(uint64(4<<sequenceBits | 2)))
		e.reply <- result{orders: leaseOrders()}
		e = b.nextExchange()
		e.reply <- result{orders: leaseOrders()}
		Expect(b.runner.next(pathLease)).To(Equal(receivedCall{Path: pathLease, DeadlineMs: e.heartbeat.ClockMs + orders.HoldMs,
			FenceToken: 7, LastSeen: 3, WaitMs: maxPollWait.Milliseconds()}))
	})

	It("has an end reported without delay, and in each report until the owner has acknowledged it", func() {
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

	It("is sent a stop for a run after it has rejected the start, and the run is reported as rejected", func() {
		b.runner.rejectReason = "room"
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: startOrders("a.0.0.1")}
		e := b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool {
			if len(heartbeat.Rejected) == 0 {
				Expect(heartbeat.Active).To(ConsistOf(firstRun), "its capacity stays reserved until a poll after the stop does not show the run")
			}
			return len(heartbeat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{"a.0.0.1", 1}))
		Expect(e.heartbeat.Rejected).To(ConsistOf(firstRun))
		Expect(e.heartbeat.Active).To(BeEmpty())
		e.reply <- result{orders: leaseOrders()}
		Expect(b.nextExchange().heartbeat.Rejected).To(BeEmpty())
	})

	It("is sent a stop for a run that an earlier agent may have started, and the run is reported as rejected", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		orders := leaseOrders()
		orders.Stop = []protocol.StopOrder{{Task: firstRun.Task, Run: firstRun.Run}}
		b.nextExchange().reply <- result{orders: orders}
		e := b.nextExchangeWhere(leaseOrders(), func(heartbeat *protocol.Heartbeat) bool {
			if len(heartbeat.Rejected) == 0 {
				Expect(heartbeat.Active).To(ConsistOf(firstRun), "its start may still be on the network until a poll after the stop does not show the run")
			}
			return len(heartbeat.Rejected) > 0
		})
		Expect(b.runner.stopped).To(HaveKey(runName{firstRun.Task, firstRun.Run}))
		Expect(e.heartbeat.Rejected).To(ConsistOf(firstRun))
		Expect(e.heartbeat.Active).To(BeEmpty())
	})

	It("is sent no stop for a start that it has rejected for the fencing token", func() {
		b.runner.rejectReason = reasonFence
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: startOrders("a.0.0.1")}
		e := b.nextExchange()
		Expect(e.heartbeat.Active).To(BeEmpty())
		Expect(e.heartbeat.Rejected).To(BeEmpty())
		Expect(b.runner.stopped).To(BeEmpty())
	})

	DescribeTable("that doesn't respond to a start before its connection breaks",
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
		Entry("has the run reported as active until it was stopped, if it has not started the run", false),
		Entry("keeps the run, if a poll shows that it has started the run", true),
	)

	It("gets no start of an exchange that began maxOrderAge ago", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		e := b.nextExchange()
		b.runner.set(func() { b.runner.onStart = func() { b.clock.Advance(maxOrderAge) } })
		e.reply <- result{orders: startOrders("a.0.0.1", "a.0.0.2")}
		Expect(b.runner.next(pathStart).Task).To(Equal("a.0.0.1"))
		Expect(b.nextExchange().heartbeat.Active).To(ConsistOf(firstRun))
	})

	It("gets no orders of a former owner, which has a lower fencing token", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		old := startOrders("a.0.0.1")
		old.FenceToken = 6
		b.nextExchange().reply <- result{orders: old}
		Expect(b.nextExchange().heartbeat.Active).To(BeEmpty())
	})

	It("gets the response to a heartbeat that says it is draining only after the owner has received that", func() {
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

	It("has its heartbeat rejected if no owner responds", func() {
		answered := b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange()
		b.clock.Advance(exchangeTimeout)
		Expect(responseOf(answered).Code).To(Equal(503))
	})

	It("is not called again with a fencing token that it has refused", func() {
		b.runner.fence = 7
		b.sendHeartbeat(instance, 1, protocol.RunnerReady)
		Expect(b.runner.next(pathLease).FenceToken).To(BeZero())
		for range 8 { // the owner cannot be reached; after that a former owner responds
			b.nextExchange().reply <- result{err: failure.New(failure.Unavailable, "no owner")}
		}
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 0}}
		Expect(b.runner.calls).To(BeEmpty())
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(b.runner.next(pathLease).FenceToken).To(Equal(uint64(8)))
	})

	It("is polled with the owner's current fencing token after the agent's restart, and reported with higher sequences", func() {
		b.runner.fence = 7
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		fence := b.nextExchange()
		Expect(*fence.heartbeat).To(Equal(protocol.Heartbeat{Instance: instance, Service: "huvo11a", FenceOnly: true}))
		fence.reply <- result{orders: protocol.Orders{FenceToken: 8}}
		before := b.nextExchange().heartbeat.Sequence
		Expect(b.runner.fence).To(Equal(uint64(8)))
		b.service.Close()
		b.service = NewService(Options{Owners: b.owners, Service: "huvo11a", Clock: b.clock, CallsRunner: true, RunnerAddress: b.runner.address()})
		b.sendHeartbeat(instance, 5, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(b.nextExchange().heartbeat.Sequence).To(BeNumerically(">", before))
	})

	It("is not called any more once a later incarnation has replaced it, which is reported in its place", func() {
		b.sendHeartbeat(instance, 4, protocol.RunnerReady)
		b.nextExchange().reply <- result{orders: leaseOrders()}
		b.runner.next(pathLease)
		b.clock.Advance(time.Second)
		b.runner = b.runner.restart()
		for range 20 {
			b.clock.Advance(50 * time.Millisecond)
			select {
			case e := <-b.owners.attempts: // of the ended incarnation, sent before its connections broke
				e.reply <- result{orders: leaseOrders()}
			default:
			}
		}
		e, next := b.awaitReport("i-next", leaseOrders())
		e.reply <- result{orders: leaseOrders()}
		Expect(responseOf(next).Code).To(Equal(200))
		Expect(responseOf(b.sendHeartbeat(instance, 9, protocol.RunnerReady)).Code).To(Equal(410), "the incarnation has ended")
	})

	It("is not replaced by a delayed heartbeat of an earlier incarnation that the agent doesn't know", func() {
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

	It("is not called any more once it has deregistered", func() {
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

var _ = DescribeTable("a session is confirmed by a heartbeat if it proves that its sender answers in the session",
	func(clockMs int64, arrived time.Duration, certain bool) {
		linked := time.Unix(1000, 0)
		s := &session{clockReadAt: linked, clockReadMs: 50_000}
		Expect(s.confirm(clockMs, linked.Add(arrived))).To(Equal(certain))
	},
	Entry("a heartbeat from just before the session", int64(49_998), -2*time.Millisecond, true),
	Entry("a later heartbeat with the same clock", int64(51_480), 1500*time.Millisecond, true),
	Entry("a heartbeat from long before the session", int64(49_000), -time.Second, false),
	Entry("a heartbeat that was delayed on the network", int64(49_000), time.Millisecond, false),
	Entry("a heartbeat with another clock", int64(482_113), time.Millisecond, false),
)

var _ = Describe("a runner's snapshot", func() {
	now := time.Unix(1000, 0)
	run := runName{"a.0.0.1", 1}

	DescribeTable("keeps a started run until a poll that the runner answered after the start",
		func(pollMs int64, want bool) {
			p := newRunnerSnapshot()
			p.addStarted(run, 500, now)
			p.update(&pollResponse{clockMs: pollMs}, now)
			Expect(len(p.active()) == 1).To(Equal(want))
		},
		Entry("a poll answered before the start", int64(400), true),
		Entry("a poll answered in the same millisecond", int64(500), true),
		Entry("a poll answered after the start", int64(501), false),
	)

	It("never returns a later time than the runner's clock, which may be 2% slow", func() {
		p := newRunnerSnapshot()
		p.update(&pollResponse{clockMs: 1000}, now)
		slow := int64(1000 + 0.98*2000)
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically("<", slow))
		Expect(p.clock(now.Add(2 * time.Second))).To(BeNumerically(">", 1000))
		p.addStarted(run, 900, now.Add(time.Second))
		Expect(p.clock(now)).To(Equal(int64(1000)))
	})
})

var _ = Describe("a new loop", func() {
	It("has its runner's heartbeat before its goroutine begins", func() {
		b := newCalledFixture()
		defer b.close()
		request := &protocol.HeartbeatRequest{Shard: 1, Heartbeat: protocol.Heartbeat{Instance: instance, Sequence: 4}}
		l, err := b.service.supervisor.loopFor(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		known, _ := l.registration.get()
		Expect(known).To(Equal(request))
	})
})
