package scheduler

import "container/heap"

// notInHeap is the heapIndex of a step that isn't in the heap.
const notInHeap = -1

var _ heap.Interface = (*changeHeap)(nil)

// changeHeap is a min-heap of steps, ordered by the time at which their class is expected to change.
type changeHeap []*pendingStep

func (h changeHeap) Len() int           { return len(h) }
func (h changeHeap) Less(i, j int) bool { return h[i].changesAt < h[j].changesAt }

func (h changeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a step. Only package heap calls it.
func (h *changeHeap) Push(x any) {
	step := x.(*pendingStep)
	step.heapIndex = len(*h)
	*h = append(*h, step)
}

// Pop removes the last step. Only package heap calls it.
func (h *changeHeap) Pop() any {
	last := len(*h) - 1
	step := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	step.heapIndex = notInHeap
	return step
}
