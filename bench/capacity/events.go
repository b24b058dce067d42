package main

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// timeline runs events in the order of their moments, and of their adding within one moment.
type timeline struct {
	now   time.Duration
	queue eventQueue
	order uint64
}

func (t *timeline) after(delay time.Duration, run func()) {
	t.order++
	heap.Push(&t.queue, event{t.now + delay, t.order, run})
}

// step runs the next event if it is not later than a moment, and tells whether there was one.
func (t *timeline) step(until time.Duration) bool {
	if len(t.queue) == 0 || t.queue[0].at > until {
		t.now = max(t.now, until)
		return false
	}
	next := heap.Pop(&t.queue).(event)
	t.now = next.at
	next.run()
	return true
}

// pass runs all events of a span.
func (t *timeline) pass(span time.Duration) {
	until := t.now + span
	for t.step(until) {
	}
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].order < q[b].order
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push appends an event, for package heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event off, for package heap.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}
