// Package lifecycle holds the phase of the program, from its start to its exit.
package lifecycle

import (
	"context"
	"fmt"
	"sync"
)

// Phase is a state of the program.
type Phase int

// The phases, in their order. Any of them may be skipped; none is entered again.
const (
	Starting Phase = iota // the configuration is read, no request is accepted
	Serving               // requests are accepted
	Draining              // asked to stop: requests are still accepted, and every response closes its connection
	Stopped               // no request is accepted and every request has its response
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

// Lifecycle is the program's present phase. It is safe for concurrent use.
type Lifecycle struct {
	mu       sync.Mutex
	phase    Phase
	onChange func(from, to Phase)
	reached  [Stopped + 1]context.Context
	cancel   [Stopped + 1]context.CancelFunc
}

// New returns a Lifecycle in the phase Starting. onChange, if not nil, is called with every change, in order, with
// the Lifecycle's lock held: it must not call back.
func New(onChange func(from, to Phase)) *Lifecycle {
	l := &Lifecycle{onChange: onChange}
	for p := range l.reached {
		l.reached[p], l.cancel[p] = context.WithCancel(context.Background())
	}
	l.cancel[Starting]()
	return l
}

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Advance enters a later phase. It reports whether it did: a phase that was reached or skipped before is not entered
// again, so that two signals do not drain twice.
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
