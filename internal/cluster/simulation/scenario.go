package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Scenario is how a simulated day goes.
type Scenario struct {
	Warmup      time.Duration // from the machines' start to the first traffic
	Length      time.Duration // of the traffic, a final fault's recovery apart
	Faults      []string      // kinds, each beginning at a drawn time; one may come several times
	Overlapping bool          // they begin within a short time of each other
	FinalFault  string        // final fault: "", power_off_all, kill_all or wipe_after_ack
}

// Times of a day.
const (
	probeInterval       = 120 * time.Millisecond
	stallSampleInterval = 500 * time.Millisecond
	stallThreshold      = 3 * time.Second
	finalQueryInterval  = 700 * time.Millisecond
	finalTraffic        = 4 * time.Second // traffic after the recovery from a final fault
)

// Play plays a day. The machines have their processes; nothing was started yet.
func (d *Deployment) Play(day Scenario) {
	w := d.World
	d.recordFault(Fault{From: 0, To: day.Warmup / 2, Kind: "start", ControlPlane: true})
	d.BootAll()
	w.After(200*time.Millisecond, d.Operator.SubmitFirst)
	trafficEnds := day.Warmup + day.Length
	if day.FinalFault != "" {
		trafficEnds = d.scheduleFinalFault(day, trafficEnds)
	}
	d.History.TrafficEnds = trafficEnds
	d.History.Ends = trafficEnds + d.History.Bounds.Finish
	w.At(day.Warmup, func() { d.Traffic(trafficEnds) })
	w.At(day.Warmup, func() { d.probeRoutes(trafficEnds) })
	for _, name := range day.Faults {
		d.scheduleFault(name, day)
	}
	w.At(trafficEnds, d.finish)
	w.Run(d.History.Ends)
}

// scheduleFault lets a kind of trouble begin at a drawn time, so that it is over in time.
func (d *Deployment) scheduleFault(name string, day Scenario) {
	kind, ok := FaultKindOf(name)
	if !ok {
		panic(fmt.Sprintf("no kind of trouble %q", name))
	}
	const least, most, spread = time.Second, 6 * time.Second, time.Second
	at := day.Warmup + d.World.Between(0, day.Length*3/4)
	if day.Overlapping {
		at = day.Warmup + day.Length/3 + d.World.Between(0, spread)
	}
	lasts := d.World.Between(least, min(most, day.Warmup+day.Length-at))
	d.World.At(at, func() { kind.Begin(d, lasts) })
}

// scheduleFinalFault plans the final fault, right after a change was acknowledged. It returns when traffic ends.
func (d *Deployment) scheduleFinalFault(day Scenario, at time.Duration) time.Duration {
	const down = 1400 * time.Millisecond
	recovered := at + time.Second + down + d.History.Bounds.Recovery
	d.finalFaultAt = at
	struck := false
	strike := func(by *Machine) {
		if struck {
			return
		}
		struck = true
		d.finalFault(day.FinalFault, by, down)
	}
	d.World.At(at, func() {
		d.Operator.OnAcknowledged = func(by *Machine) {
			d.World.After(d.World.Between(0, 4*time.Millisecond), func() { strike(by) })
		}
		d.Operator.Change(nil)
	})
	d.World.At(at+time.Second, func() { strike(Pick(d.World, d.Controls)) })
	return recovered + finalTraffic
}

// finalFault strikes: all machines lose power, all processes are killed, or one core machine loses its disk while the
// others may lose power.
func (d *Deployment) finalFault(kind string, by *Machine, down time.Duration) {
	d.History.FinalFault = d.World.now
	d.History.Returned = d.World.now + down
	machines := append(append([]*Machine{}, d.Controls...), d.Frontends...)
	machines = append(machines, d.AgentMachines...)
	others := d.World.Chance(0.5)
	for _, m := range machines {
		if !m.up {
			continue
		}
		switch {
		case kind != "wipe_after_ack":
			d.killMachine(m, down, kind == "power_off_all")
		case m == by:
			d.killMachine(m, down, true)
			m.Wipe()
		case others && isControl(m):
			d.killMachine(m, down, true)
		}
	}
	now := d.World.now
	d.recordFault(Fault{From: now, To: now + down + d.History.Bounds.Contact, Kind: kind, ControlPlane: true})
}

// probeRoutes asks for counts on routes that were just added or removed.
func (d *Deployment) probeRoutes(until time.Duration) {
	if d.World.now >= until {
		return
	}
	const recent = 6
	d.queryRecentProbe(recent)
	d.World.After(probeInterval, func() { d.probeRoutes(until) })
}

// queryRecentProbe asks for the count on the route that one of the newest configurations has added.
func (d *Deployment) queryRecentProbe(newest int) {
	if records := d.History.Configuration; len(records) > 0 {
		record := records[len(records)-1-d.World.Random.IntN(min(newest, len(records)))]
		d.Clients.QueryPending(QueueName{ProbeHost, fmt.Sprintf("/v%d/", record.Version)})
	}
}

// finish asks for each job's state, reads the configuration back, and looks for jobs that stand still.
func (d *Deployment) finish() {
	w := d.World
	ends := d.History.Ends
	for _, job := range d.History.JobOrder {
		if job.Accepted != Never {
			w.After(w.Between(0, time.Second), func() { d.queryUntilEnded(job) })
		}
	}
	w.At(ends-d.History.Bounds.Contact, func() { d.Operator.ReadBack(ends) })
	// What ran on a runner that was lost can go on only when its last hold is certainly over.
	w.After(d.History.Bounds.MaxLease+time.Second, func() { d.sampleStalledJobs(map[string]time.Duration{}) })
}

// queryUntilEnded asks until the job has ended.
func (d *Deployment) queryUntilEnded(job *JobRecord) {
	if d.World.now > d.History.Ends-d.Clients.Timeout {
		return
	}
	d.Clients.QueryState(job, func(status int, state string) {
		if status == 200 && (state == protocol.JobCompleted || state == protocol.JobFailed || state == protocol.JobCancelled) {
			return
		}
		pause := finalQueryInterval
		if status != 200 {
			pause = finalQueryInterval / 3
		}
		d.World.After(d.World.Between(pause, 2*pause), func() { d.queryUntilEnded(job) })
	})
}

// sampleStalledJobs notes jobs that have nothing running although they could.
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

// isStalled tells whether nothing of a job runs although a task's turn has come and there is ample room for it.
func (d *Deployment) isStalled(job *JobRecord) bool {
	truth := d.GroundTruth.jobs[job.ID]
	if len(job.Cancels) > 0 || job.LastState() == protocol.JobFailed || truth.alwaysFails {
		return false
	}
	for _, runner := range append(append([]*Runner{}, d.Runners...), d.Spares...) {
		for _, e := range runner.active {
			if e.record.Task.Job == job.ID {
				return false
			}
		}
	}
	for k := range truth.due {
		for s := range job.Spec.Steps {
			group := truth.steps[stepName{job.ID, k, s}]
			if group.remaining > 0 && group.isDue(d.World.now) && d.hasAmpleCapacity(job, group) {
				return true
			}
		}
	}
	return false
}

// hasAmpleCapacity tells whether twice what a group may start with has room now on runners of the job's service, and less than
// half of the service's capacity is in use.
func (d *Deployment) hasAmpleCapacity(job *JobRecord, group *stepTruth) bool {
	service := d.serviceOfJob(job)
	wanted := 2
	if group.spec.Gang {
		wanted = 2 * group.spec.Count
	}
	var used, capacity int64
	room := 0
	for _, runner := range append(append([]*Runner{}, d.Runners...), d.Spares...) {
		if runner.Service != service || !runner.Up() || runner.draining {
			continue
		}
		use := runner.used()
		used += use.CPU
		capacity += runner.Capacity.CPU
		if group.spec.Requirements != "" && group.spec.Requirements != runner.Kind {
			continue
		}
		room += tasksThatFit(runner.Capacity, use, group.spec)
	}
	return room >= wanted && used*2 < capacity
}

// serviceOfJob is the service whose runners a job is for. A job stays with the service that took it, also where its queue
// moves to another one; while none of its tasks has run, it is taken to be that of its queue.
func (d *Deployment) serviceOfJob(job *JobRecord) string {
	for _, run := range d.History.Runs {
		if run.Task.Job == job.ID {
			return run.Runner.Service
		}
	}
	return d.serviceOf(job.Queue)
}

// serviceOf is the service that the newest acknowledged configuration gives a queue.
func (d *Deployment) serviceOf(queue QueueName) string {
	if d.Operator.current == nil {
		return ""
	}
	return d.Operator.current.records()[queue].Service
}

// tasksThatFit is how many tasks of a step fit beside what is used.
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
