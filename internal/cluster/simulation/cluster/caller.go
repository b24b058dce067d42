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

// caller calls control processes over the simulated network on behalf of a harness's process. It models transport.Client,
// including its probes of an unresponsive peer. It implements directory.Caller.
type caller struct{ harness *harness }

const (
	defaultCallTimeout  = 30 * time.Second // of a call with a context without a deadline
	maxUnansweredProbes = 3                // consecutive; the call then ends, as in package transport
)

// callResult is the result of a call: a response or an error.
type callResult struct {
	response any
	err      error
}

// Do calls the process at an address and stores its response in response, which must be a pointer to the response's type.
// If ctx ends after the call was made and before a response arrives, the error is of kind failure.UnknownOutcome.
func (c caller) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, withProbes)
}

// DoLong is like Do, for calls that the peer may answer late on purpose. The peer is not probed while the call is pending.
func (c caller) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, withoutProbes)
}

// probing says how a call detects that its peer has become unresponsive.
type probing int

const (
	withProbes    probing = iota + 1 // the call ends after maxUnansweredProbes consecutive ones, or at its timeout
	withoutProbes                    // the call ends only at its timeout
)

// do makes a call and waits for its result. The world's goroutine sends the request, as an effect of the request that ctx
// belongs to.
func (c caller) do(ctx context.Context, address string, request, response any, probing probing) error {
	if ctx.Err() != nil {
		return failure.Newf(failure.Unavailable, "%s: not called: %v", address, ctx.Err())
	}
	h := c.harness
	results := make(chan callResult, 1)
	timeout := defaultCallTimeout
	if at, ok := ctx.Deadline(); ok {
		timeout = max(machineClock{harness: h}.Until(at), time.Millisecond)
	}
	h.enqueue(requestOf(ctx), func() {
		over := false
		finish := func(response any, err error) {
			if !over && ctx.Err() == nil {
				over = true
				h.deliver(func() { results <- callResult{response, err} })
			}
		}
		h.cluster.call(h.machine, address, request, timeout, finish)
		if probing == withProbes && timeout > maxUnansweredProbes*transport.DefaultProbeInterval {
			h.probe(address, func() bool { return over || ctx.Err() != nil }, func() {
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

// probe sends a probe to a process every DefaultProbeInterval until isOver returns true. It calls abort and stops once
// maxUnansweredProbes consecutive probes have had no response.
func (h *harness) probe(address string, isOver func() bool, abort func()) {
	to := h.cluster.byName[address]
	if to == nil {
		return
	}
	network := h.cluster.deployment.Network
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
		network.Send(h.machine, to, func() { network.Send(to, h.machine, func() { answered = true }) })
		h.machine.After(transport.DefaultProbeInterval, sendProbe)
	}
	h.machine.After(transport.DefaultProbeInterval, sendProbe)
}

// storeResponse copies the value that got points to, a control process's response, to the value that response points to.
// It returns an error if the types differ.
func storeResponse(response, got any) error {
	to, from := reflect.ValueOf(response), reflect.ValueOf(got)
	if to.Type() != from.Type() {
		return fmt.Errorf("the response has type %v instead of %v", from.Type(), to.Type())
	}
	to.Elem().Set(from.Elem())
	return nil
}

// call sends a request from a machine to the control process at an address. It calls done at most once, and only while the
// caller's incarnation runs: with the response, with failure.UnknownOutcome after the timeout, or with failure.Unavailable
// if no process listens at the address. Only the world's goroutine may call it.
func (c *Cluster) call(from *simulation.Machine, address string, request any, timeout time.Duration, done func(any, error)) {
	over := false
	finish := func(response any, err error) {
		if !over {
			over = true
			done(response, err)
		}
	}
	timer := from.After(timeout, func() { finish(nil, failure.New(failure.UnknownOutcome, "no response within the timeout")) })
	finishInTime := func(response any, err error) {
		timer.Stop()
		finish(response, err)
	}
	to := c.byName[address]
	if to == nil {
		from.After(0, func() { finishInTime(nil, failure.New(failure.Unavailable, "no machine has this address")) })
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
