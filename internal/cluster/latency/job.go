package latency

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// JobSummary is why a job that has ended took its time: the reasons along its longest chain of dependent steps.
type JobSummary struct {
	Took      time.Duration // from its acceptance on
	Objective time.Duration
	Times     Times // its sum is Took
}

// IsLate reports whether the job ended beyond its objective.
func (j *JobSummary) IsLate() bool { return j.Took > j.Objective }

// JobEnded records that a job has ended, took being its time from its acceptance on, and returns its summary. The
// objective is that of its queue over the runs on the chain, those that failed included: which of them failed by the job's
// own fault is unknown. ok is false for jobs that were cancelled or have repetitions: they have no summary.
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

// lastFinished returns the record that finished last: of all if later is nil, else of those on which later's group
// depends. It returns nil if there is none.
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

func dependsOn(later, earlier *jobs.Group) bool {
	if later.Repetition != earlier.Repetition {
		return false
	}
	return slices.Contains(later.Spec().DependsOn, earlier.Step)
}
