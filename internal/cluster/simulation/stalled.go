package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	stallSampleInterval = 500 * time.Millisecond // between two samples of all jobs
	stallThreshold      = 3 * time.Second        // a job that is stalled for so long breaks the rule LOST
)

// sampleStalledJobs samples all accepted jobs every stallSampleInterval until the end of the scenario. It records the jobs
// that were stalled in every sample for stallThreshold or longer. since holds, by job, the time of the first of these
// samples.
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

// isStalled reports whether no task of a job runs although one is due and there is ample capacity for it. A job is
// never stalled if a client cancelled it, if the last answered query showed it as failed, or if all its runs fail.
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

// hasAmpleCapacity reports whether the runners of the job's service that have the step's required label have free capacity
// for two tasks of the step, or for two gangs, while less than half of the service's CPU capacity is in use.
func (d *Deployment) hasAmpleCapacity(job *JobRecord, step *stepTruth) bool {
	service := d.serviceOfJob(job)
	neededTasks := 2
	if step.spec.Gang {
		neededTasks = 2 * step.spec.Count
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
	return fitting >= neededTasks && usedCPU*2 < totalCPU
}

// serviceOfJob returns the service to which a job belongs. A job stays with the service that accepted it, even when its
// queue moves to another service. Therefore the job's first run shows the service. Before that run, serviceOfJob assumes the
// queue's current service.
func (d *Deployment) serviceOfJob(job *JobRecord) string {
	for _, run := range d.History.Runs {
		if run.Task.Job == job.ID {
			return run.Runner.Service
		}
	}
	return d.serviceOf(job.Queue)
}

// serviceOf returns the service of a queue in the newest acknowledged configuration, or "" if there is none.
func (d *Deployment) serviceOf(queue QueueName) string {
	if d.Operator.current == nil {
		return ""
	}
	return d.Operator.current.records()[queue].Service
}

// tasksThatFit returns how many tasks of a step fit into the free capacity of a runner, at most 1000 and at most the step's
// antiAffinity.
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
