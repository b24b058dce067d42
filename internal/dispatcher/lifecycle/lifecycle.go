// Package lifecycle keeps the phase of the process, from its start to its exit.
package lifecycle

import (
	"context"
	"fmt"
	"sync"
)

// Phase is a phase of the process.
type Phase int

// The phases, in order. A phase may be skipped, and is entered at most once.
const (
	Starting Phase = iota // the configuration is being read and no request is accepted
	Serving               // requests are accepted
	Draining              // the process was asked to stop: requests are still accepted, but each response closes its connection
	Stopped               // no request is accepted, and each request has its response
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Stopped:
		return "stopped"
	}
	return fmt.Sprintf("Phase(%d)", int(p))
}

// Lifecycle holds the current phase of the process. It is safe for concurrent use.
type Lifecycle struct {
	mu       sync.Mutex // guards phase
	phase    Phase
	onChange func(from, to Phase)
	reached  [Stopped + 1]context.Context    // by phase: ends when the phase is reached or passed
	cancel   [Stopped + 1]context.CancelFunc // by phase: ends its context in reached
}

// New returns a Lifecycle in phase Starting. onChange, if not nil, is called at each change, in order. It is called with the
// Lifecycle's lock held, so it must not call Phase or Advance.
func New(onChange func(from, to Phase)) *Lifecycle {
	l := &Lifecycle{onChange: onChange}
	for p := range l.reached {
		l.reached[p], l.cancel[p] = context.WithCancel(context.Background())
	}
	l.cancel[Starting]()
	return l
}

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Advance enters phase to and reports whether it did. It does not enter a phase that was reached or skipped before, so that
// a second signal to stop doesn't start a second drain.
func (l *Lifecycle) Advance(to Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to <= l.phase || to > Stopped {
		return false
	}
	from := l.phase
	l.phase = to
	if l.onChange != nil {
		l.onChange(from, to)
	}
	for p := from + 1; p <= to; p++ {
		l.cancel[p]()
	}
	return true
}

// Until returns a context that ends when phase p is reached or passed.
func (l *Lifecycle) Until(p Phase) context.Context {
	return l.reached[p]
}
