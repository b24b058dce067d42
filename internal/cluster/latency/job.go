package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// JobSummary says where the time of a job that has ended was spent. It covers the job's critical path: the chain of
// dependent steps that finished last, see lastFinished.
type JobSummary struct {
	Took      time.Duration // from the job's acceptance to its end
	Objective time.Duration // the longest Took that is not late
	Times     Times         // Took by wait reason; the sum exceeds Took if the steps' own times do
}

// IsLate reports whether the job took longer than its objective.
func (j *JobSummary) IsLate() bool { return j.Took > j.Objective }

// JobEnded records that a job has ended, returns its summary, and drops its records. took is the time from its acceptance to
// its end. The summary is computed as follows:
//   - Times is the sum of the times of the last task of each step on the critical path. If the sum is less than took, the
//     difference is added to Unowned: this time was before the record began.
//   - Objective is TargetLatencyMs of the queue, plus Extension (at least 1) times the time of runs on the critical path.
//     Runs that failed are included, because it is unknown whether the job or its runner was at fault.
//
// ok is false for jobs that were cancelled or have repetitions, which have no summary.
func (r *Recorder) JobEnded(job *jobs.Job, took time.Duration) (summary JobSummary, ok bool) {
	records := r.jobs[job]
	delete(r.jobs, job)
	for _, record := range records {
		delete(r.groups, record.group)
	}
	if job.Spec.Repetitions > 0 || job.State == protocol.JobCancelled {
		return JobSummary{}, false
	}
	summary = JobSummary{Took: took}
	for record := lastFinished(records, nil); record != nil; record = lastFinished(records, record) {
		summary.Times.Add(&record.lastTaskTimes)
	}
	summary.Times[Unowned] += max(took-summary.Times.Sum(), 0)
	extension := max(job.Queue.Extension, 1)
	summary.Objective = time.Duration(job.Queue.TargetLatencyMs)*time.Millisecond +
		time.Duration(extension*float64(summary.Times[Running]+summary.Times[Failed]))
	queue := r.queue(job.Queue.Key)
	queue.Ended++
	if summary.IsLate() {
		queue.Late++
	}
	return summary, true
}

// lastFinished is one step backwards on the critical path. It returns the step that finished last among those on which later
// depends or, if later is nil, among all steps of the job. It returns nil if no such step has finished.
func lastFinished(records []*groupRecord, later *groupRecord) (last *groupRecord) {
	for _, record := range records {
		if record.finishedAt == 0 || later != nil && !dependsOn(later.group, record.group) {
			continue
		}
		if last == nil || record.finishedAt > last.finishedAt {
			last = record
		}
	}
	return last
}

// dependsOn reports whether later must wait for earlier: both are in the same repetition and later's step names earlier's.
func dependsOn(later, earlier *jobs.Group) bool {
	if later.Repetition != earlier.Repetition {
		return false
	}
	return slices.Contains(later.Spec().DependsOn, earlier.Step)
}
