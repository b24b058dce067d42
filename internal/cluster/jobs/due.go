package jobs

import "container/heap"

// notWaiting is the dueIndex of a job that waits for no time.
const notWaiting = -1

// dueHeap holds the jobs that wait for their next time, the earliest first; at the same time, by job.
type dueHeap []*Job

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	a, b := h[i].dueMs(h[i].made), h[j].dueMs(h[j].made)
	if a != b {
		return a < b
	}
	return h[i].ID < h[j].ID
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push appends a job, for package heap.
func (h *dueHeap) Push(x any) {
	job := x.(*Job)
	job.dueIndex = len(*h)
	*h = append(*h, job)
}

// Pop takes the last job off, for package heap.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	job.dueIndex = notWaiting
	return job
}

// wait puts the job in its place, also if its next time has changed.
func (h *dueHeap) wait(job *Job) {
	if job.dueIndex == notWaiting {
		heap.Push(h, job)
	} else {
		heap.Fix(h, job.dueIndex)
	}
}

func (h *dueHeap) leave(job *Job) {
	if job.dueIndex != notWaiting {
		heap.Remove(h, job.dueIndex)
	}
}
