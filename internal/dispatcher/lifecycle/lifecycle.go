// Package lifecycle holds the phase that the program is in, from its start to its exit.
package lifecycle

import (
	"context"
	"fmt"
	"sync"
)

// Phase is one of the program's named states.
type Phase int

// The phases, in the only order in which they follow each other. Any of them may be skipped.
const (
	Starting Phase = iota // configuration is read, nothing is taken
	Serving               // requests are taken
	Draining              // asked to stop: requests are still taken, and every answer closes its connection
	Stopped               // nothing is taken any more and all that was taken has its answer
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

// Lifecycle is the program's present phase. It is safe for use by several goroutines.
type Lifecycle struct {
	mu       sync.Mutex
	phase    Phase
	onChange func(from, to Phase)
	reached  [Stopped + 1]context.Context
	enter    [Stopped + 1]context.CancelFunc
}

// New returns a Lifecycle in the phase Starting. onChange, if not nil, is told of every change, in order.
func New(onChange func(from, to Phase)) *Lifecycle {
	l := &Lifecycle{onChange: onChange}
	for p := range l.reached {
		l.reached[p], l.enter[p] = context.WithCancel(context.Background())
	}
	l.enter[Starting]()
	return l
}

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// Advance moves on to a later phase. It reports whether it did: a phase that was reached before, or passed,
// is not entered again, so that two signals do not drain twice.
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
		l.enter[p]()
	}
	return true
}

// Until returns a context that ends when phase p is reached or passed.
func (l *Lifecycle) Until(p Phase) context.Context {
	return l.reached[p]
}
