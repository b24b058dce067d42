package cluster

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// shellClock is the steady clock of a shell's machine. Its timers fire in the life of the process only, and not while
// the machine stands still. It implements deadline.Clock.
type shellClock struct {
	shell   *shell
	request uint64 // that its timers belong to
}

// In returns the clock for the timers of a context's request.
func (c shellClock) In(ctx context.Context) clockwork.Clock {
	return shellClock{c.shell, requestOf(ctx)}
}

// Now returns the time of day at the start of the process and the steady time since then.
func (c shellClock) Now() time.Time { return c.shell.clockStart.Add(c.shell.machine.Monotonic()) }

// Since returns the time since t.
func (c shellClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c shellClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep waits for a time.
func (c shellClock) Sleep(d time.Duration) { <-c.After(d) }

// After returns a channel that brings the time once d has passed.
func (c shellClock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer returns a timer that brings the time once d has passed.
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

// NewTicker returns a ticker that brings the time every d.
func (c shellClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := c.newTimer(nil)
	t.onFire = func() {
		t.Reset(d) // first: who is told may stop it
		t.sendTime()
	}
	t.Reset(d)
	return ticker{t}
}

// WithDeadline returns a context that ends with its parent, by its cancel function or at a time.
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

// Err returns why the context has ended, nil if it has not.
func (c *deadlineContext) Err() error {
	if context.Cause(c.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// timer is a timer of a shell. The shell's mutex guards what changes.
type timer struct {
	shell      *shell
	request    uint64 // that it belongs to
	channel    chan time.Time
	onFire     func() // called by the world's goroutine
	running    bool
	generation uint64 // an event of an earlier start does nothing
}

func (c shellClock) newTimer(fired func()) *timer {
	return &timer{shell: c.shell, request: c.request, channel: make(chan time.Time, 1), onFire: fired}
}

// Chan returns the channel on which the time comes.
func (t *timer) Chan() <-chan time.Time { return t.channel }

// Reset starts the timer and tells whether it was running.
func (t *timer) Reset(d time.Duration) bool {
	was, start := t.setRunning(true)
	t.shell.enqueue(t.request, func() { t.shell.machine.After(d, func() { t.fire(start) }) })
	return was
}

// Stop stops the timer and tells whether it was running.
func (t *timer) Stop() bool {
	was, _ := t.setRunning(false)
	return was
}

func (t *timer) setRunning(running bool) (was bool, start uint64) {
	t.shell.mutex.Lock()
	defer t.shell.mutex.Unlock()
	was = t.running
	t.running = running
	t.generation++
	return was, t.generation
}

// fire is called by the world's goroutine when the time of a start has come.
func (t *timer) fire(start uint64) {
	t.shell.mutex.Lock()
	due := t.running && t.generation == start
	if due {
		t.running = false
	}
	t.shell.mutex.Unlock()
	if due {
		t.shell.step(t.onFire)
	}
}

// sendTime brings the time, unless the last one has not been taken yet.
func (t *timer) sendTime() {
	select {
	case t.channel <- shellClock{shell: t.shell}.Now():
	default:
	}
}

// ticker is a timer that starts again by itself.
type ticker struct{ *timer }

// Reset starts the ticker anew; the shells don't, and its period stays.
func (t ticker) Reset(d time.Duration) { t.timer.Reset(d) }

// Stop stops the ticker.
func (t ticker) Stop() { t.timer.Stop() }
