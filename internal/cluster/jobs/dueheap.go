package jobs

import "container/heap"

// notScheduled is the dueIndex of a job that waits for no repetition.
const notScheduled = -1

// dueHeap is a heap of the jobs that wait for their next repetition, the earliest first; if due together, by id.
type dueHeap []*Job

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	a, b := h[i].dueMs(h[i].opened), h[j].dueMs(h[j].opened)
	if a != b {
		return a < b
	}
	return h[i].ID < h[j].ID
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push appends a job. It is called by package heap alone.
func (h *dueHeap) Push(x any) {
	job := x.(*Job)
	job.dueIndex = len(*h)
	*h = append(*h, job)
}

// Pop removes the last job. It is called by package heap alone.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	job.dueIndex = notScheduled
	return job
}

// schedule adds the job, or moves it if its next repetition has changed.
func (h *dueHeap) schedule(job *Job) {
	if job.dueIndex == notScheduled {
		heap.Push(h, job)
	} else {
		heap.Fix(h, job.dueIndex)
	}
}

func (h *dueHeap) unschedule(job *Job) {
	if job.dueIndex != notScheduled {
		heap.Remove(h, job.dueIndex)
	}
}
