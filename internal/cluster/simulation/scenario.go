package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Scenario says what happens to a deployment.
type Scenario struct {
	Warmup      time.Duration // from the start of the machines to the first traffic
	Length      time.Duration // of the traffic, without that after a final fault
	Faults      []string      // names of kinds, which may repeat; each begins at a drawn time
	Overlapping bool          // the faults begin within a short time of each other
	FinalFault  FinalFault
}

// FinalFault is a fault at the end of the traffic, after which there is traffic again for a while.
type FinalFault string

// Final faults.
const (
	NoFinalFault FinalFault = ""
	PowerOffAll  FinalFault = "power_off_all"  // all machines lose power
	KillAll      FinalFault = "kill_all"       // all processes are killed
	WipeAfterAck FinalFault = "wipe_after_ack" // the control machine that acknowledged a change loses its disk
)

// FinalFaults returns all final faults, in a fixed order.
func FinalFaults() []FinalFault { return []FinalFault{PowerOffAll, KillAll, WipeAfterAck} }

const (
	probeInterval      = 120 * time.Millisecond // between queries of probe routes
	finalQueryInterval = 700 * time.Millisecond // at least, between two queries of a job after the traffic
	finalTraffic       = 4 * time.Second        // after the recovery from a final fault
)

// Play plays a scenario to its end. It must be called once, at time 0, when nothing has been started yet.
func (d *Deployment) Play(scenario Scenario) {
	w := d.World
	d.recordFault(Fault{From: 0, To: scenario.Warmup / 2, Kind: "start", ControlPlane: true})
	d.bootAll()
	w.After(200*time.Millisecond, d.Operator.SubmitFirst)
	trafficEnds := scenario.Warmup + scenario.Length
	if scenario.FinalFault != NoFinalFault {
		trafficEnds = d.scheduleFinalFault(scenario.FinalFault, trafficEnds)
	}
	d.History.TrafficEnds = trafficEnds
	d.History.Ends = trafficEnds + d.History.Bounds.Finish
	w.At(scenario.Warmup, func() { d.runTraffic(trafficEnds) })
	w.At(scenario.Warmup, func() { d.queryProbes(trafficEnds) })
	for _, name := range scenario.Faults {
		d.scheduleFault(name, &scenario)
	}
	w.At(trafficEnds, d.finish)
	w.Run(d.History.Ends)
}

// scheduleFault has a fault of a kind begin at a drawn time, early enough to be over before the traffic is.
func (d *Deployment) scheduleFault(name string, scenario *Scenario) {
	kind, ok := FaultKindOf(name)
	if !ok {
		panic(fmt.Sprintf("no kind of fault %q", name))
	}
	const minDuration, maxDuration, overlapSpread = time.Second, 6 * time.Second, time.Second
	at := scenario.Warmup + d.World.Between(0, scenario.Length*3/4)
	if scenario.Overlapping {
		at = scenario.Warmup + scenario.Length/3 + d.World.Between(0, overlapSpread)
	}
	duration := d.World.Between(minDuration, min(maxDuration, scenario.Warmup+scenario.Length-at))
	d.World.At(at, func() { kind.Begin(d, duration) })
}

// scheduleFinalFault schedules the final fault for right after the acknowledgement of a change that is sent at a time, or
// a second after that time. It returns when the traffic ends.
func (d *Deployment) scheduleFinalFault(kind FinalFault, at time.Duration) time.Duration {
	const down = 1400 * time.Millisecond
	recovered := at + time.Second + down + d.History.Bounds.Recovery
	d.finalFaultAt = at
	hasInjected := false
	strike := func(acknowledgedBy *Machine) {
		if hasInjected {
			return
		}
		hasInjected = true
		d.injectFinalFault(kind, acknowledgedBy, down)
	}
	d.World.At(at, func() {
		d.Operator.OnAcknowledged = func(by *Machine) {
			d.World.After(d.World.Between(0, maxInjectionDelay), func() { strike(by) })
		}
		d.Operator.Change(nil)
	})
	d.World.At(at+time.Second, func() { strike(Pick(d.World, d.Controls)) })
	return recovered + finalTraffic
}

// injectFinalFault brings the final fault about.
func (d *Deployment) injectFinalFault(kind FinalFault, acknowledgedBy *Machine, down time.Duration) {
	d.History.FinalFault = d.World.now
	d.History.Returned = d.World.now + down
	othersLosePower := d.World.Chance(0.5) // where one control machine loses its disk
	for _, m := range slices.Concat(d.Controls, d.Frontends, d.AgentMachines) {
		if !m.up {
			continue
		}
		switch {
		case kind == PowerOffAll:
			d.lose(m, powerLost, down)
		case kind == KillAll:
			d.lose(m, processKilled, down)
		case m == acknowledgedBy:
			d.lose(m, diskLost, down)
		case othersLosePower && isControl(m):
			d.lose(m, powerLost, down)
		}
	}
	now := d.World.now
	d.recordFault(Fault{From: now, To: now + down + d.History.Bounds.Contact, Kind: string(kind), ControlPlane: true})
}

// queryProbes queries the probe routes of the newest versions, again and again until a time.
func (d *Deployment) queryProbes(until time.Duration) {
	if d.World.now >= until {
		return
	}
	const newest = 6
	d.queryProbe(newest)
	d.World.After(probeInterval, func() { d.queryProbes(until) })
}

// queryProbe queries the probe route of one of so many newest changes, acknowledged or not.
func (d *Deployment) queryProbe(newest int) {
	if records := d.History.Configuration; len(records) > 0 {
		record := records[len(records)-1-d.World.Random.IntN(min(newest, len(records)))]
		d.Clients.QueryPending(ProbeQueue(record.Version))
	}
}

// finish queries each job's state, reads the configuration back, and looks for stalled jobs.
func (d *Deployment) finish() {
	w := d.World
	ends := d.History.Ends
	for _, job := range d.History.JobOrder {
		if job.Accepted != Never {
			w.After(w.Between(0, time.Second), func() { d.queryUntilEnded(job) })
		}
	}
	w.At(ends-d.History.Bounds.Contact, func() { d.Operator.ReadBack(ends) })
	// What ran on a runner that was lost can start again only once the runner's last lease has certainly expired.
	w.After(d.History.Bounds.MaxLease+time.Second, func() { d.sampleStalledJobs(map[string]time.Duration{}) })
}

// queryUntilEnded queries a job's state until the job has ended.
func (d *Deployment) queryUntilEnded(job *JobRecord) {
	if d.World.now > d.History.Ends-d.Clients.Timeout {
		return
	}
	d.Clients.QueryState(job, func(status int, state string) {
		if status == http.StatusOK && isEndState(state) {
			return
		}
		interval := finalQueryInterval
		if status != http.StatusOK {
			interval = finalQueryInterval / 3
		}
		d.World.After(d.World.Between(interval, 2*interval), func() { d.queryUntilEnded(job) })
	})
}

// isEndState reports whether a job of that state has ended.
func isEndState(state string) bool {
	return state == protocol.JobCompleted || state == protocol.JobFailed || state == protocol.JobCancelled
}
