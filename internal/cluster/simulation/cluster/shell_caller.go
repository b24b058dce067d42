package cluster

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/transport"
)

// caller carries a shell's calls to control processes over the simulated network, as transport.Client does over the real
// one. It implements directory.Caller.
type caller struct{ shell *shell }

// callTime is how long a call without a deadline waits.
const callTime = 30 * time.Second

// outcome is how a call ended.
type outcome struct {
	response any
	err      error
}

// Do asks the process at address and waits for its answer until ctx ends; then it is not known what became of the call.
func (c caller) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, true)
}

func (c caller) do(ctx context.Context, address string, request, response any, probed bool) error {
	if ctx.Err() != nil {
		return failure.Newf(failure.Unavailable, "%s: not asked: %v", address, ctx.Err())
	}
	s := c.shell
	ended := make(chan outcome, 1)
	wait := callTime
	if at, ok := ctx.Deadline(); ok {
		wait = max(shellClock{shell: s}.Until(at), time.Millisecond)
	}
	s.want(requestOf(ctx), func() {
		over := false
		finish := func(response any, err error) {
			if !over && ctx.Err() == nil {
				over = true
				s.enter(func() { ended <- outcome{response, err} })
			}
		}
		s.cluster.call(s.machine, address, request, wait, finish)
		if probed && wait > mostSilentProbes*transport.DefaultProbeInterval {
			s.probe(address, func() bool { return over || ctx.Err() != nil }, func() {
				finish(nil, failure.New(failure.UnknownOutcome, "the peer is silent"))
			})
		}
	})
	select {
	case <-ctx.Done():
		return failure.Newf(failure.UnknownOutcome, "%s: no answer: %v", address, ctx.Err())
	case got := <-ended:
		if got.err != nil {
			return got.err
		}
		return fill(response, got.response)
	}
}

// DoLong is Do for a call that may be held back.
func (c caller) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, false)
}

// mostSilentProbes is for how many probes in a row a peer may be silent, as in package transport.
const mostSilentProbes = 3

// probe asks a process for a sign of life, again and again until ended, and calls cut once it has been silent for long.
func (s *shell) probe(address string, ended func() bool, cut func()) {
	to := s.cluster.byName[address]
	if to == nil {
		return
	}
	network := s.cluster.deployment.Network
	heard, silent := true, 0
	var look func()
	look = func() {
		if ended() {
			return
		}
		silent++
		if heard {
			heard, silent = false, 0
		}
		if silent >= mostSilentProbes {
			cut()
			return
		}
		network.Send(s.machine, to, func() { network.Send(to, s.machine, func() { heard = true }) })
		s.machine.After(transport.DefaultProbeInterval, look)
	}
	s.machine.After(transport.DefaultProbeInterval, look)
}

// fill copies a control process's answer to where a caller wants it.
func fill(response, answer any) error {
	to, from := reflect.ValueOf(response), reflect.ValueOf(answer)
	if to.Type() != from.Type() {
		return fmt.Errorf("the answer is a %v, not a %v", from.Type(), to.Type())
	}
	to.Elem().Set(from.Elem())
	return nil
}
