package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

// receivedCall is a call that the fake runner has received: its path, and the fields of its JSON body.
type receivedCall struct {
	Path       string `json:"-"`
	Task       string
	RunID      uint64 `json:"runId"`
	Spec       string
	Saved      string `json:"checkpointed"`
	DeadlineMs int64
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64 `json:"wait_ms"`
}

// fakeRunner is a runner that gets its orders by calls. It answers a poll that may be delayed (wait_ms above 0)
// when the test sends to nudges. The fields below mutex have its runs, and determine its response to a start.
type fakeRunner struct {
	server *httptest.Server
	clock  *clockwork.FakeClock
	origin int64 // the runner's clock, in ms, when the fake clock was at start
	start  int64 // time of the fake clock, in ms since 1970, at which the runner started

	mutex          sync.Mutex
	active         []protocol.ActiveRun
	finished       []protocol.FinishedRun
	rejectReason   string           // each start is refused with this reason; empty: it is accepted
	abortNextStart bool             // the next start is answered by closing its connection
	fence          uint64           // highest fencing token that the runner has seen
	stopped        map[runName]bool // runs that a stop call has named
	onStart        func()           // called for each start that arrives

	calls  chan receivedCall // all calls, in order
	nudges chan struct{}     // each element lets one delayed poll be answered
	closed chan struct{}     // closed when the runner is
}

func newFakeRunner(clock *clockwork.FakeClock) *fakeRunner {
	f := &fakeRunner{clock: clock, origin: 482113, start: clock.Now().UnixMilli(), stopped: map[runName]bool{},
		calls: make(chan receivedCall, 1000), nudges: make(chan struct{}, 100), closed: make(chan struct{})}
	f.server = httptest.NewServer(f)
	return f
}

// address returns the ip:port at which the runner is called.
func (f *fakeRunner) address() string { return f.server.Listener.Addr().String() }

// clockMs returns the runner's clock in ms. It advances with the fake clock.
func (f *fakeRunner) clockMs() int64 { return f.origin + f.clock.Now().UnixMilli() - f.start }

// close ends the runner as a crash does: its connections are closed.
func (f *fakeRunner) close() {
	close(f.closed)
	f.server.CloseClientConnections()
	f.server.Close()
}

// restart closes the runner and returns a later incarnation at the same address.
func (f *fakeRunner) restart() *fakeRunner {
	GinkgoHelper()
	address := f.address()
	f.close()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	Expect(err).NotTo(HaveOccurred())
	next := &fakeRunner{clock: f.clock, origin: 1, start: f.clock.Now().UnixMilli(), stopped: map[runName]bool{},
		calls: make(chan receivedCall, 1000), nudges: make(chan struct{}, 100), closed: make(chan struct{})}
	next.server = httptest.NewUnstartedServer(next)
	Expect(next.server.Listener.Close()).To(Succeed())
	next.server.Listener = listener
	next.server.Start()
	return next
}

// set changes the runner's fields while no call is being answered.
func (f *fakeRunner) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// respond writes a response's body. An error means that the agent has closed the connection, which a test may intend.
func (f *fakeRunner) respond(w http.ResponseWriter, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}

// ServeHTTP answers one call of the agent.
func (f *fakeRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := receivedCall{Path: r.URL.Path}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.calls <- call
	if call.Path == pathLease && call.WaitMs > 0 {
		select {
		case <-f.nudges:
		case <-f.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run := runName{call.Task, call.RunID}
	if call.FenceToken < f.fence {
		w.WriteHeader(http.StatusConflict)
		f.respond(w, `{"clockMs":%d,"why":%q}`, f.clockMs(), reasonFence)
		return
	}
	f.fence = call.FenceToken
	switch call.Path {
	case pathLease:
		body, err := json.Marshal(map[string]any{"clockMs": f.clockMs(), "active": f.active, "finished": f.finished})
		if err != nil {
			panic(err)
		}
		f.respond(w, "%s\n", body)
		return
	case pathStart:
		if f.onStart != nil {
			f.onStart()
		}
		if f.abortNextStart {
			f.abortNextStart = false
			panic(http.ErrAbortHandler)
		}
		if f.rejectReason != "" {
			w.WriteHeader(http.StatusConflict)
			f.respond(w, `{"clockMs":%d,"why":%q}`, f.clockMs(), f.rejectReason)
			return
		}
		f.active = append(f.active, protocol.ActiveRun{Task: run.task, Run: run.run})
	case pathStop:
		f.stopped[run] = true
	}
	f.respond(w, `{"clockMs":%d}`, f.clockMs())
}

// next skips calls to other paths and returns the next call to path.
func (f *fakeRunner) next(path string) receivedCall {
	GinkgoHelper()
	var got receivedCall
	Eventually(func() string {
		select {
		case got = <-f.calls:
			return got.Path
		default:
			return ""
		}
	}).Should(Equal(path))
	return got
}

// calledFixture is a fixture with an agent that calls a fakeRunner.
type calledFixture struct {
	*fixture
	runner *fakeRunner
}

func newCalledFixture() *calledFixture {
	b := &calledFixture{fixture: &fixture{owners: &fakeOwners{owner: "10.0.0.1:7380", attempts: make(chan *attempt, 10)},
		clock: clockwork.NewFakeClock()}}
	b.runner = newFakeRunner(b.clock)
	b.service = NewService(Options{Owners: b.owners, Service: "huvo11a", Clock: b.clock, CallsRunner: true, RunnerAddress: b.runner.address()})
	return b
}

func (b *calledFixture) close() {
	b.service.Close()
	b.runner.close()
}

// sendHeartbeat sends the runner's own heartbeat.
func (b *calledFixture) sendHeartbeat(instance string, sequence int, state protocol.RunnerState) <-chan *httptest.ResponseRecorder {
	return b.serve(post(instance, "heartbeat", fmt.Sprintf(`{"service":"huvo11a","address":"10.0.0.9:1","state":%q,"sequence":%d,"clockMs":%d}`,
		state, sequence, b.runner.clockMs())))
}

// Steps of the fake clock while a test waits for the next exchange.
const (
	clockStep       = 10 * time.Millisecond
	realTimePerStep = 8 * time.Millisecond // pause in real time before each step, so that calls of the runner can end
	maxSteps        = 300                  // steps after which a test fails
)

// nextExchange advances the fake clock until the next call of an owner, and returns that call.
func (b *calledFixture) nextExchange() *attempt {
	GinkgoHelper()
	for range maxSteps {
		select {
		case e := <-b.owners.attempts:
			return e
		case <-time.After(realTimePerStep):
			b.clock.Advance(clockStep)
		}
	}
	Fail("the agent has made no further exchange with the owner")
	return nil
}

// nextExchangeWhere answers exchanges with orders until one matches. It returns that one unanswered.
func (b *calledFixture) nextExchangeWhere(orders protocol.Orders, matches func(heartbeat *protocol.Heartbeat) bool) *attempt {
	GinkgoHelper()
	for range maxSteps {
		e := b.nextExchange()
		if matches(e.heartbeat) {
			return e
		}
		e.reply <- result{orders: orders}
	}
	Fail("no exchange with the owner matches")
	return nil
}

// Limits of awaitReport.
const (
	maxHeartbeats     = 20 // heartbeats after which a test fails
	stepsPerHeartbeat = 25 // steps of the fake clock between two heartbeats
)

// awaitReport sends heartbeats of an incarnation until the agent reports one to the owner. It answers other exchanges with
// orders. It returns the report, which it doesn't answer, and the channel for the response to the reported heartbeat.
func (b *calledFixture) awaitReport(instance string, orders protocol.Orders) (*attempt, <-chan *httptest.ResponseRecorder) {
	GinkgoHelper()
	answers := map[uint64]<-chan *httptest.ResponseRecorder{}
	for sequence := 1; sequence <= maxHeartbeats; sequence++ {
		answers[uint64(sequence)] = b.sendHeartbeat(instance, sequence, protocol.RunnerReady)
		for range stepsPerHeartbeat {
			select {
			case e := <-b.owners.attempts:
				if e.heartbeat.Instance == instance && !e.heartbeat.FenceOnly {
					return e, answers[e.heartbeat.Sequence>>sequenceBits]
				}
				e.reply <- result{orders: orders} // of the previous loop, or a request for the fencing token
			case <-time.After(realTimePerStep):
				b.clock.Advance(clockStep)
			}
		}
	}
	Fail("the agent has reported no heartbeat of the incarnation to the owner")
	return nil, nil
}
