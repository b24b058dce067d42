// Package deadline creates contexts with deadlines by a given clock, for example the clock of a simulation. Package
// clockwork supports only its own clocks: with any other clock, its contexts end by the system's time.
//
// All functions may be called from any goroutine if the methods of the clock may.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a clock that creates its own contexts with deadlines, as the clock of a simulation does.
type Clock interface {
	clockwork.Clock
	// WithDeadline returns a context that ends with parent, by the returned function, or once this clock reaches at.
	WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc)
	// ForContext returns the clock for the timers of the request that ctx belongs to.
	ForContext(ctx context.Context) clockwork.Clock
}

// ClockFor returns the clock for the timers of the request that ctx belongs to. A simulation's Clock needs to know the
// request, to order timers that fire at the same time. ClockFor returns any other clock unchanged.
func ClockFor(ctx context.Context, clock clockwork.Clock) clockwork.Clock {
	if own, ok := clock.(Clock); ok {
		return own.ForContext(ctx)
	}
	return clock
}

// WithDeadline returns a context that ends with parent, by the returned function, or once clock reaches at.
func WithDeadline(parent context.Context, clock clockwork.Clock, at time.Time) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, at)
	}
	return clockwork.WithDeadline(parent, clock, at)
}

// WithTimeout returns a context that ends with parent, by the returned function, or once timeout has passed on clock.
func WithTimeout(parent context.Context, clock clockwork.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, own.Now().Add(timeout))
	}
	return clockwork.WithTimeout(parent, clock, timeout)
}
