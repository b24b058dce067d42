// Package deadline makes contexts that end by any clock. Package clockwork does so for its own clocks only, and lets
// contexts of every other clock end by the real time.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is a clock that makes contexts by itself.
type Clock interface {
	clockwork.Clock
	// WithDeadline returns a context that ends with its parent, by its cancel function, or once the clock has reached
	// that time.
	WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc)
	// In returns the clock for timers of the work that ctx belongs to.
	In(ctx context.Context) clockwork.Clock
}

// In returns the clock for timers of the work that ctx belongs to: a clock that carries out what is due at one moment in
// an order of its own has to know.
func In(ctx context.Context, clock clockwork.Clock) clockwork.Clock {
	if own, ok := clock.(Clock); ok {
		return own.In(ctx)
	}
	return clock
}

// WithDeadline returns a context that ends with its parent, by its cancel function, or once the clock has reached that
// time.
func WithDeadline(parent context.Context, clock clockwork.Clock, at time.Time) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, at)
	}
	return clockwork.WithDeadline(parent, clock, at)
}

// WithTimeout is WithDeadline for a time from now on.
func WithTimeout(parent context.Context, clock clockwork.Clock, span time.Duration) (context.Context, context.CancelFunc) {
	if own, ok := clock.(Clock); ok {
		return own.WithDeadline(parent, own.Now().Add(span))
	}
	return clockwork.WithTimeout(parent, clock, span)
}
