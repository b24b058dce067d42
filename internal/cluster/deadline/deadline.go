// Package deadline makes contexts that end by the time of any clock. Package clockwork does so only for clocks of its
// own, and lets contexts with every other clock end by the system's time.
//
// All functions may be called from any goroutine if the clock's methods may.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a clock that makes contexts itself, as that of a simulation.
type Clock interface {
	clockwork.Clock
	// WithDeadline returns a context that ends with parent, by its cancel function, or once the clock reaches the time at.
	WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc)
	// In returns the clock for the timers of the work that ctx belongs to.
	In(ctx context.Context) clockwork.Clock
}

// In returns the clock for the timers of the work that ctx belongs to. A Clock that orders what is due at the same
// time needs to know the work; any other clock is returned as it is.
func In(ctx context.Context, clock clockwork.Clock) clockwork.Clock {
	if own, ok := clock.(Clock); ok {
		return own.In(ctx)
	}
	return clock
}

// WithDeadline returns a context that ends with parent, by its cancel function, or once the clock reaches the time at.
func WithDeadline(parent context.Context, clock clockwork.Clock, at time.Time) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, at)
	}
	return clockwork.WithDeadline(parent, clock, at)
}

// WithTimeout is WithDeadline with the time that is timeout from now.
func WithTimeout(parent context.Context, clock clockwork.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, own.Now().Add(timeout))
	}
	return clockwork.WithTimeout(parent, clock, timeout)
}
