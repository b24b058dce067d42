package coordinator

import (
	"container/heap"
	"fmt"
	"time"

	"ospreypond/policy"
)

// module is one decision module with the settings it was made with. When the settings change, a new module takes
// the new requests while the one before decides on those it took until they have ended: a job keeps the class
// and the attempts that it started with.
type module struct {
	d      *policy.Dispatcher
	set    policy.Settings
	events []policy.Event // since its last step
	spare  []policy.Event
	timers timerHeap
	open   int // jobs that it holds
}

// ready tells whether the module has anything to decide on at now.
func (m *module) ready(now time.Duration) bool {
	return len(m.events) > 0 || len(m.timers) > 0 && m.timers[0].at <= now
}

// take returns the events of a step at now, the timers that are due among them.
func (m *module) take(now time.Duration) []policy.Event {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		m.events = append(m.events, policy.Event{Kind: policy.TimerFired, Token: m.timers[0].token})
		heap.Pop(&m.timers)
	}
	events := m.events
	m.events = m.spare[:0]
	return events
}

// done gives back a step's events for reuse.
func (m *module) done(events []policy.Event) {
	clear(events)
	m.spare = events[:0]
}

// toAll tells every module of what concerns no one job.
func (c *Coordinator) toAll(e policy.Event) {
	for _, m := range c.mods {
		m.events = append(m.events, e)
	}
}

// Retune has new requests decided on under new settings from now on; those under way keep theirs. It returns
// once they are queued ahead of every request that is submitted later, so that whoever lets the new classes in
// afterwards finds them decided on.
// An error is one of settings that no module starts with.
func (c *Coordinator) Retune(set policy.Settings) error {
	d, err := policy.New(set, c.seed)
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	c.do(func() {
		c.set = set
		c.begin(d, set)
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
