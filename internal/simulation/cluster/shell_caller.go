package cluster

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"ospreypond/internal/failure"
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
		s.cluster.call(s.machine, address, request, wait, func(response any, err error) {
			if ctx.Err() == nil {
				s.enter(func() { ended <- outcome{response, err} })
			}
		})
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
	return c.Do(ctx, address, request, response)
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
