package simulation

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// EpochMs is the true time of day at which every world begins, in ms since 1970.
const EpochMs int64 = 1_700_000_000_000

// World is a discrete-event simulator: a queue of events in the order of their times, and a seeded source of randomness. It
// executes one event at a time. Events of the same time are executed in the order in which they were scheduled.
type World struct {
	// Random is the source from which the faults, the traffic and most delays are drawn.
	Random    *rand.Rand
	seed      uint64
	now       time.Duration
	queue     eventQueue
	lastOrder uint64 // the number of the event that was scheduled last, from 1
}

// NewWorld returns a world at time 0. Two worlds with the same seed that get the same calls execute the same events.
func NewWorld(seed uint64) *World {
	const stream = 0x6f73707265790001
	return &World{Random: rand.New(rand.NewPCG(seed, stream)), seed: seed}
}

// newStream returns a source of randomness that depends on the world's seed and the name only, so that the owner's draws do
// not depend on how many draws others have made.
func (w *World) newStream(name string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return rand.New(rand.NewPCG(w.seed, hash.Sum64()))
}

// Now returns the true time since the world began.
func (w *World) Now() time.Duration { return w.now }

// TimeOfDayMs returns the true time of day in ms since 1970.
func (w *World) TimeOfDayMs() int64 { return EpochMs + w.now.Milliseconds() }

// Timer is a scheduled event that can be cancelled.
type Timer struct {
	at   time.Duration
	call func() // nil once the event has been executed or cancelled
}

// Stop cancels the event. It has no effect on a nil timer or after the event.
func (t *Timer) Stop() {
	if t != nil {
		t.call = nil
	}
}

// Pending reports whether the event is still to come. It may be called on a nil timer.
func (t *Timer) Pending() bool { return t != nil && t.call != nil }

// At schedules f for a time. It replaces a time in the past by the current time.
func (w *World) At(at time.Duration, f func()) *Timer {
	w.lastOrder++
	timer := &Timer{at: max(at, w.now), call: f}
	w.queue.push(event{at: timer.at, order: w.lastOrder, timer: timer})
	return timer
}

// After schedules f for the time d from now.
func (w *World) After(d time.Duration, f func()) *Timer { return w.At(w.now+d, f) }

// Run executes all events up to a time, including events that these events schedule, and then sets the time to until.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		timer := w.queue.pop()
		w.now = timer.at
		if call := timer.call; call != nil {
			timer.call = nil
			call()
		}
	}
	w.now = max(w.now, until)
}

// Between returns a time drawn uniformly from [low, high). It returns low, without a draw, if that is empty.
func (w *World) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.Random.Int64N(int64(high-low)))
}

// Chance returns true with probability p. It draws no random number if p is 0.
func (w *World) Chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

// Exponential returns a time drawn from the exponential distribution with that mean, capped at eight times the mean.
func (w *World) Exponential(mean time.Duration) time.Duration {
	const maxMeans = 8
	return min(time.Duration(w.Random.ExpFloat64()*float64(mean)), maxMeans*mean)
}

// Pick returns one of the values, drawn uniformly. It panics if there are none.
func Pick[T any](w *World, values []T) T { return values[w.Random.IntN(len(values))] }

// eventQueue is a binary min-heap of events. It does not use container/heap, and holds the times by value, because most of
// the simulator's own work is to compare them.
type eventQueue []event

// event is a timer's entry in the queue. A stopped timer stays in the queue until its time, and then has no effect.
type event struct {
	at    time.Duration
	order uint64
	timer *Timer
}

// before reports whether e is executed before other.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

func (q *eventQueue) push(added event) {
	heap := append(*q, added)
	child := len(heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !heap[child].before(&heap[parent]) {
			break
		}
		heap[child], heap[parent] = heap[parent], heap[child]
		child = parent
	}
	*q = heap
}

func (q *eventQueue) pop() *Timer {
	heap := *q
	first := heap[0].timer
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = event{}
	heap = heap[:last]
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			break
		}
		if child+1 < last && heap[child+1].before(&heap[child]) {
			child++
		}
		if !heap[child].before(&heap[parent]) {
			break
		}
		heap[child], heap[parent] = heap[parent], heap[child]
		parent = child
	}
	*q = heap
	return first
}
