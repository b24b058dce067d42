package scheduler

import (
	"math"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
)

// IndexedTasks returns the pending tasks in the owner's index of pending steps, sorted.
func (o *Owner) IndexedTasks() (tasks []string) {
	for group := range o.pending.steps {
		for _, task := range appendPending(nil, group, math.MaxInt) {
			tasks = append(tasks, task.ID.String())
		}
	}
	slices.Sort(tasks)
	return tasks
}

// AgedTasks promotes aged steps as a round does, and returns the tasks that the round would consider.
func (o *Owner) AgedTasks(now time.Duration, service string) []*jobs.Task {
	return o.pending.promoteAged(now, o.clockMs(now), service, o.capacities[service])
}

// TakeExpired returns at most limit expired tasks, as a round takes them.
func (o *Owner) TakeExpired(service string, limit int) []*jobs.Task {
	return o.pending.takeExpired(service, limit)
}
