package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// shellClock is the monotonic clock of a shell's machine. Its timers fire in the incarnation of the process only, and not
// while the machine is frozen. It implements deadline.Clock.
type shellClock struct {
	shell   *shell
	request uint64 // that its timers belong to, see shell.enqueue
}

// ForContext returns the clock whose timers belong to a context's request.
func (c shellClock) ForContext(ctx context.Context) clockwork.Clock {
	return shellClock{c.shell, requestOf(ctx)}
}

// Now returns the time of day at the start of the process plus the monotonic time since then.
func (c shellClock) Now() time.Time { return c.shell.clockStart.Add(c.shell.machine.Monotonic()) }

// Since returns the time since t.
func (c shellClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c shellClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep returns once d has passed.
func (c shellClock) Sleep(d time.Duration) { <-c.After(d) }

// After returns a channel that delivers the time once d has passed.
func (c shellClock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer returns a timer that delivers the time once d has passed.
func (c shellClock) NewTimer(d time.Duration) clockwork.Timer {
	t := c.newTimer(nil)
	t.onFire = t.sendTime
	t.Reset(d)
	return t
}

// AfterFunc calls f in a goroutine of its own once d has passed.
func (c shellClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	t := c.newTimer(func() { go f() })
	t.Reset(d)
	return t
}

// NewTicker returns a ticker that delivers the time every d.
func (c shellClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := c.newTimer(nil)
	t.onFire = func() {
		t.Reset(d) // first, because the receiver may stop the ticker
		t.sendTime()
	}
	t.Reset(d)
	return ticker{t}
}

// WithDeadline returns a context that ends with its parent, by its cancel function, or at a time of this clock.
func (c shellClock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if earlier, ok := parent.Deadline(); ok && earlier.Before(at) {
		return context.WithCancel(parent)
	}
	inner, cancel := context.WithCancelCause(parent)
	t := shellClock{c.shell, requestOf(parent)}.newTimer(func() { cancel(context.DeadlineExceeded) })
	t.Reset(c.Until(at))
	return &deadlineContext{inner, at}, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// deadlineContext is a context that ends at a time of a shell's clock.
type deadlineContext struct {
	context.Context
	at time.Time
}

// Deadline returns when the context ends.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.at, true }

// Err returns why the context has ended, or nil.
func (c *deadlineContext) Err() error {
	if errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// timer is a timer of a shell. The shell's mutex guards what changes.
type timer struct {
	shell      *shell
	request    uint64
	channel    chan time.Time
	onFire     func() // called by the world's goroutine
	running    bool
	generation uint64 // counts starts and stops; an event of an earlier one does nothing
}

// newTimer returns a timer that is not running and calls onFire, in the world's goroutine, when it fires.
func (c shellClock) newTimer(onFire func()) *timer {
	return &timer{shell: c.shell, request: c.request, channel: make(chan time.Time, 1), onFire: onFire}
}

// Chan returns the channel on which the time is delivered.
func (t *timer) Chan() <-chan time.Time { return t.channel }

// Reset starts the timer and reports whether it was running.
func (t *timer) Reset(d time.Duration) bool {
	wasRunning, generation := t.setRunning(true)
	t.shell.enqueue(t.request, func() { t.shell.machine.After(d, func() { t.fire(generation) }) })
	return wasRunning
}

// Stop stops the timer and reports whether it was running.
func (t *timer) Stop() bool {
	wasRunning, _ := t.setRunning(false)
	return wasRunning
}

// setRunning begins a generation of the timer, which is running or stopped.
func (t *timer) setRunning(running bool) (wasRunning bool, generation uint64) {
	t.shell.mutex.Lock()
	defer t.shell.mutex.Unlock()
	wasRunning = t.running
	t.running = running
	t.generation++
	return wasRunning, t.generation
}

// fire is called by the world's goroutine at the time that was set in a generation.
func (t *timer) fire(generation uint64) {
	t.shell.mutex.Lock()
	isDue := t.running && t.generation == generation
	if isDue {
		t.running = false
	}
	t.shell.mutex.Unlock()
	if isDue {
		t.shell.deliver(t.onFire)
	}
}

// sendTime delivers the time, unless the one before has not been received yet.
func (t *timer) sendTime() {
	select {
	case t.channel <- shellClock{shell: t.shell}.Now():
	default:
	}
}

// ticker is a timer that starts again by itself.
type ticker struct{ *timer }

// Reset sets the time of the next tick only. The period after it stays what it was, unlike that of time.Ticker: the
// shipped code resets no tickers.
func (t ticker) Reset(d time.Duration) { t.timer.Reset(d) }

// Stop stops the ticker.
func (t ticker) Stop() { t.timer.Stop() }
