package jobs

import "slices"

// JobIDs returns the ids of jobs whose state is kept, in order, after one (empty: from the first) and at most so many.
// With a queue's key, only those of the queue.
func (s *State) JobIDs(queue, after string, most int) []string {
	var ids []string
	for id, job := range s.jobs {
		if id > after && (queue == "" || job.Queue.Key == queue) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(most, len(ids))]
}

// Progress counts the tasks of a job's times that are there: those done, those of which a run may exist, and all.
// Tasks of times that are wholly done or not due yet are not counted.
func (j *Job) Progress() (done, running, all int) {
	for _, group := range j.Groups {
		all += len(group.Tasks)
		done += len(group.Tasks) - group.Left
		running += group.Alive
	}
	return done, running, all
}
