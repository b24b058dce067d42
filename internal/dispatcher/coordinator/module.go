package coordinator

import (
	"container/heap"
	"fmt"
	"time"

	"ospreypond/policy"
)

// module is a decision module with its settings, queued events and timers. When the settings change, a new module gets
// the new requests, and the former one decides on its requests until they have ended. So a job keeps the class and the
// limits that it arrived with.
type module struct {
	dispatcher  *policy.Dispatcher
	settings    policy.Settings
	events      []policy.Event // queued since the last step
	eventBuffer []policy.Event // the buffer of the last step's events, to be reused
	timers      timerHeap
	openJobs    int // number of jobs that it decides on
}

// ready reports whether the module has an event or a timer that is due at now.
func (m *module) ready(now time.Duration) bool {
	return len(m.events) > 0 || len(m.timers) > 0 && m.timers[0].at <= now
}

// takeEvents removes and returns the events for a step at now, including the events of due timers.
func (m *module) takeEvents(now time.Duration) []policy.Event {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		m.events = append(m.events, policy.Event{Kind: policy.TimerFired, Token: m.timers[0].token})
		heap.Pop(&m.timers)
	}
	events := m.events
	m.events = m.eventBuffer[:0]
	return events
}

// recycleEvents takes back the events that takeEvents returned, so that their buffer is reused.
func (m *module) recycleEvents(events []policy.Event) {
	clear(events)
	m.eventBuffer = events[:0]
}

// broadcast queues an event that doesn't concern a single job for every module.
func (c *Coordinator) broadcast(e policy.Event) {
	for _, m := range c.modules {
		m.events = append(m.events, e)
	}
}

// UpdateSettings applies new settings to requests that are submitted after it has returned. Open requests keep theirs.
// If the settings are invalid, it returns an error and keeps the old settings.
func (c *Coordinator) UpdateSettings(set policy.Settings) error {
	d, err := policy.New(set, c.seed)
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	c.enqueue(func() {
		c.settings = set
		c.activate(d, set)
	})
	return nil
}

// timer is a timer that a module set by policy.ArmTimer.
type timer struct {
	at    time.Duration
	token uint64
}

// timerHeap implements heap.Interface: the earliest timer is first.
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
