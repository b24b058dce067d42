package scheduler

import (
	"slices"

	"ospreypond/internal/cluster/jobs"
)

// IndexedTasks returns the pending tasks that the owner's index has, sorted.
func (o *Owner) IndexedTasks() (tasks []string) {
	for group := range o.pending.steps {
		for _, task := range pendingTasksOf(group) {
			tasks = append(tasks, task.ID.String())
		}
	}
	slices.Sort(tasks)
	return tasks
}

// TakeWorthless returns at most limit tasks without value, as a round would take them.
func (o *Owner) TakeWorthless(service string, limit int) []*jobs.Task {
	return o.pending.takeWorthless(service, limit)
}
