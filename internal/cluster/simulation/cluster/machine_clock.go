package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// machineClock is the clock of one incarnation of a process, in virtual time. It advances with the machine's monotonic
// clock, so that steps of the machine's time of day don't change it. Its timers never fire after that incarnation has
// ended, and while the machine is frozen they wait until it is thawed. It implements deadline.Clock.
type machineClock struct {
	harness *harness
	request uint64 // request number of its timers, which orders the effects of starting them (see harness.deliver)
}

// ForContext returns the same clock for the timers of the request that ctx belongs to.
func (c machineClock) ForContext(ctx context.Context) clockwork.Clock {
	return machineClock{c.harness, requestOf(ctx)}
}

// Now returns the time of day at the start of the process plus the monotonic time since then.
func (c machineClock) Now() time.Time { return c.harness.clockStart.Add(c.harness.machine.Monotonic()) }

// Since returns the time since t.
func (c machineClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c machineClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep blocks until d has passed.
func (c machineClock) Sleep(d time.Duration) { <-c.After(d) }

// After returns a channel that receives the time once d has passed.
func (c machineClock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer returns a running timer that sends the time on its channel once d has passed.
func (c machineClock) NewTimer(d time.Duration) clockwork.Timer {
	t := c.newTimer(nil)
	t.onFire = t.sendTime
	t.Reset(d)
	return t
}

// AfterFunc calls f in a new goroutine once d has passed, unless the returned timer is stopped before.
func (c machineClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := c.newTimer(func() { go f() })
	t.Reset(d)
	return t
}

// NewTicker returns a ticker that sends the time on its channel every d.
func (c machineClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := c.newTimer(nil)
	t.onFire = func() {
		t.Reset(d) // before sendTime, because the receiver may stop the ticker, which Reset would start again
		t.sendTime()
	}
	t.Reset(d)
	return ticker{t}
}

// WithDeadline returns a context that ends when its parent ends, when the returned function is called, or when this clock
// reaches at.
func (c machineClock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if earlier, ok := parent.Deadline(); ok && earlier.Before(at) {
		return context.WithCancel(parent)
	}
	inner, cancel := context.WithCancelCause(parent)
	t := machineClock{c.harness, requestOf(parent)}.newTimer(func() { cancel(context.DeadlineExceeded) })
	t.Reset(c.Until(at))
	return &deadlineContext{inner, at}, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// deadlineContext is a context with a deadline on a machineClock rather than on the clock of package time. The
// embedded context ends with the cause context.DeadlineExceeded at the deadline.
type deadlineContext struct {
	context.Context
	at time.Time // of the machineClock
}

// Deadline returns the time of the machineClock at which the context ends.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.at, true }

// Err returns context.DeadlineExceeded if a deadline has ended this context: its own or that of a context that it was
// derived from. Otherwise it returns the error of the embedded context, which is nil until the embedded context ends.
func (c *deadlineContext) Err() error {
	if errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// timer is a timer of a machineClock. The harness's mutex guards running and generation; the other fields don't change
// after the timer was first started.
type timer struct {
	harness    *harness
	request    uint64
	channel    chan time.Time
	onFire     func() // called by the world's goroutine when the timer fires
	running    bool
	generation uint64 // incremented by each start and stop; a scheduled event of an earlier generation has no effect
}

// newTimer returns a timer that is not running. When it fires, the world's goroutine calls onFire.
func (c machineClock) newTimer(onFire func()) *timer {
	return &timer{harness: c.harness, request: c.request, channel: make(chan time.Time, 1), onFire: onFire}
}

// Chan returns the channel to which the timer sends the time when it fires.
func (t *timer) Chan() <-chan time.Time { return t.channel }

// Reset starts the timer, so that it fires once d has passed, and reports whether it was running.
func (t *timer) Reset(d time.Duration) bool {
	wasRunning, generation := t.setRunning(true)
	t.harness.enqueue(t.request, func() { t.harness.machine.After(d, func() { t.fire(generation) }) })
	return wasRunning
}

// Stop stops the timer and reports whether it was running.
func (t *timer) Stop() bool {
	wasRunning, _ := t.setRunning(false)
	return wasRunning
}

// setRunning begins a new generation of the timer, either running or stopped. It returns whether the timer was running
// before and the number of the new generation.
func (t *timer) setRunning(running bool) (wasRunning bool, generation uint64) {
	t.harness.mutex.Lock()
	defer t.harness.mutex.Unlock()
	wasRunning = t.running
	t.running = running
	t.generation++
	return wasRunning, t.generation
}

// fire fires the timer if it is still running in the given generation, that is, if it was neither stopped nor started again
// since the event was scheduled. Only the world's goroutine may call it.
func (t *timer) fire(generation uint64) {
	t.harness.mutex.Lock()
	isDue := t.running && t.generation == generation
	if isDue {
		t.running = false
	}
	t.harness.mutex.Unlock()
	if isDue {
		t.harness.deliver(t.onFire)
	}
}

// sendTime sends the time on the timer's channel. It drops the time if the previous one has not been received yet.
func (t *timer) sendTime() {
	select {
	case t.channel <- machineClock{harness: t.harness}.Now():
	default:
	}
}

// ticker is a timer that its onFire function starts again.
type ticker struct{ *timer }

// Reset sets the time of the next tick only. Unlike the Reset of time.Ticker it does not change the period of later ticks;
// the shipped code doesn't reset tickers.
func (t ticker) Reset(d time.Duration) { t.timer.Reset(d) }

// Stop stops the ticker.
func (t ticker) Stop() { t.timer.Stop() }
