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

// harness runs one incarnation of a shipped process with all its goroutines, and connects it to the simulated world: the
// process reads the virtual clock of its machine, and its messages, calls and requests pass through the world.
//
// Two kinds of goroutines run in the same testing/synctest bubble. The world's goroutine executes the events of the
// simulation, one at a time. The process's goroutines are concurrent, but they run only while the world's goroutine waits
// for them in deliver, which takes these steps:
//  1. Pass one input to the process, such as a request, a response or the expiry of a timer.
//  2. Wait with synctest.Wait until every other goroutine of the bubble is blocked.
//  3. Perform the effects that the process's goroutines have enqueued, sorted by the number of their request. Effects of the
//     same request stay in the order in which they were enqueued.
//
// Invariant: only the world's goroutine changes the world or draws from its random source, and the order of these actions
// does not depend on how the Go scheduler interleaves the goroutines of different requests. Therefore a seed replays the
// same run although the shipped code is concurrent.
type harness struct {
	cluster      *Cluster
	machine      *simulation.Machine
	ctx          context.Context // ends when kill is called
	cancel       context.CancelFunc
	clockStart   time.Time // time of day at the start of the process; later steps of the machine's clock don't change it
	afterInput   func()    // called at the end of each deliver; may be nil
	requests     uint64    // number of calls of serve
	closeProcess func()    // ends the goroutines that don't end with ctx; nil if there are none

	mutex       sync.Mutex // guards the fields below, and the fields of timer that change
	effects     []effect   // enqueued since the last input was passed, not performed yet
	killed      bool       // effects are dropped from now on
	connections uint64     // number of calls of dial
}

// effect is an action on the world that a goroutine of the process has requested. The world's goroutine performs it.
type effect struct {
	request uint64 // number of the request that the goroutine works for; orders the effects
	perform func()
}

// processRequest is the request number of goroutines that work for no request, such as the process's main loop. It is less
// than the number of every request, so that deliver performs their effects first.
const processRequest uint64 = 0

// newHarness begins an incarnation of a machine's process. It first ends the goroutines of the previous incarnation.
func (c *Cluster) newHarness(m *simulation.Machine) *harness {
	if earlier := c.harnesses[m]; earlier != nil {
		earlier.kill()
	}
	h := &harness{cluster: c, machine: m, clockStart: time.UnixMilli(m.TimeOfDayMs()).Add(-m.Monotonic())}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	c.harnesses[m] = h
	return h
}

// endHarnesses ends all goroutines of all processes. Without it synctest.Test would fail, because a bubble must not end
// before its goroutines.
func (c *Cluster) endHarnesses() {
	for _, h := range c.harnesses {
		h.kill()
	}
}

// kill ends the goroutines of this incarnation and waits until they have ended or are blocked. It drops their effects: they
// have been blocked since the machine killed the process, and their actions must no longer reach the world.
func (h *harness) kill() {
	h.mutex.Lock()
	h.killed = true
	h.effects = nil
	h.mutex.Unlock()
	h.cancel()
	if h.closeProcess != nil {
		h.closeProcess()
	}
	synctest.Wait()
}

// deliver passes one input to the process by calling input, waits until all goroutines of the process are blocked, and
// performs their effects sorted by request. Only the world's goroutine may call it, and only while this incarnation of the
// process runs.
func (h *harness) deliver(input func()) {
	input()
	synctest.Wait()
	h.mutex.Lock()
	effects := h.effects
	h.effects = nil
	h.mutex.Unlock()
	slices.SortStableFunc(effects, func(a, b effect) int { return cmp.Compare(a.request, b.request) })
	for i := range effects {
		effects[i].perform()
	}
	if h.afterInput != nil {
		h.afterInput()
	}
}

// enqueue adds an effect that the world's goroutine performs once the process has processed the current input. It drops the
// effect if the process was killed. Any goroutine may call it.
func (h *harness) enqueue(request uint64, perform func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.killed {
		h.effects = append(h.effects, effect{request, perform})
	}
}

// inIncarnation returns a function for the world's goroutine. The function schedules f for the current time if this is still
// the machine's current incarnation. Otherwise it has no effect.
func (h *harness) inIncarnation(f func()) func() {
	return func() {
		if h.cluster.harnesses[h.machine] == h {
			h.machine.After(0, f)
		}
	}
}

// run starts a goroutine of the process. body must return when its context ends.
func (h *harness) run(body func(ctx context.Context)) {
	h.deliver(func() { go body(h.ctx) })
}

// requestKey is the key under which a context stores the number of its request.
type requestKey struct{}

// requestOf returns the number of the request that a context belongs to, or processRequest.
func requestOf(ctx context.Context) uint64 {
	number, _ := ctx.Value(requestKey{}).(uint64)
	return number
}

// serve runs a handler for a request in a new goroutine and calls done with the response. The returned function
// cancels the request's context; the caller of serve calls it when the simulated client disconnects.
func (h *harness) serve(handler http.Handler, request *http.Request, done func(*response)) (disconnect func()) {
	h.requests++
	number := 2 * h.requests
	// The response is ordered after all other effects of the request, because goroutines that the handler has started may
	// still be running when it returns.
	responseNumber := number + 1
	ctx, cancel := context.WithCancel(context.WithValue(h.ctx, requestKey{}, number))
	h.deliver(func() {
		go func() {
			defer cancel()
			response := newResponse()
			handler.ServeHTTP(response, request.WithContext(ctx))
			h.enqueue(responseNumber, func() { done(response) })
		}()
	})
	return func() {
		if ctx.Err() == nil {
			h.deliver(cancel)
		}
	}
}
