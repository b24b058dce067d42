package coordinator

import (
	"container/heap"
	"fmt"
	"time"

	"ospreypond/policy"
)

// module is one decision module with the settings it was made with. When the settings change, a new module takes
// new requests while the former one decides on its own until they have ended: a job keeps the class and the limits
// that it started with.
type module struct {
	d        *policy.Dispatcher
	set      policy.Settings
	events   []policy.Event // since its last step
	spare    []policy.Event
	timers   timerHeap
	openJobs int // jobs that it decides on
}

// ready reports whether the module has an event or a due timer.
func (m *module) ready(now time.Duration) bool {
	return len(m.events) > 0 || len(m.timers) > 0 && m.timers[0].at <= now
}

// take returns the events of a step at now, due timers included.
func (m *module) take(now time.Duration) []policy.Event {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		m.events = append(m.events, policy.Event{Kind: policy.TimerFired, Token: m.timers[0].token})
		heap.Pop(&m.timers)
	}
	events := m.events
	m.events = m.spare[:0]
	return events
}

// done returns a step's events for reuse.
func (m *module) done(events []policy.Event) {
	clear(events)
	m.spare = events[:0]
}

// broadcast passes an event that concerns no single job to every module.
func (c *Coordinator) broadcast(e policy.Event) {
	for _, m := range c.modules {
		m.events = append(m.events, e)
	}
}

// Retune applies new settings to requests submitted after it has returned; open requests keep theirs. It returns
// an error for settings that no module starts with, and then changes nothing.
func (c *Coordinator) Retune(set policy.Settings) error {
	d, err := policy.New(set, c.seed)
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	c.enqueue(func() {
		c.set = set
		c.activate(d, set)
	})
	return nil
}

type timer struct {
	at    time.Duration
	token uint64
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(a, b int) bool { return h[a].at < h[b].at }
func (h timerHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
