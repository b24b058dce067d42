package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Scenario describes the traffic and the faults that a deployment undergoes.
type Scenario struct {
	Warmup      time.Duration // from the start of the machines to the first traffic
	Length      time.Duration // the duration of the traffic, without the traffic after a final fault
	Faults      []string      // names of kinds, also several times the same; each fault begins at a drawn time
	Overlapping bool          // all faults begin within one second
	FinalFault  FinalFault
}

// FinalFault is a kind of fault at the end of the traffic. After the recovery from it there is traffic again for a while.
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
	probeInterval      = 120 * time.Millisecond // from one query of a probe route to the next
	finalQueryInterval = 700 * time.Millisecond // the shortest time between two queries of a job after the traffic
	finalTraffic       = 4 * time.Second        // the duration of the traffic after the recovery from a final fault
)

// Play runs a scenario to its end. It must be called once, at time 0, before anything is started.
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

// scheduleFault schedules a fault of a kind for a drawn time in the first three quarters of the traffic. With Overlapping it
// begins in the second after the first third. Its duration is drawn from 1 to 6 s, but it ends before Scenario.Length does.
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

// scheduleFinalFault has the operator send a change at a time, and schedules the final fault for at most maxInjectionDelay
// after the next acknowledgement, or a second after that time if none comes. It returns the time at which the traffic ends.
func (d *Deployment) scheduleFinalFault(kind FinalFault, at time.Duration) time.Duration {
	const down = 1400 * time.Millisecond
	recovered := at + time.Second + down + d.History.Bounds.Recovery
	d.finalFaultAt = at
	hasInjected := false
	inject := func(acknowledgedBy *Machine) {
		if hasInjected {
			return
		}
		hasInjected = true
		d.injectFinalFault(kind, acknowledgedBy, down)
	}
	d.World.At(at, func() {
		d.Operator.OnAcknowledged = func(by *Machine) {
			d.World.After(d.World.Between(0, maxInjectionDelay), func() { inject(by) })
		}
		d.Operator.Change(nil)
	})
	d.World.At(at+time.Second, func() { inject(Pick(d.World, d.Controls)) })
	return recovered + finalTraffic
}

// injectFinalFault injects the final fault now. All machines that it hits start again after the time down.
func (d *Deployment) injectFinalFault(kind FinalFault, acknowledgedBy *Machine, down time.Duration) {
	d.History.FinalFault = d.World.now
	d.History.Returned = d.World.now + down
	othersLosePower := d.World.Chance(0.5) // for WipeAfterAck: the other control machines lose their power
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

// queryProbes queries probe routes of the newest versions every probeInterval until a time.
func (d *Deployment) queryProbes(until time.Duration) {
	if d.World.now >= until {
		return
	}
	const newest = 6
	d.queryProbe(newest)
	d.World.After(probeInterval, func() { d.queryProbes(until) })
}

// queryProbe queries the probe route of a change that it draws from the newest ones, acknowledged or not.
func (d *Deployment) queryProbe(newest int) {
	if records := d.History.Configuration; len(records) > 0 {
		record := records[len(records)-1-d.World.Random.IntN(min(newest, len(records)))]
		d.Clients.QueryPending(ProbeQueue(record.Version))
	}
}

// finish begins the checks after the traffic: it queries each accepted job's state until the job ends, samples stalled
// jobs, and reads the configuration back in the last Bounds.Contact.
func (d *Deployment) finish() {
	w := d.World
	ends := d.History.Ends
	for _, job := range d.History.JobOrder {
		if job.Accepted != Never {
			w.After(w.Between(0, time.Second), func() { d.queryUntilEnded(job) })
		}
	}
	w.At(ends-d.History.Bounds.Contact, func() { d.Operator.ReadBack(ends) })
	// A task that ran on a lost runner can start elsewhere only once that runner's last lease has certainly expired.
	w.After(d.History.Bounds.MaxLease+time.Second, func() { d.sampleStalledJobs(map[string]time.Duration{}) })
}

// queryUntilEnded queries a job's state until a response shows that the job has ended, or too little time remains. After a
// response other than 200, or none, it waits only a third as long.
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

// isEndState reports whether a job in that state has ended.
func isEndState(state string) bool {
	return state == protocol.JobCompleted || state == protocol.JobFailed || state == protocol.JobCancelled
}
