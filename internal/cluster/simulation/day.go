package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Day is how a simulated day goes.
type Day struct {
	Lead     time.Duration // from the machines' start to the first traffic
	Length   time.Duration // of the traffic, a final fault's recovery apart
	Troubles []string      // kinds, each beginning at a drawn time; one may come several times
	Together bool          // they begin within a short time of each other
	Closing  string        // final fault: "", power_off_all, kill_all or wipe_after_ack
}

// Times of a day.
const (
	probeEvery  = 120 * time.Millisecond
	sampleEvery = 500 * time.Millisecond
	idleFor     = 3 * time.Second
	lastAsks    = 700 * time.Millisecond
	closingLast = 4 * time.Second // traffic after the recovery from a final fault
)

// Play plays a day. The machines have their processes; nothing was started yet.
func (d *Deployment) Play(day Day) {
	w := d.World
	d.trouble(Trouble{From: 0, To: day.Lead / 2, Kind: "start", Core: true})
	d.BootAll()
	w.After(200*time.Millisecond, d.Operator.Begin)
	trafficEnds := day.Lead + day.Length
	if day.Closing != "" {
		trafficEnds = d.close(day, trafficEnds)
	}
	d.Ledger.TrafficEnds = trafficEnds
	d.Ledger.Ends = trafficEnds + d.Ledger.Bounds.Finish
	w.At(day.Lead, func() { d.Traffic(trafficEnds) })
	w.At(day.Lead, func() { d.probe(trafficEnds) })
	for _, name := range day.Troubles {
		d.plan(name, day)
	}
	w.At(trafficEnds, d.lastWords)
	w.Run(d.Ledger.Ends)
}

// plan lets a kind of trouble begin at a drawn time, so that it is over in time.
func (d *Deployment) plan(name string, day Day) {
	kind, ok := Kind(name)
	if !ok {
		panic(fmt.Sprintf("no kind of trouble %q", name))
	}
	const least, most, spread = time.Second, 6 * time.Second, time.Second
	at := day.Lead + d.World.Between(0, day.Length*3/4)
	if day.Together {
		at = day.Lead + day.Length/3 + d.World.Between(0, spread)
	}
	lasts := d.World.Between(least, min(most, day.Lead+day.Length-at))
	d.World.At(at, func() { kind.Begin(d, lasts) })
}

// close plans the final fault, right after a change was acknowledged. It returns when traffic ends.
func (d *Deployment) close(day Day, at time.Duration) time.Duration {
	const down = 1400 * time.Millisecond
	recovered := at + time.Second + down + d.Ledger.Bounds.Recovery
	d.closingAt = at
	struck := false
	strike := func(by *Machine) {
		if struck {
			return
		}
		struck = true
		d.finalFault(day.Closing, by, down)
	}
	d.World.At(at, func() {
		d.Operator.Acknowledged = func(by *Machine) {
			d.World.After(d.World.Between(0, 4*time.Millisecond), func() { strike(by) })
		}
		d.Operator.Change(nil)
	})
	d.World.At(at+time.Second, func() { strike(Pick(d.World, d.Cores)) })
	return recovered + closingLast
}

// finalFault strikes: all machines lose power, all processes are killed, or one core machine loses its disk while the
// others may lose power.
func (d *Deployment) finalFault(kind string, by *Machine, down time.Duration) {
	d.Ledger.FinalFault = d.World.now
	d.Ledger.Returned = d.World.now + down
	machines := append(append([]*Machine{}, d.Cores...), d.Fronts...)
	machines = append(machines, d.Sides...)
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
		case others && isCore(m):
			d.killMachine(m, down, true)
		}
	}
	now := d.World.now
	d.trouble(Trouble{From: now, To: now + down + d.Ledger.Bounds.Contact, Kind: kind, Core: true})
}

// probe asks for counts on routes that were just added or removed.
func (d *Deployment) probe(until time.Duration) {
	if d.World.now >= until {
		return
	}
	const recent = 6
	d.countOneOf(recent)
	d.World.After(probeEvery, func() { d.probe(until) })
}

// countOneOf asks for the count on the route that one of the newest configurations has added.
func (d *Deployment) countOneOf(newest int) {
	if records := d.Ledger.Configuration; len(records) > 0 {
		record := records[len(records)-1-d.World.Random.IntN(min(newest, len(records)))]
		d.Clients.Count(QueueName{ProbeHost, fmt.Sprintf("/v%d/", record.Version)})
	}
}

// lastWords asks for each job's state, reads the configuration back, and looks for jobs that stand still.
func (d *Deployment) lastWords() {
	w := d.World
	ends := d.Ledger.Ends
	for _, job := range d.Ledger.JobOrder {
		if job.Accepted != Never {
			w.After(w.Between(0, time.Second), func() { d.askAtLast(job) })
		}
	}
	w.At(ends-d.Ledger.Bounds.Contact, func() { d.Operator.ReadBack(ends) })
	// What ran on a runner that was lost can go on only when its last hold is certainly over.
	w.After(d.Ledger.Bounds.MaxLease+time.Second, func() { d.sampleIdle(map[string]time.Duration{}) })
}

// askAtLast asks until the job has ended.
func (d *Deployment) askAtLast(job *JobRecord) {
	if d.World.now > d.Ledger.Ends-d.Clients.Deadline {
		return
	}
	d.Clients.Ask(job, func(status int, state string) {
		if status == 200 && (state == protocol.JobCompleted || state == protocol.JobFailed || state == protocol.JobCancelled) {
			return
		}
		pause := lastAsks
		if status != 200 {
			pause = lastAsks / 3
		}
		d.World.After(d.World.Between(pause, 2*pause), func() { d.askAtLast(job) })
	})
}

// sampleIdle notes jobs that have nothing running although they could.
func (d *Deployment) sampleIdle(since map[string]time.Duration) {
	now := d.World.now
	if now > d.Ledger.Ends {
		return
	}
	for _, job := range d.Ledger.JobOrder {
		if job.Accepted == Never || !d.standsStill(job) {
			delete(since, job.ID)
			continue
		}
		if _, ok := since[job.ID]; !ok {
			since[job.ID] = now
		}
		if from := since[job.ID]; now-from >= idleFor {
			d.Ledger.Idle = append(d.Ledger.Idle, IdleJob{ID: job.ID, From: from, To: now})
		}
	}
	d.World.After(sampleEvery, func() { d.sampleIdle(since) })
}

// standsStill tells whether nothing of a job runs although a task's turn has come and there is ample room for it.
func (d *Deployment) standsStill(job *JobRecord) bool {
	truth := d.Plant.jobs[job.ID]
	if len(job.Cancels) > 0 || job.LastState() == protocol.JobFailed || truth.poisoned {
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
			group := truth.groups[groupName{job.ID, k, s}]
			if group.left > 0 && group.ready(d.World.now) && d.ampleRoom(job, group) {
				return true
			}
		}
	}
	return false
}

// ampleRoom tells whether twice what a group may start with has room now on runners of the job's service, and less than
// half of the service's capacity is in use.
func (d *Deployment) ampleRoom(job *JobRecord, group *groupTruth) bool {
	service := d.serviceOfJob(job)
	wanted := 2
	if group.step.Gang {
		wanted = 2 * group.step.Count
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
		if group.step.Requirements != "" && group.step.Requirements != runner.Kind {
			continue
		}
		room += places(runner.Capacity, use, group.step)
	}
	return room >= wanted && used*2 < capacity
}

// serviceOfJob is the service whose runners a job is for. A job stays with the service that took it, also where its queue
// moves to another one; while none of its tasks has run, it is taken to be that of its queue.
func (d *Deployment) serviceOfJob(job *JobRecord) string {
	for _, run := range d.Ledger.Runs {
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

// places is how many tasks of a step fit beside what is used.
func places(capacity, used protocol.Resources, step *protocol.Step) int {
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
