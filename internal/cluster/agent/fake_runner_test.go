package agent

import (
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

// called is one call that the fake runner has got.
type called struct {
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

// fakeRunner is a runner that is called. Holds with a wait end when it is nudged; what starts and stops answer is set.
type fakeRunner struct {
	server *httptest.Server
	clock  *clockwork.FakeClock
	origin int64 // its clock, ms, when the fake clock had the time start
	start  int64

	mutex    sync.Mutex
	active   []protocol.ActiveRun
	finished []protocol.FinishedRun
	refuse   string // a start is refused with this reason
	cut      bool   // a start's connection is cut, once
	fence    uint64 // highest that it has seen
	stopped  map[runName]bool
	onStart  func() // called with each start

	calls  chan called
	nudges chan struct{}
	gone   chan struct{}
}

func newFakeRunner(clock *clockwork.FakeClock) *fakeRunner {
	f := &fakeRunner{clock: clock, origin: 482113, start: clock.Now().UnixMilli(), stopped: map[runName]bool{},
		calls: make(chan called, 1000), nudges: make(chan struct{}, 100), gone: make(chan struct{})}
	f.server = httptest.NewServer(f)
	return f
}

func (f *fakeRunner) address() string { return f.server.Listener.Addr().String() }

func (f *fakeRunner) clockMs() int64 { return f.origin + f.clock.Now().UnixMilli() - f.start }

// close ends the runner, as a crash does.
func (f *fakeRunner) close() {
	close(f.gone)
	f.server.CloseClientConnections()
	f.server.Close()
}

// again has a later incarnation stand at the same address.
func (f *fakeRunner) again() *fakeRunner {
	address := f.address()
	f.close()
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	next := &fakeRunner{clock: f.clock, origin: 1, start: f.clock.Now().UnixMilli(), stopped: map[runName]bool{},
		calls: make(chan called, 1000), nudges: make(chan struct{}, 100), gone: make(chan struct{})}
	next.server = httptest.NewUnstartedServer(next)
	next.server.Listener.Close()
	next.server.Listener = listener
	next.server.Start()
	return next
}

func (f *fakeRunner) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *fakeRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := called{Path: r.URL.Path}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.calls <- call
	if call.Path == pathHold && call.WaitMs > 0 {
		select {
		case <-f.nudges:
		case <-f.gone:
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
		fmt.Fprintf(w, `{"clockMs":%d,"why":%q}`, f.clockMs(), whyFence)
		return
	}
	f.fence = call.FenceToken
	switch call.Path {
	case pathHold:
		json.NewEncoder(w).Encode(map[string]any{"clockMs": f.clockMs(), "active": f.active, "finished": f.finished})
		return
	case pathStart:
		if f.onStart != nil {
			f.onStart()
		}
		if f.cut {
			f.cut = false
			panic(http.ErrAbortHandler)
		}
		if f.refuse != "" {
			w.WriteHeader(http.StatusConflict)
			fmt.Fprintf(w, `{"clockMs":%d,"why":%q}`, f.clockMs(), f.refuse)
			return
		}
		f.active = append(f.active, protocol.ActiveRun{Task: run.task, Run: run.run})
	case pathStop:
		f.stopped[run] = true
	}
	fmt.Fprintf(w, `{"clockMs":%d}`, f.clockMs())
}

// next returns the next call to the runner on a path.
func (f *fakeRunner) next(path string) called {
	var got called
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

// calledBed is a bed whose runner is called.
type calledBed struct {
	*bed
	runner *fakeRunner
}

func newCalledBed() *calledBed {
	b := &calledBed{bed: &bed{owners: &fakeOwners{owner: "10.0.0.1:7380", attempts: make(chan *exchange, 10)},
		clock: clockwork.NewFakeClock()}}
	b.runner = newFakeRunner(b.clock)
	b.service = NewService(Options{Owners: b.owners, Service: "huvo11a", Clock: b.clock, Calls: true, App: b.runner.address()})
	return b
}

func (b *calledBed) close() {
	b.service.Close()
	b.runner.close()
}

// own is the runner's own heartbeat.
func (b *calledBed) own(instance string, sequence int, state string) <-chan *httptest.ResponseRecorder {
	return b.begin(post(instance, "heartbeat", fmt.Sprintf(`{"service":"huvo11a","address":"10.0.0.9:1","state":%q,"sequence":%d,"clockMs":%d}`,
		state, sequence, b.runner.clockMs())))
}

// Steps of the fake clock while a test waits for the next exchange.
const (
	turnStep     = 10 * time.Millisecond
	turnPatience = 8 * time.Millisecond // real time that the runner's calls are waited for before each step
	mostSteps    = 300
)

// turn lets time pass until the next exchange with the owner.
func (b *calledBed) turn() *exchange {
	for range mostSteps {
		select {
		case e := <-b.owners.attempts:
			return e
		case <-time.After(turnPatience):
			b.clock.Advance(turnStep)
		}
	}
	Fail("there is no further exchange with the owner")
	return nil
}

// until goes on from exchange to exchange, each answered by orders, until one is as wanted.
func (b *calledBed) until(orders protocol.Orders, wanted func(beat *protocol.Heartbeat) bool) *exchange {
	for range mostSteps {
		e := b.turn()
		if wanted(e.beat) {
			return e
		}
		e.reply <- result{orders: orders}
	}
	Fail("no exchange is as wanted")
	return nil
}

// Heartbeats of a runner whose first report to the owner is waited for.
const (
	mostBeats = 20
	beatSteps = 25 // of the clock between two
)

// untilBeating has a runner send heartbeats until one of them is reported to the owner; what comes before is answered by
// orders. It returns that report and the heartbeat's answer.
func (b *calledBed) untilBeating(instance string, orders protocol.Orders) (*exchange, <-chan *httptest.ResponseRecorder) {
	answers := map[uint64]<-chan *httptest.ResponseRecorder{}
	for sequence := 1; sequence <= mostBeats; sequence++ {
		answers[uint64(sequence)] = b.own(instance, sequence, protocol.RunnerReady)
		for range beatSteps {
			select {
			case e := <-b.owners.attempts:
				if e.beat.Instance == instance && !e.beat.FenceOnly {
					return e, answers[e.beat.Sequence>>sequenceBits]
				}
				e.reply <- result{orders: orders} // the loop before may have shown it a token
			case <-time.After(turnPatience):
				b.clock.Advance(turnStep)
			}
		}
	}
	Fail("no heartbeat is reported to the owner")
	return nil, nil
}
