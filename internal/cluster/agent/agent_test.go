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

// exchange is one attempt at an owner that a test answers.
type exchange struct {
	ctx     context.Context
	beat    *protocol.Heartbeat
	leaving *protocol.DeregisterRequest
	reply   chan result
}

type result struct {
	orders protocol.Orders
	err    error
}

// fakeOwners hands each attempt to the test. An attempt ends with the test's reply or with its ctx.
type fakeOwners struct {
	mutex     sync.Mutex
	owner     string
	refreshes int
	attempts  chan *exchange
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

func (o *fakeOwners) ask(e *exchange) result {
	e.reply = make(chan result, 1)
	o.attempts <- e
	select {
	case r := <-e.reply:
		return r
	case <-e.ctx.Done():
		return result{err: failure.New(failure.UnknownOutcome, "no answer in time")}
	}
}

func (o *fakeOwners) Heartbeat(ctx context.Context, r *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error) {
	Expect(r.Shard).To(Equal(protocol.ShardOf(r.Heartbeat.Service)))
	got := o.ask(&exchange{ctx: ctx, beat: &r.Heartbeat})
	return &protocol.HeartbeatResponse{Orders: got.orders}, got.err
}

func (o *fakeOwners) Deregister(ctx context.Context, r *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error) {
	got := o.ask(&exchange{ctx: ctx, leaving: r})
	return &protocol.DeregisterResponse{}, got.err
}

// bed is a Service with fakes around it.
type bed struct {
	owners  *fakeOwners
	clock   *clockwork.FakeClock
	service *Service
}

func newBed(service string) *bed {
	b := &bed{owners: &fakeOwners{owner: "10.0.0.1:7380", attempts: make(chan *exchange, 10)}, clock: clockwork.NewFakeClock()}
	b.service = NewService(Options{Owners: b.owners, Service: service, Clock: b.clock})
	return b
}

func beatOf(instance string, sequence int) *http.Request {
	body := fmt.Sprintf(`{"service":"huvo11a","state":"ready","sequence":%d,"unknown":[1,{}],`+
		`"active":[["a.0.1.17",2,"0b",41]],"finished":[[58,"a.0.1.9",1,"done",""]]}`, sequence)
	return post(instance, "heartbeat", body)
}

func post(instance, verb, body string) *http.Request {
	return httptest.NewRequest("POST", "/v1/instances/"+instance+"/"+verb, strings.NewReader(body))
}

// begin serves r aside; the channel brings the answer.
func (b *bed) begin(r *http.Request) <-chan *httptest.ResponseRecorder {
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		defer GinkgoRecover()
		w := httptest.NewRecorder()
		b.service.ServeHTTP(w, r)
		answered <- w
	}()
	return answered
}

// attempt returns the next attempt at an owner.
func (b *bed) attempt() *exchange {
	var e *exchange
	Eventually(b.owners.attempts).Should(Receive(&e))
	return e
}

// waiting returns once n waits stand on the clock.
func (b *bed) waiting(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(b.clock.BlockUntilContext(ctx, n)).To(Succeed())
}

func answerOf(answered <-chan *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	var w *httptest.ResponseRecorder
	Eventually(answered).Should(Receive(&w))
	return w
}

// beatWaits are the waits on the clock of one attempt, its exchange's end and its look for a successor, and as many of
// the pause after it: the exchange's end and the pause's.
const beatWaits = 2

var _ = Describe("heartbeats", func() {
	It("go to the owner of the service's shard, whose orders come back", func() {
		b := newBed("")
		answered := b.begin(beatOf(instance, 4))
		e := b.attempt()
		Expect(*e.beat).To(Equal(protocol.Heartbeat{
			Instance: instance, Service: "huvo11a", State: "ready", Sequence: 4,
			Active:   []protocol.ActiveRun{{Task: "a.0.1.17", Run: 2, Saved: "0b", Percent: 41}},
			Finished: []protocol.FinishedRun{{N: 58, Task: "a.0.1.9", Run: 1, How: "done"}},
		}))
		e.reply <- result{orders: protocol.Orders{HoldMs: 4000, LastSeen: 58, FenceToken: 7, RetryDelayMs: 200,
			Start: []protocol.StartOrder{{Task: "a.0.1.18", Run: 1, Spec: `a "text"`}},
			Stop:  []protocol.StopOrder{{Task: "a.0.1.17", Run: 2}}}}
		w := answerOf(answered)
		Expect(w.Code).To(Equal(200))
		Expect(w.Header().Get("Content-Type")).To(Equal("application/json"))
		Expect(w.Body.String()).To(MatchJSON(`{"holdMs":4000,"lastSeen":58,"fenceToken":7,"retryDelayMs":200,
			"start":[["a.0.1.18",1,"a \"text\"",""]],"stop":[["a.0.1.17",2]]}`))
	})

	DescribeTable("that can't be carried on are refused",
		func(r *http.Request, status int) {
			b := newBed("")
			Expect(answerOf(b.begin(r)).Code).To(Equal(status))
			Expect(b.owners.attempts).NotTo(Receive())
		},
		Entry("not JSON", post(instance, "heartbeat", `{"service":`), 400),
		Entry("another type", post(instance, "heartbeat", `{"service":"x","active":[[1]]}`), 400),
		Entry("no service", post(instance, "heartbeat", `{}`), 400),
		Entry("another verb", post(instance, "hello", `{}`), 404),
		Entry("no instance", post("", "heartbeat", `{}`), 404),
		Entry("another path", httptest.NewRequest("POST", "/v1/configuration/read", nil), 404),
		Entry("another method", httptest.NewRequest("GET", "/v1/instances/i/heartbeat", nil), 405),
		Entry("too large", post(instance, "heartbeat", `{"service":"`+strings.Repeat("x", maxBodyBytes)+`"}`), 413),
	)

	It("that do not arrive whole may come again", func() {
		b := newBed("")
		r := post(instance, "heartbeat", "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(`{"service":`), iotest.ErrReader(io.ErrUnexpectedEOF)))
		r.ContentLength = 100
		Expect(answerOf(b.begin(r)).Code).To(Equal(503))
		Expect(b.owners.attempts).NotTo(Receive())
	})

	DescribeTable("that the owner refuses for good are answered so at once",
		func(k failure.Kind, status int) {
			b := newBed("")
			answered := b.begin(beatOf(instance, 1))
			b.attempt().reply <- result{err: failure.New(k, "as scripted")}
			Expect(answerOf(answered).Code).To(Equal(status))
		},
		Entry("invalid", failure.Invalid, 400),
		Entry("overloaded", failure.Overloaded, 429),
		Entry("an incarnation that is over", failure.Gone, 410),
		Entry("had already", failure.Conflict, 503),
	)

	DescribeTable("are tried again at whoever owns the shard by then",
		func(k failure.Kind) {
			b := newBed("")
			answered := b.begin(beatOf(instance, 1))
			b.attempt().reply <- result{err: failure.New(k, "as scripted")}
			Eventually(b.owners.refreshed).Should(Equal(1))
			b.waiting(beatWaits)
			b.clock.Advance(attemptPause)
			b.attempt().reply <- result{orders: protocol.Orders{FenceToken: 8}}
			w := answerOf(answered)
			Expect(w.Code).To(Equal(200))
			Expect(w.Body.String()).To(MatchJSON(`{"fenceToken":8}`))
		},
		Entry("no leader", failure.NotLeader),
		Entry("unavailable", failure.Unavailable),
		Entry("no answer", failure.UnknownOutcome),
	)

	It("leave a silent owner for its successor, whose answer alone counts", func() {
		b := newBed("")
		answered := b.begin(beatOf(instance, 1))
		old := b.attempt()
		b.waiting(beatWaits)
		b.owners.setOwner("10.0.0.2:7380")
		b.clock.Advance(patience)
		Eventually(old.ctx.Done()).Should(BeClosed())
		old.reply <- result{orders: protocol.Orders{FenceToken: 7}} // too late
		Eventually(b.owners.refreshed).Should(Equal(2))             // when patience is over, and after the attempt
		b.waiting(beatWaits)
		b.clock.Advance(attemptPause)
		b.attempt().reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(answerOf(answered).Body.String()).To(MatchJSON(`{"fenceToken":8}`))
	})

	It("stay with a slow owner that has no successor", func() {
		b := newBed("")
		answered := b.begin(beatOf(instance, 1))
		slow := b.attempt()
		for waited := time.Duration(0); waited < 600*time.Millisecond; waited += successorPoll {
			b.waiting(beatWaits)
			b.clock.Advance(successorPoll)
		}
		Expect(slow.ctx.Done()).NotTo(BeClosed())
		Expect(b.owners.attempts).NotTo(Receive())
		slow.reply <- result{orders: protocol.Orders{FenceToken: 7}}
		Expect(answerOf(answered).Code).To(Equal(200))
	})

	It("are refused before the runner gives up when nobody answers", func() {
		b := newBed("")
		answered := b.begin(beatOf(instance, 1))
		b.attempt()
		b.waiting(beatWaits)
		b.clock.Advance(exchangeTime)
		w := answerOf(answered)
		Expect(w.Code).To(Equal(503))
		Expect(exchangeTime).To(BeNumerically("<", 950*time.Millisecond))
	})

	It("are refused at once when there is no time for another attempt", func() {
		b := newBed("")
		answered := b.begin(beatOf(instance, 1))
		e := b.attempt()
		b.waiting(beatWaits)
		b.clock.Advance(exchangeTime - attemptPause - shortestAttempt + time.Millisecond)
		e.reply <- result{err: failure.New(failure.NotLeader, "as scripted")}
		Expect(answerOf(answered).Code).To(Equal(503))
		Expect(b.owners.attempts).NotTo(Receive())
	})
})

var _ = Describe("several heartbeats at once", func() {
	It("abandon the older for the newer of an instance", func() {
		b := newBed("")
		first := b.begin(beatOf(instance, 1))
		older := b.attempt()
		second := b.begin(beatOf(instance, 2))
		newer := b.attempt()
		Eventually(older.ctx.Done()).Should(BeClosed())
		Expect(answerOf(first).Code).To(Equal(503))
		older.reply <- result{orders: protocol.Orders{FenceToken: 7}} // too late
		newer.reply <- result{orders: protocol.Orders{FenceToken: 8}}
		Expect(answerOf(second).Body.String()).To(MatchJSON(`{"fenceToken":8}`))
		Expect(b.service.beats.byInstance).To(BeEmpty())
	})

	It("refuse an older one that comes late", func() {
		b := newBed("")
		second := b.begin(beatOf(instance, 2))
		newer := b.attempt()
		Expect(answerOf(b.begin(beatOf(instance, 1))).Code).To(Equal(503))
		newer.reply <- result{}
		Expect(answerOf(second).Code).To(Equal(200))
	})

	It("refuse an older one that comes after the newer was answered, whoever owns the shard by then", func() {
		b := newBed("")
		second := b.begin(beatOf(instance, 2))
		b.attempt().reply <- result{}
		Expect(answerOf(second).Code).To(Equal(200))
		b.owners.setOwner("10.0.0.2:7380")
		Expect(answerOf(b.begin(beatOf(instance, 1))).Code).To(Equal(503))
		Expect(b.owners.attempts).To(BeEmpty())
	})

	It("remember a bounded number of instances", func() {
		b := newBed("")
		for i := range 3 * mostHeard {
			answered := b.begin(beatOf(fmt.Sprintf("i-%d", i), 1))
			b.attempt().reply <- result{}
			Expect(answerOf(answered).Code).To(Equal(200))
		}
		Expect(b.service.beats.heard).To(HaveLen(mostHeard))
	})

	It("never mix two instances' answers", func() {
		b := newBed("")
		first := b.begin(beatOf("i-1", 9))
		one := b.attempt()
		second := b.begin(beatOf("i-2", 1))
		two := b.attempt()
		two.reply <- result{orders: protocol.Orders{LastSeen: 2}}
		one.reply <- result{orders: protocol.Orders{LastSeen: 1}}
		Expect(answerOf(first).Body.String()).To(MatchJSON(`{"lastSeen":1}`))
		Expect(answerOf(second).Body.String()).To(MatchJSON(`{"lastSeen":2}`))
	})
})

var _ = Describe("planned ends", func() {
	DescribeTable("go to the shards that may know the runner",
		func(configured, body string, shards ...protocol.ShardID) {
			b := newBed(configured)
			answered := b.begin(post(instance, "deregister", body))
			for _, shard := range shards {
				e := b.attempt()
				Expect(e.leaving.Shard).To(Equal(shard))
				Expect(e.leaving.Instance).To(Equal(instance))
				e.reply <- result{}
			}
			Expect(answerOf(answered).Code).To(Equal(200))
			Expect(b.owners.attempts).NotTo(Receive())
		},
		Entry("of the service in the settings", "huvo11a", "", protocol.ShardOf("huvo11a")),
		Entry("of the service it names", "huvo11a", `{"service":"wuno96b"}`, protocol.ShardOf("wuno96b")),
		Entry("all where none is known", "", "", protocol.ShardID(1), protocol.ShardID(2), protocol.ShardID(3), protocol.ShardID(4)),
	)

	It("make the runner a draining one for every owner, while it serves on", func() {
		b := newBed("huvo11a")
		leaving := b.begin(post(instance, "deregister", ""))
		b.attempt().reply <- result{}
		Expect(answerOf(leaving).Code).To(Equal(200))
		b.begin(beatOf(instance, 5))
		Expect(b.attempt().beat.State).To(Equal(protocol.RunnerDraining))
		b.begin(beatOf("i-next", 1))
		Expect(b.attempt().beat.State).To(Equal(protocol.RunnerReady))
	})

	It("are not acknowledged before the owner has answered", func() {
		b := newBed("huvo11a")
		answered := b.begin(post(instance, "deregister", ""))
		b.attempt()
		b.waiting(beatWaits)
		b.clock.Advance(exchangeTime)
		Expect(answerOf(answered).Code).To(Equal(503))
	})
})
