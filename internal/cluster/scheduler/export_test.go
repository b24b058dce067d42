package scheduler

import (
	"math"
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
)

// IndexedTasks returns the pending tasks that the owner's index has, sorted.
func (o *Owner) IndexedTasks() (tasks []string) {
	for group := range o.pending.steps {
		for _, task := range appendPending(nil, group, math.MaxInt) {
			tasks = append(tasks, task.ID.String())
		}
	}
	slices.Sort(tasks)
	return tasks
}

// AgedTasks returns the tasks of the steps that are run though they have no value, as a round would take them.
func (o *Owner) AgedTasks(now time.Duration, service string) []*jobs.Task {
	return o.pending.age(now, o.clockMs(now), service, o.capacities[service])
}

// TakeWorthless returns at most limit tasks without value, as a round would take them.
func (o *Owner) TakeWorthless(service string, limit int) []*jobs.Task {
	return o.pending.takeWorthless(service, limit)
}
