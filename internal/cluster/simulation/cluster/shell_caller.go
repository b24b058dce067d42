package cluster

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/simulation"
	"ospreypond/internal/cluster/transport"
)

// caller makes a shell's calls to control processes over the simulated network, as transport.Client does over the real
// one. It implements directory.Caller.
type caller struct{ shell *shell }

const (
	defaultCallTimeout  = 30 * time.Second // of a call without a deadline
	maxUnansweredProbes = 3                // in a row, as in package transport
)

// callResult is how a call ended.
type callResult struct {
	response any
	err      error
}

// Do calls the process at an address and stores its response in response, a pointer of the response's type. Without a
// response until ctx ends the error is of kind failure.UnknownOutcome.
func (c caller) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, withProbes)
}

// DoLong is Do for a call of which the response may be delayed on purpose: the peer is not probed meanwhile.
func (c caller) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, withoutProbes)
}

// probing is the way in which a call ends if its peer becomes unresponsive: by probes, or only by its timeout.
type probing int

const (
	withProbes probing = iota + 1
	withoutProbes
)

func (c caller) do(ctx context.Context, address string, request, response any, probing probing) error {
	if ctx.Err() != nil {
		return failure.Newf(failure.Unavailable, "%s: not called: %v", address, ctx.Err())
	}
	s := c.shell
	results := make(chan callResult, 1)
	timeout := defaultCallTimeout
	if at, ok := ctx.Deadline(); ok {
		timeout = max(shellClock{shell: s}.Until(at), time.Millisecond)
	}
	s.enqueue(requestOf(ctx), func() {
		over := false
		finish := func(response any, err error) {
			if !over && ctx.Err() == nil {
				over = true
				s.deliver(func() { results <- callResult{response, err} })
			}
		}
		s.cluster.call(s.machine, address, request, timeout, finish)
		if probing == withProbes && timeout > maxUnansweredProbes*transport.DefaultProbeInterval {
			s.probe(address, func() bool { return over || ctx.Err() != nil }, func() {
				finish(nil, failure.New(failure.UnknownOutcome, "the peer does not respond to probes"))
			})
		}
	})
	select {
	case <-ctx.Done():
		return failure.Newf(failure.UnknownOutcome, "%s: no response: %v", address, ctx.Err())
	case result := <-results:
		if result.err != nil {
			return result.err
		}
		return storeResponse(response, result.response)
	}
}

// probe sends probes to a process until isOver, and calls abort once too many in a row have had no response.
func (s *shell) probe(address string, isOver func() bool, abort func()) {
	to := s.cluster.byName[address]
	if to == nil {
		return
	}
	network := s.cluster.deployment.Network
	answered, unanswered := true, 0
	var sendProbe func()
	sendProbe = func() {
		if isOver() {
			return
		}
		unanswered++
		if answered {
			answered, unanswered = false, 0
		}
		if unanswered >= maxUnansweredProbes {
			abort()
			return
		}
		network.Send(s.machine, to, func() { network.Send(to, s.machine, func() { answered = true }) })
		s.machine.After(transport.DefaultProbeInterval, sendProbe)
	}
	s.machine.After(transport.DefaultProbeInterval, sendProbe)
}

// storeResponse copies a control process's response to where the caller wants it.
func storeResponse(response, got any) error {
	to, from := reflect.ValueOf(response), reflect.ValueOf(got)
	if to.Type() != from.Type() {
		return fmt.Errorf("the response is a %v, not a %v", from.Type(), to.Type())
	}
	to.Elem().Set(from.Elem())
	return nil
}

// call calls a control process from a machine, and calls done at most once, in the caller's incarnation: with the
// response, or with an error after the timeout or if nobody listens. The world's goroutine calls it.
func (c *Cluster) call(from *simulation.Machine, address string, request any, timeout time.Duration, done func(any, error)) {
	over := false
	finish := func(response any, err error) {
		if !over {
			over = true
			done(response, err)
		}
	}
	timer := from.After(timeout, func() { finish(nil, failure.New(failure.UnknownOutcome, "no response in time")) })
	finishInTime := func(response any, err error) {
		timer.Stop()
		finish(response, err)
	}
	to := c.byName[address]
	if to == nil {
		from.After(0, func() { finishInTime(nil, failure.New(failure.Unavailable, "no machine has that address")) })
		return
	}
	if !to.Up() || c.processes[to] == nil {
		const refusalDelay = 3 * time.Millisecond
		from.After(refusalDelay, func() { finishInTime(nil, failure.New(failure.Unavailable, "connection refused")) })
		return
	}
	simulation.Call(c.deployment.Network, from, to, func(reply func(callResult)) {
		p := c.processes[to]
		if p == nil {
			return
		}
		p.handle(from, request, func(response any, err error) { reply(callResult{response, err}) })
	}, func(result callResult) { finishInTime(result.response, result.err) })
}
