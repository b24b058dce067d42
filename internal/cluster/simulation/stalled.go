package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	stallSampleInterval = 500 * time.Millisecond
	stallThreshold      = 3 * time.Second // for which a job may have nothing running
)

// sampleStalledJobs records, again and again, the jobs that have been stalled for longer than the threshold, given since
// when each has been.
func (d *Deployment) sampleStalledJobs(since map[string]time.Duration) {
	now := d.World.now
	if now > d.History.Ends {
		return
	}
	for _, job := range d.History.JobOrder {
		if job.Accepted == Never || !d.isStalled(job) {
			delete(since, job.ID)
			continue
		}
		if _, ok := since[job.ID]; !ok {
			since[job.ID] = now
		}
		if from := since[job.ID]; now-from >= stallThreshold {
			d.History.StalledJobs = append(d.History.StalledJobs, StalledJob{ID: job.ID, From: from, To: now})
		}
	}
	d.World.After(stallSampleInterval, func() { d.sampleStalledJobs(since) })
}

// isStalled reports whether nothing of a job runs although a task of it is due and there is ample capacity for it.
func (d *Deployment) isStalled(job *JobRecord) bool {
	truth := d.GroundTruth.jobs[job.ID]
	if len(job.Cancels) > 0 || job.LastState() == protocol.JobFailed || truth.alwaysFails {
		return false
	}
	for _, runner := range d.AllRunners() {
		for _, e := range runner.active {
			if e.record.Task.Job == job.ID {
				return false
			}
		}
	}
	for repetition := range truth.due {
		for number := range job.Spec.Steps {
			step := truth.steps[stepName{job.ID, repetition, number}]
			if step.remaining > 0 && step.isDue(d.World.now) && d.hasAmpleCapacity(job, step) {
				return true
			}
		}
	}
	return false
}

// hasAmpleCapacity reports whether the runners of the job's service have free capacity for twice what a step starts with,
// while less than half of the service's capacity is in use.
func (d *Deployment) hasAmpleCapacity(job *JobRecord, step *stepTruth) bool {
	service := d.serviceOfJob(job)
	wanted := 2
	if step.spec.Gang {
		wanted = 2 * step.spec.Count
	}
	var usedCPU, totalCPU int64
	fitting := 0
	for _, runner := range d.AllRunners() {
		if runner.Service != service || !runner.Up() || runner.draining {
			continue
		}
		used := runner.used()
		usedCPU += used.CPU
		totalCPU += runner.Capacity.CPU
		if step.spec.Requirements != "" && step.spec.Requirements != runner.Kind {
			continue
		}
		fitting += tasksThatFit(runner.Capacity, used, step.spec)
	}
	return fitting >= wanted && usedCPU*2 < totalCPU
}

// serviceOfJob returns the service whose runners a job is for. A job stays with the service that it was accepted for, also
// when its queue moves to another one; while none of its tasks has run, it is taken to be that of its queue.
func (d *Deployment) serviceOfJob(job *JobRecord) string {
	for _, run := range d.History.Runs {
		if run.Task.Job == job.ID {
			return run.Runner.Service
		}
	}
	return d.serviceOf(job.Queue)
}

// serviceOf returns the service of a queue in the newest acknowledged configuration; "" if there is none.
func (d *Deployment) serviceOf(queue QueueName) string {
	if d.Operator.current == nil {
		return ""
	}
	return d.Operator.current.records()[queue].Service
}

// tasksThatFit returns how many tasks of a step fit beside what is used.
func tasksThatFit(capacity, used protocol.Resources, step *protocol.Step) int {
	fit := 1000
	if step.CPU > 0 {
		fit = min(fit, int((capacity.CPU-used.CPU)/step.CPU))
	}
	if step.MemoryMB > 0 {
		fit = min(fit, int((capacity.MemoryMB-used.MemoryMB)/step.MemoryMB))
	}
	if step.GPU > 0 {
		fit = min(fit, int((capacity.GPU-used.GPU)/step.GPU))
	}
	if step.AntiAffinity > 0 {
		fit = min(fit, step.AntiAffinity)
	}
	return max(0, fit)
}
