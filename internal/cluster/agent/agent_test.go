package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

const instance = "i-7f3a91c2"

// attempt is one call of an owner. The test answers it by a result on reply.
type attempt struct {
	ctx        context.Context
	heartbeat  *protocol.Heartbeat         // nil: a deregistration
	deregister *protocol.DeregisterRequest // nil: a heartbeat
	reply      chan result
}

// result is the outcome of an attempt. The orders count for heartbeats only.
type result struct {
	orders protocol.Orders
	err    error
}

// fakeOwners passes each attempt to the test. An attempt ends with the test's reply or with its ctx.
type fakeOwners struct {
	mutex     sync.Mutex
	owner     string // address, the same for all shards
	refreshes int    // calls of Refresh
	attempts  chan *attempt
}

func (o *fakeOwners) Owner(protocol.ShardID) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.owner
}

func (o *fakeOwners) setOwner(address string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.owner = address
}

func (o *fakeOwners) Refresh() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.refreshes++
}

func (o *fakeOwners) refreshed() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.refreshes
}

// await passes an attempt to the test and waits for the result.
func (o *fakeOwners) await(e *attempt) result {
	e.reply = make(chan result, 1)
	o.attempts <- e
	select {
	case r := <-e.reply:
		return r
	case <-e.ctx.Done():
		return result{err: failure.New(failure.UnknownOutcome, "no response in time")}
	}
}

func (o *fakeOwners) Heartbeat(ctx context.Context, r *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error) {
	Expect(r.Shard).To(Equal(protocol.ShardOf(r.Heartbeat.Service)))
	got := o.await(&attempt{ctx: ctx, heartbeat: &r.Heartbeat})
	return &protocol.HeartbeatResponse{Orders: got.orders}, got.err
}

func (o *fakeOwners) Deregister(ctx context.Context, r *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error) {
	got := o.await(&attempt{ctx: ctx, deregister: r})
	return &protocol.DeregisterResponse{}, got.err
}

// fixture is a Service with a fake clock and fake owners.
type fixture struct {
	owners  *fakeOwners
	clock   *clockwork.FakeClock
	service *Service
}

// newFixture returns a fixture for an agent. service is the runner's service in the agent's settings; empty: unknown.
func newFixture(service string) *fixture {
	b := &fixture{owners: &fakeOwners{owner: "10.0.0.1:7380", attempts: make(chan *attempt, 10)}, clock: clockwork.NewFakeClock()}
	b.service = NewService(Options{Owners: b.owners, Service: service, Clock: b.clock})
	return b
}

// heartbeatRequest returns a heartbeat with one active and one finished run, and a field that is unknown to the agent.
func heartbeatRequest(instance string, sequence int) *http.Request {
	body := fmt.Sprintf(`{"service":"huvo11a","state":"ready","sequence":%d,"unknown":[1,{}],`+
		`"active":[["a.0.1.17",2,"0b",41]],"finished":[[58,"a.0.1.9",1,"done",""]]}`, sequence)
	return post(instance, "heartbeat", body)
}

// post returns a runner's request.
func post(instance, verb, body string) *http.Request {
	return httptest.NewRequestWithContext(context.Background(), "POST", "/v1/instances/"+instance+"/"+verb, strings.NewReader(body))
}

// serve serves r in a goroutine and sends the response to the returned channel.
func (b *fixture) serve(r *http.Request) <-chan *httptest.ResponseRecorder {
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		defer GinkgoRecover()
		w := httptest.NewRecorder()
		b.service.ServeHTTP(w, r)
		answered <- w
	}()
	return answered
}

// nextAttempt waits for the next call of an owner and returns it.
func (b *fixture) nextAttempt() *attempt {
	GinkgoHelper()
	var e *attempt
	Eventually(b.owners.attempts).Should(Receive(&e))
	return e
}

// awaitTimers waits until the fake clock has the timers of an attempt, or the timers of the pause after an attempt.
func (b *fixture) awaitTimers() {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(b.clock.BlockUntilContext(ctx, timersPerAttempt)).To(Succeed())
}

// responseOf waits for a response and returns it.
func responseOf(answered <-chan *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	GinkgoHelper()
	var w *httptest.ResponseRecorder
	Eventually(answered).Should(Receive(&w))
	return w
}

// timersPerAttempt is the number of timers during an attempt: the exchange's timeout and the check for a successor.
// During the pause after an attempt there are as many: the exchange's timeout and the retry interval.
const timersPerAttempt = 2

var _ = Describe("heartbeats", func() {
	It("reach the owner of the service's shard, and are answered with the owner's orders", func() {
		b := newFixture("")
		answered := b.serve(heartbeatRequest(instance, 4))
		e := b.nextAttempt()
		Expect(*e.heartbeat).To(Equal(protocol.Heartbeat{
			Instance: instance, Service: "huvo11a", State: "ready", Sequence: 4,
			Active:   []protocol.ActiveRun{{Task: "a.0.1.17", Run: 2, Saved: "0b", Percent: 41}},
			Finished: []protocol.FinishedRun{{N: 58, Task: "a.0.1.9", Run: 1, How: "done"}},
		}))
		e.reply <- result{orders: protocol.Orders{HoldMs: 4000, LastSeen: 58, FenceToken: 7, RetryDelayMs: 200,
			Start: []protocol.StartOrder{{Task: "a.0.1.18", Run: 1, Spec: `a "text"`}},
			Stop:  []protocol.StopOrder{{Task: "a.0.1.17", Run: 2}}}}
		w := responseOf(answered)
		Expect(w.Code).To(Equal(200))
		Expect(w.Header().Get("Content-Type")).To(Equal("application/json"))
		Expect(w.Body.String()).To(MatchJSON(`{"holdMs":4000,"lastSeen":58,"fenceToken":7,"retryDelayMs":200,
			"start":[["a.0.1.18",1,"a \"text\"",""]],"stop":[["a.0.1.17",2]]}`))
	})

	DescribeTable("that are invalid are rejected without a call of the owner",
		func(r *http.Request, status int) {
			b := newFixture("")
			Expect(responseOf(b.serve(r)).Code).To(Equal(status))
			Expect(b.owners.attempts).NotTo(Receive())
		},
		Entry("a body that is not JSON", post(instance, "heartbeat", `{"service":`), 400),
		Entry("a field of another type", post(instance, "heartbeat", `{"service":"x","active":[[1]]}`), 400),
		Entry("no service", post(instance, "heartbeat", `{}`), 400),
		Entry("an unknown verb", post(instance, "hello", `{}`), 404),
		Entry("no instance", post("", "heartbeat", `{}`), 404),
		Entry("another path", httptest.NewRequestWithContext(context.Background(), "POST", "/v1/configuration/read", nil), 404),
		Entry("another method", httptest.NewRequestWithContext(context.Background(), "GET", "/v1/instances/i/heartbeat", nil), 405),
		Entry("a body above the limit", post(instance, "heartbeat", `{"service":"`+strings.Repeat("x", maxBodyBytes)+`"}`), 413),
	)

	It("that don't arrive completely are answered with 503, so that the runner repeats them", func() {
		b := newFixture("")
		r := post(instance, "heartbeat", "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(`{"service":`), iotest.ErrReader(io.ErrUnexpectedEOF)))
		r.ContentLength = 100
		Expect(responseOf(b.serve(r)).Code).To(Equal(503))
		Expect(b.owners.attempts).NotTo(Receive())
	})

	DescribeTable("that the owner rejects are not retried",
		func(k failure.Kind, status int) {
			b := newFixture("")
			answered := b.serve(heartbeatRequest(instance, 1))
			b.nextAttempt().reply <- result{err: failure.New(k, "as scripted")}
			Expect(responseOf(answered).Code).To(Equal(status))
		},
		Entry("invalid", failure.Invalid, 400),
		Entry("overloaded", failure.Overloaded, 429),
		Entry("an incarnation that has ended", failure.Gone, 410),
		Entry("a repeated heartbeat", failure.Conflict, 503),
	)

	DescribeTable("are retried after an error that doesn't come from the shard's owner",
		func(k failure.Kind) {
			b := newFixture("")
			answered := b.serve(heartbeatRequest(instance, 1))
			b.nextAttempt().reply <- result{err: failure.New(k, "as scripted")}
			Eventually(b.owners.refreshed).Should(Equal(1))
			b.awaitTimers()
			b.clock.Advance(attemptRetryInterval)
			b.nextAttempt().reply <- result{orders: protocol.Orders{FenceToken: 8}}
			w := responseOf(answered)
			Expect(w.Code).To(Equal(200))
			Expect(w.Body.String()).To(MatchJSON(`{"fenceToken":8}`))
		},
		Entry("not the leader", failure.NotLeader),
		Entry("unavailable", failure.Unavailable),
		Entry("an unknown outcome", failure.UnknownOutcome),
	)

	It("are sent to the successor of an unresponsive owner, and only the successor's response counts", func() {
		b := newFixture("")
		answered := b.serve(heartbeatRequest(instance, 1))
		old := b.nextAttempt()
		b.awaitTimers()
		b.owners.setOwner("10.0.0.2:7380")
		b.clock.Advance(successorCheckDelay)
		Eventually(old.ctx.Done()).Should(BeClosed())
		old.reply <- result{orders: protocol.Orders{FenceToken: 7}} // too late
		Eventually(b.owners.refreshed).Should(Equal(2))             // after successorCheckDelay, and after the attempt
		b.awaitTimers()
		b.clock.Advance(attemptRetryInterval)
		b.nextAttempt().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(responseOf(answered).Body.String()).To(MatchJSON(`{"fenceToken":8}`))
	})

	It("are not retried while a slow owner has no successor", func() {
		b := newFixture("")
		answered := b.serve(heartbeatRequest(instance, 1))
		slow := b.nextAttempt()
		for waited := time.Duration(0); waited < 600*time.Millisecond; waited += successorPollInterval {
			b.awaitTimers()
			b.clock.Advance(successorPollInterval)
		}
		Expect(slow.ctx.Done()).NotTo(BeClosed())
		Expect(b.owners.attempts).NotTo(Receive())
		slow.reply <- result{orders: protocol.Orders{FenceToken: 7}}
		Expect(responseOf(answered).Code).To(Equal(200))
	})

	It("are rejected before the runner's own timeout when no owner responds", func() {
		b := newFixture("")
		answered := b.serve(heartbeatRequest(instance, 1))
		b.nextAttempt()
		b.awaitTimers()
		b.clock.Advance(exchangeTimeout)
		w := responseOf(answered)
		Expect(w.Code).To(Equal(503))
		Expect(exchangeTimeout).To(BeNumerically("<", 950*time.Millisecond))
	})

	It("are rejected without a pause when there is no time for another attempt", func() {
		b := newFixture("")
		answered := b.serve(heartbeatRequest(instance, 1))
		e := b.nextAttempt()
		b.awaitTimers()
		b.clock.Advance(exchangeTimeout - attemptRetryInterval - minAttemptTime + time.Millisecond)
		e.reply <- result{err: failure.New(failure.NotLeader, "as scripted")}
		Expect(responseOf(answered).Code).To(Equal(503))
		Expect(b.owners.attempts).NotTo(Receive())
	})
})

var _ = Describe("the tracker of heartbeats", func() {
	It("cancels the older one of two heartbeats of an instance", func() {
		b := newFixture("")
		first := b.serve(heartbeatRequest(instance, 1))
		older := b.nextAttempt()
		second := b.serve(heartbeatRequest(instance, 2))
		newer := b.nextAttempt()
		Eventually(older.ctx.Done()).Should(BeClosed())
		Expect(responseOf(first).Code).To(Equal(503))
		older.reply <- result{orders: protocol.Orders{FenceToken: 7}} // too late
		newer.reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(responseOf(second).Body.String()).To(MatchJSON(`{"fenceToken":8}`))
		Expect(b.service.tracker.inFlight).To(BeEmpty())
	})

	It("rejects a heartbeat that arrives after a newer one", func() {
		b := newFixture("")
		second := b.serve(heartbeatRequest(instance, 2))
		newer := b.nextAttempt()
		Expect(responseOf(b.serve(heartbeatRequest(instance, 1))).Code).To(Equal(503))
		newer.reply <- result{}
		Expect(responseOf(second).Code).To(Equal(200))
	})

	It("rejects a heartbeat that arrives after the response to a newer one, also if the shard has another owner by then", func() {
		b := newFixture("")
		second := b.serve(heartbeatRequest(instance, 2))
		b.nextAttempt().reply <- result{}
		Expect(responseOf(second).Code).To(Equal(200))
		b.owners.setOwner("10.0.0.2:7380")
		Expect(responseOf(b.serve(heartbeatRequest(instance, 1))).Code).To(Equal(503))
		Expect(b.owners.attempts).To(BeEmpty())
	})

	It("has records of at most maxTrackedInstances instances", func() {
		b := newFixture("")
		for i := range 3 * maxTrackedInstances {
			answered := b.serve(heartbeatRequest(fmt.Sprintf("i-%d", i), 1))
			b.nextAttempt().reply <- result{}
			Expect(responseOf(answered).Code).To(Equal(200))
		}
		Expect(b.service.tracker.instances).To(HaveLen(maxTrackedInstances))
	})

	It("does not mix the responses to two instances", func() {
		b := newFixture("")
		first := b.serve(heartbeatRequest("i-1", 9))
		one := b.nextAttempt()
		second := b.serve(heartbeatRequest("i-2", 1))
		two := b.nextAttempt()
		two.reply <- result{orders: protocol.Orders{LastSeen: 2}}
		one.reply <- result{orders: protocol.Orders{LastSeen: 1}}
		Expect(responseOf(first).Body.String()).To(MatchJSON(`{"lastSeen":1}`))
		Expect(responseOf(second).Body.String()).To(MatchJSON(`{"lastSeen":2}`))
	})
})

var _ = Describe("deregistrations", func() {
	DescribeTable("are sent to the owners of the shards that may know the runner",
		func(configured, body string, shards ...protocol.ShardID) {
			b := newFixture(configured)
			answered := b.serve(post(instance, "deregister", body))
			for _, shard := range shards {
				e := b.nextAttempt()
				Expect(e.deregister.Shard).To(Equal(shard))
				Expect(e.deregister.Instance).To(Equal(instance))
				e.reply <- result{}
			}
			Expect(responseOf(answered).Code).To(Equal(200))
			Expect(b.owners.attempts).NotTo(Receive())
		},
		Entry("the shard of the service in the settings", "huvo11a", "", protocol.ShardOf("huvo11a")),
		Entry("the shard of the service that the request names", "huvo11a", `{"service":"wuno96b"}`, protocol.ShardOf("wuno96b")),
		Entry("all shards if the service is unknown", "", "", protocol.ShardID(1), protocol.ShardID(2), protocol.ShardID(3), protocol.ShardID(4)),
	)

	It("make each later heartbeat of the instance report a draining runner, whichever owner it reaches", func() {
		b := newFixture("huvo11a")
		leaving := b.serve(post(instance, "deregister", ""))
		b.nextAttempt().reply <- result{}
		Expect(responseOf(leaving).Code).To(Equal(200))
		b.serve(heartbeatRequest(instance, 5))
		Expect(b.nextAttempt().heartbeat.State).To(Equal(protocol.RunnerDraining))
		b.serve(heartbeatRequest("i-next", 1))
		Expect(b.nextAttempt().heartbeat.State).To(Equal(protocol.RunnerReady))
	})

	It("are not acknowledged before the owner has responded", func() {
		b := newFixture("huvo11a")
		answered := b.serve(post(instance, "deregister", ""))
		b.nextAttempt()
		b.awaitTimers()
		b.clock.Advance(exchangeTimeout)
		Expect(responseOf(answered).Code).To(Equal(503))
	})
})
