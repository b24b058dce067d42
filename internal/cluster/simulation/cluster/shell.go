package cluster

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"ospreypond/internal/cluster/simulation"
)

// shell runs one life of a process: shipped code, with its goroutines. Its clock, its messages
// and its callers are the simulated world's. Days are played in a synctest bubble: after each input the world waits
// until every goroutine is blocked, and only then carries out what they asked for, in an order that does not hang on
// how they were scheduled. So at most one input is on its way in a shell, and a seed replays.
type shell struct {
	cluster      *Cluster
	machine      *simulation.Machine
	ctx          context.Context // the life's
	cancel       context.CancelFunc
	clockStart   time.Time // what its clock shows at steady time 0: the time of day at the start
	afterStep    func()    // if set, called after each input
	requests     uint64    // taken so far
	closeProcess func()    // ends goroutines that don't end with ctx; nil: there are none

	mutex   sync.Mutex
	effects []effect // asked for since the newest input
	killed  bool     // the process was killed: nothing that it does has an effect
	// connections is how many were made to the machine's runner.
	connections uint64
}

// effect is something that a goroutine of a shell wants of the world.
type effect struct {
	request uint64 // that it belongs to
	do      func()
}

// processRequest is the request that effects of the process itself belong to.
const processRequest uint64 = 0

// newShell begins a life of a machine's process. What goes on of an earlier one ends without effect.
func (c *Cluster) newShell(m *simulation.Machine) *shell {
	if earlier := c.shells[m]; earlier != nil {
		earlier.kill()
	}
	s := &shell{cluster: c, machine: m, clockStart: time.UnixMilli(m.TimeOfDayMs()).Add(-m.Monotonic())}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	c.shells[m] = s
	return s
}

// endShells ends all goroutines of all shells, as a bubble wants before its own end.
func (c *Cluster) endShells() {
	for _, s := range c.shells {
		s.kill()
	}
}

// kill ends the life's goroutines. Their process is gone, so that nothing they do now has an effect.
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

// step brings an input into the shell, waits until nothing moves in it, and carries out what came of it. It is called
// by the world's goroutine only, in the life of the process.
func (s *shell) step(input func()) {
	input()
	synctest.Wait()
	s.mutex.Lock()
	effects := s.effects
	s.effects = nil
	s.mutex.Unlock()
	slices.SortStableFunc(effects, func(a, b effect) int { return cmp.Compare(a.request, b.request) })
	for i := range effects {
		effects[i].do()
	}
	if s.afterStep != nil {
		s.afterStep()
	}
}

// enqueue has something done in the world once nothing moves in the shell.
func (s *shell) enqueue(request uint64, do func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.killed {
		s.effects = append(s.effects, effect{request, do})
	}
}

// run starts a goroutine of the process that goes on for its life.
func (s *shell) run(body func(ctx context.Context)) {
	s.step(func() { go body(s.ctx) })
}

// requestKey finds the number of a caller's request in a context.
type requestKey struct{}

// requestOf returns the number of the request that a context belongs to.
func requestOf(ctx context.Context) uint64 {
	number, _ := ctx.Value(requestKey{}).(uint64)
	return number
}

// serve has a handler answer a caller's request. What it returns ends the request because the caller has left.
func (s *shell) serve(handler http.Handler, request *http.Request, answered func(*response)) (left func()) {
	s.requests++
	number := 2 * s.requests
	last := number + 1 // its answer comes after all else: what the handler has begun may go on beside it
	ctx, cancel := context.WithCancel(context.WithValue(s.ctx, requestKey{}, number))
	s.step(func() {
		go func() {
			defer cancel()
			response := &response{header: http.Header{}, status: http.StatusOK}
			handler.ServeHTTP(response, request.WithContext(ctx))
			s.enqueue(last, func() { answered(response) })
		}()
	})
	return func() {
		if ctx.Err() == nil {
			s.step(cancel)
		}
	}
}

// response is what a handler answers.
type response struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (a *response) Header() http.Header { return a.header }

// WriteHeader sets the answer's status.
func (a *response) WriteHeader(status int) { a.status = status }

// Write adds to the answer's body.
func (a *response) Write(data []byte) (int, error) { return a.body.Write(data) }
