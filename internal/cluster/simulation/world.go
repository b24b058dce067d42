package simulation

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// EpochMs is the true time of day at which every world begins, in ms since 1970.
const EpochMs int64 = 1_700_000_000_000

// World is virtual time: events in the order of their times, and one seeded source of luck. Nothing in it runs at the
// same time as anything else.
type World struct {
	Random    *rand.Rand
	seed      uint64
	now       time.Duration
	queue     eventQueue
	lastOrder uint64
}

// NewWorld returns a world at time 0. Worlds of the same seed that are given the same calls run the same.
func NewWorld(seed uint64) *World {
	const stream = 0x6f73707265790001
	return &World{Random: rand.New(rand.NewPCG(seed, stream)), seed: seed}
}

// newStream returns a source of luck of its own for what has that name.
func (w *World) newStream(name string) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return rand.New(rand.NewPCG(w.seed, hash.Sum64()))
}

// Now returns the true time since the world began.
func (w *World) Now() time.Duration { return w.now }

// TimeOfDayMs returns the true time of day in ms since 1970.
func (w *World) TimeOfDayMs() int64 { return EpochMs + w.now.Milliseconds() }

// Timer is an event that can be called off.
type Timer struct {
	at   time.Duration
	call func()
}

// Stop calls the event off. A nil timer, or one that has fired, is left as it is.
func (t *Timer) Stop() {
	if t != nil {
		t.call = nil
	}
}

// CountPending tells whether the event is still to come.
func (t *Timer) Pending() bool { return t != nil && t.call != nil }

// At calls f at a time; one that has passed means now, after what was asked for earlier.
func (w *World) At(at time.Duration, f func()) *Timer {
	w.lastOrder++
	timer := &Timer{at: max(at, w.now), call: f}
	w.queue.push(queued{at: timer.at, order: w.lastOrder, timer: timer})
	return timer
}

// After calls f once d has passed.
func (w *World) After(d time.Duration, f func()) *Timer { return w.At(w.now+d, f) }

// Number plays all events up to a time and stops there.
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

// Between returns a time drawn evenly from [low, high).
func (w *World) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.Random.Int64N(int64(high-low)))
}

// Chance is true with probability p.
func (w *World) Chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

// Exponential returns a time drawn with the given mean, at most eight times as long.
func (w *World) Exponential(mean time.Duration) time.Duration {
	const longest = 8
	return min(time.Duration(w.Random.ExpFloat64()*float64(mean)), longest*mean)
}

// Pick returns one of the values, drawn evenly.
func Pick[T any](w *World, values []T) T { return values[w.Random.IntN(len(values))] }

// eventQueue is a heap of events, the next one first. Times stand in it by value: looking at them is most of its work.
type eventQueue []queued

type queued struct {
	at    time.Duration
	order uint64
	timer *Timer
}

func (a *queued) before(b *queued) bool { return a.at < b.at || a.at == b.at && a.order < b.order }

func (q *eventQueue) push(event queued) {
	heap := append(*q, event)
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
	heap[last] = queued{}
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
