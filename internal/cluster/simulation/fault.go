package simulation

import (
	"time"
)

// FaultKind makes one kind of trouble, beginning now and lasting about as long as asked.
type FaultKind struct {
	Name  string
	Begin func(d *Deployment, lasts time.Duration)
}

// FaultKinds are all kinds of trouble, in a fixed order.
func FaultKinds() []FaultKind {
	kinds := append(workloadFaults(), runnerFaults()...)
	kinds = append(kinds, machineFaults()...)
	kinds = append(kinds, frontendFaults()...)
	return append(kinds, controlFaults()...)
}

// FaultKindOf returns the kind of that name.
func FaultKindOf(name string) (FaultKind, bool) {
	for _, kind := range FaultKinds() {
		if kind.Name == name {
			return kind, true
		}
	}
	return FaultKind{}, false
}

func workloadFaults() []FaultKind {
	return []FaultKind{
		{"burst", (*Deployment).burst},
		{"give_up", func(d *Deployment, lasts time.Duration) {
			d.recordWorkloadFault("give_up", lasts, true)
			d.Clients.AbandonFraction = 0.35
			d.World.After(lasts, func() { d.Clients.AbandonFraction = 0 })
		}},
		{"cancel", func(d *Deployment, lasts time.Duration) {
			d.recordWorkloadFault("cancel", lasts, true)
			d.cancelFraction = 0.5
			d.World.After(lasts, func() { d.cancelFraction = 0 })
		}},
		{"poison", func(d *Deployment, lasts time.Duration) {
			d.recordWorkloadFault("poison", lasts, true)
			d.failingFraction = 0.15
			d.World.After(lasts, func() { d.failingFraction = 0 })
		}},
		{"config_change", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, 400*time.Millisecond, func() { d.Operator.Change(nil) })
		}},
		{"config_move", func(d *Deployment, _ time.Duration) { d.moveRoute() }},
		{"config_race", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, time.Second, d.Operator.Race)
		}},
		{"bad_config", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, 500*time.Millisecond, func() { d.Operator.SubmitInvalid(Pick(d.World, InvalidKinds)) })
		}},
		{"ack_lost", func(d *Deployment, lasts time.Duration) {
			d.recordWorkloadFault("ack_lost", lasts, true)
			d.Operator.AckLossFraction = 0.6
			d.repeat(lasts, 600*time.Millisecond, func() { d.Operator.Change(nil) })
			d.World.After(lasts, func() { d.Operator.AckLossFraction = 0 })
		}},
	}
}

// acknowledgeEnds notes a trouble that strikes no machine of the system.
func (d *Deployment) recordWorkloadFault(kind string, lasts time.Duration, planned bool) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: kind, Planned: planned})
}

// repeat does something every so often, from now on, for a time.
func (d *Deployment) repeat(lasts, every time.Duration, f func()) {
	for at := time.Duration(0); at < lasts; at += every {
		d.World.After(at, f)
	}
}

func (d *Deployment) burst(lasts time.Duration) {
	d.recordWorkloadFault("burst", lasts, false)
	d.loadFactor = 3
	d.World.After(lasts, func() { d.loadFactor = 1 })
}

// moveRoute gives a queue another service, and later perhaps its first one again.
func (d *Deployment) moveRoute() {
	first := d.Size.Services[0].Name
	last := d.Size.Services[len(d.Size.Services)-1].Name
	route := Pick(d.World, []string{"quick", "batch"})
	d.recordWorkloadFault("config_move", 0, true)
	d.Operator.Change(Move(route, last))
	if d.World.Chance(0.5) {
		d.World.After(d.World.Between(time.Second, 4*time.Second), func() { d.Operator.Change(Move(route, first)) })
	}
}

func runnerFaults() []FaultKind {
	return []FaultKind{
		{"srv_crash", (*Deployment).crashRunners},
		{"srv_slow", func(d *Deployment, lasts time.Duration) {
			d.failGray("srv_slow", lasts, func(r *Runner) { r.SetSlow(5) }, func(r *Runner) { r.SetSlow(1) })
		}},
		{"srv_errors", func(d *Deployment, lasts time.Duration) {
			d.failGray("srv_errors", lasts, func(r *Runner) { r.SetGrayFailure(1, 0) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		{"srv_hang", func(d *Deployment, lasts time.Duration) {
			d.failGray("srv_hang", lasts, func(r *Runner) { r.SetGrayFailure(0, 1) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		{"srv_late", func(d *Deployment, lasts time.Duration) {
			d.failGray("srv_late", lasts, func(r *Runner) { r.SetLate(0.3) }, func(r *Runner) { r.SetLate(0) })
		}},
		{"srv_back_late", (*Deployment).restartLate},
		{"scale_in", (*Deployment).scaleIn},
		{"leave_undrained", (*Deployment).removeUndrained},
		{"spot", (*Deployment).reclaimSpot},
		{"new_runners", func(d *Deployment, lasts time.Duration) {
			d.recordWorkloadFault("new_runners", 0, true)
			for _, r := range d.Spares {
				d.World.After(d.World.Between(0, lasts), r.Start)
			}
		}},
	}
}

// drawRunners draws about a share of the runners that are up, one at least.
func (d *Deployment) drawRunners(share float64) []*Runner {
	var up []*Runner
	for _, r := range d.Runners {
		if r.Up() && !r.draining {
			up = append(up, r)
		}
	}
	d.World.Random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	count := max(1, int(share*float64(len(up))))
	return up[:min(count, len(up))]
}

func (d *Deployment) crashRunners(lasts time.Duration) {
	share := 0.1 + 0.2*d.World.Random.Float64()
	for _, r := range d.drawRunners(share) {
		d.recordWorkloadFault("srv_crash", lasts, false)
		r.Crash()
		if d.World.Chance(0.2) {
			continue // gone for good
		}
		d.World.After(lasts, r.Start)
	}
}

func (d *Deployment) failGray(kind string, lasts time.Duration, begin, end func(r *Runner)) {
	d.recordWorkloadFault(kind, lasts, false)
	for _, r := range d.drawRunners(0.15) {
		begin(r)
		d.World.After(lasts, func() { end(r) })
	}
}

func (d *Deployment) scaleIn(lasts time.Duration) {
	for _, r := range d.drawRunners(0.15) {
		after := d.History.Bounds.Drain + d.World.Between(500*time.Millisecond, 4*time.Second)
		d.recordFault(Fault{From: d.World.now, To: d.World.now + after, Kind: "scale_in", RunnersLeave: true})
		r.Drain(after)
		if d.World.Chance(0.7) {
			d.World.After(after+lasts, r.Start)
		}
	}
}

// restartLate has runners crash and come back soon, whose heartbeats are late: for a while another incarnation than the one
// that the system knows stands there.
func (d *Deployment) restartLate(lasts time.Duration) {
	d.recordWorkloadFault("srv_back_late", lasts, false)
	for _, r := range d.drawRunners(0.3) {
		r.Crash()
		r.SetLate(0.7)
		d.World.After(restartDelay+d.World.Between(0, restartDelay), r.Start)
		d.World.After(lasts, func() { r.SetLate(0) })
	}
}

// removeUndrained takes runners away that never say that they drain.
func (d *Deployment) removeUndrained(lasts time.Duration) {
	for _, r := range d.drawRunners(0.15) {
		after := d.History.Bounds.Drain + d.World.Between(500*time.Millisecond, 4*time.Second)
		d.recordFault(Fault{From: d.World.now, To: d.World.now + after, Kind: "leave_undrained", RunnersLeave: true})
		r.DeregisterUndrained(after)
		if d.World.Chance(0.7) {
			d.World.After(after+lasts, r.Start)
		}
	}
}

// reclaimSpot takes runners away soon after a notice; others come later.
func (d *Deployment) reclaimSpot(lasts time.Duration) {
	const notice = 2 * time.Second
	for _, r := range d.drawRunners(0.2) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + notice, Kind: "spot", RunnersLeave: true})
		r.Drain(notice)
		d.World.After(notice+max(lasts, 4*time.Second), r.Start)
	}
}
