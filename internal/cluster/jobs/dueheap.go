package jobs

import "container/heap"

// notScheduled is the Job.dueIndex of a job that is not in the dueHeap.
const notScheduled = -1

// dueHeap is a heap of the jobs that wait for their next repetition to fall due, the earliest first. Jobs that fall due at
// the same time are ordered by id, so that all replicas open their repetitions in the same order.
type dueHeap []*Job

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	a, b := h[i].dueMs(h[i].openedRepetitions), h[j].dueMs(h[j].openedRepetitions)
	if a != b {
		return a < b
	}
	return h[i].ID < h[j].ID
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push appends a job. Only package heap calls it.
func (h *dueHeap) Push(x any) {
	job := x.(*Job)
	job.dueIndex = len(*h)
	*h = append(*h, job)
}

// Pop removes the last job. Only package heap calls it.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	job.dueIndex = notScheduled
	return job
}

// schedule adds the job, or moves it to its new place if it is in the heap and its next repetition has changed.
func (h *dueHeap) schedule(job *Job) {
	if job.dueIndex == notScheduled {
		heap.Push(h, job)
	} else {
		heap.Fix(h, job.dueIndex)
	}
}

// unschedule removes the job if it is in the heap.
func (h *dueHeap) unschedule(job *Job) {
	if job.dueIndex != notScheduled {
		heap.Remove(h, job.dueIndex)
	}
}
