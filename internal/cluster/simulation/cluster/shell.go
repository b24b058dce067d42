package cluster

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"ospreypond/internal/cluster/simulation"
)

// shell runs one incarnation of a process: shipped code, with its goroutines. Its clock, its messages and its callers are
// the simulated world's.
//
// Two kinds of goroutines meet here. The world's goroutine executes events, one at a time. The process's goroutines run in
// the same testing/synctest bubble, and only while the world's waits for them in deliver: it delivers one input, waits
// until every goroutine is blocked, and only then performs the effects that they enqueued, in an order that doesn't depend
// on how they were scheduled. So a seed replays, although the shipped code is concurrent.
type shell struct {
	cluster      *Cluster
	machine      *simulation.Machine
	ctx          context.Context // ends with the incarnation
	cancel       context.CancelFunc
	clockStart   time.Time // the reading of the process's clock at its start
	afterInput   func()    // called after each input; nil: nothing is
	requests     uint64    // served
	closeProcess func()    // ends goroutines that don't end with ctx; nil: there are none

	mutex       sync.Mutex // guards what follows, and the timers
	effects     []effect   // enqueued since the last input
	killed      bool       // nothing that the process still does has an effect
	connections uint64     // made to the machine's runner
}

// effect is something that a goroutine of the process does to the world.
type effect struct {
	request uint64 // that the goroutine works for
	perform func()
}

// processRequest stands for the request of goroutines that work for the process itself.
const processRequest uint64 = 0

// newShell begins an incarnation of a machine's process, and ends what still runs of an earlier one.
func (c *Cluster) newShell(m *simulation.Machine) *shell {
	if earlier := c.shells[m]; earlier != nil {
		earlier.kill()
	}
	s := &shell{cluster: c, machine: m, clockStart: time.UnixMilli(m.TimeOfDayMs()).Add(-m.Monotonic())}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	c.shells[m] = s
	return s
}

// endShells ends all goroutines of all shells, as a bubble requires before its own end.
func (c *Cluster) endShells() {
	for _, s := range c.shells {
		s.kill()
	}
}

// kill ends the goroutines of a process that is not running any more, without an effect, and waits for them.
func (s *shell) kill() {
	s.mutex.Lock()
	s.killed = true
	s.effects = nil
	s.mutex.Unlock()
	s.cancel()
	if s.closeProcess != nil {
		s.closeProcess()
	}
	synctest.Wait()
}

// deliver calls input, waits until all goroutines of the process are blocked, and performs their effects in the order of
// the requests that they belong to. It must be called by the world's goroutine, in the incarnation of the process.
func (s *shell) deliver(input func()) {
	input()
	synctest.Wait()
	s.mutex.Lock()
	effects := s.effects
	s.effects = nil
	s.mutex.Unlock()
	slices.SortStableFunc(effects, func(a, b effect) int { return cmp.Compare(a.request, b.request) })
	for i := range effects {
		effects[i].perform()
	}
	if s.afterInput != nil {
		s.afterInput()
	}
}

// enqueue has the world's goroutine perform an effect when deliver's input has been processed. Any goroutine may call it.
func (s *shell) enqueue(request uint64, perform func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.killed {
		s.effects = append(s.effects, effect{request, perform})
	}
}

// inIncarnation returns a function that calls f in the present incarnation of the process, or never.
func (s *shell) inIncarnation(f func()) func() {
	return func() {
		if s.cluster.shells[s.machine] == s {
			s.machine.After(0, f)
		}
	}
}

// run starts a goroutine of the process, which must end with its context.
func (s *shell) run(body func(ctx context.Context)) {
	s.deliver(func() { go body(s.ctx) })
}

// requestKey is the key of a request's number in a context.
type requestKey struct{}

// requestOf returns the number of the request that a context belongs to, or processRequest.
func requestOf(ctx context.Context) uint64 {
	number, _ := ctx.Value(requestKey{}).(uint64)
	return number
}

// serve has a handler serve a caller's request, and calls done with the response. What it returns ends the request's
// context, because the caller has disconnected.
func (s *shell) serve(handler http.Handler, request *http.Request, done func(*response)) (disconnect func()) {
	s.requests++
	number := 2 * s.requests
	last := number + 1 // orders the response after all else: goroutines that the handler started may go on beside it
	ctx, cancel := context.WithCancel(context.WithValue(s.ctx, requestKey{}, number))
	s.deliver(func() {
		go func() {
			defer cancel()
			response := newResponse()
			handler.ServeHTTP(response, request.WithContext(ctx))
			s.enqueue(last, func() { done(response) })
		}()
	})
	return func() {
		if ctx.Err() == nil {
			s.deliver(cancel)
		}
	}
}
