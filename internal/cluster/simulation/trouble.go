package simulation

import (
	"time"
)

// TroubleKind makes one kind of trouble, beginning now and lasting about as long as asked.
type TroubleKind struct {
	Name  string
	Begin func(d *Deployment, lasts time.Duration)
}

// TroubleKinds are all kinds of trouble, in a fixed order.
func TroubleKinds() []TroubleKind {
	kinds := append(planKinds(), runnerKinds()...)
	kinds = append(kinds, machineKinds()...)
	kinds = append(kinds, frontKinds()...)
	return append(kinds, coreKinds()...)
}

// Kind returns the kind of that name.
func Kind(name string) (TroubleKind, bool) {
	for _, kind := range TroubleKinds() {
		if kind.Name == name {
			return kind, true
		}
	}
	return TroubleKind{}, false
}

func planKinds() []TroubleKind {
	return []TroubleKind{
		{"burst", (*Deployment).burst},
		{"give_up", func(d *Deployment, lasts time.Duration) {
			d.note("give_up", lasts, true)
			d.Clients.GiveUp = 0.35
			d.World.After(lasts, func() { d.Clients.GiveUp = 0 })
		}},
		{"cancel", func(d *Deployment, lasts time.Duration) {
			d.note("cancel", lasts, true)
			d.hurry = 0.5
			d.World.After(lasts, func() { d.hurry = 0 })
		}},
		{"poison", func(d *Deployment, lasts time.Duration) {
			d.note("poison", lasts, true)
			d.poison = 0.15
			d.World.After(lasts, func() { d.poison = 0 })
		}},
		{"config_change", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, 400*time.Millisecond, func() { d.Operator.Change(nil) })
		}},
		{"config_move", func(d *Deployment, _ time.Duration) { d.move() }},
		{"config_race", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, time.Second, d.Operator.Race)
		}},
		{"bad_config", func(d *Deployment, lasts time.Duration) {
			d.repeat(lasts, 500*time.Millisecond, func() { d.Operator.Bad(Pick(d.World, BadKinds)) })
		}},
		{"ack_lost", func(d *Deployment, lasts time.Duration) {
			d.note("ack_lost", lasts, true)
			d.Operator.AckLoss = 0.6
			d.repeat(lasts, 600*time.Millisecond, func() { d.Operator.Change(nil) })
			d.World.After(lasts, func() { d.Operator.AckLoss = 0 })
		}},
	}
}

// note notes a trouble that strikes no machine of the system.
func (d *Deployment) note(kind string, lasts time.Duration, planned bool) {
	d.trouble(Trouble{From: d.World.now, To: d.World.now + lasts, Kind: kind, Planned: planned})
}

// repeat does something every so often, from now on, for a time.
func (d *Deployment) repeat(lasts, every time.Duration, f func()) {
	for at := time.Duration(0); at < lasts; at += every {
		d.World.After(at, f)
	}
}

func (d *Deployment) burst(lasts time.Duration) {
	d.note("burst", lasts, false)
	d.rate = 3
	d.World.After(lasts, func() { d.rate = 1 })
}

// move gives a queue another service, and later perhaps its first one again.
func (d *Deployment) move() {
	first := d.Size.Services[0].Name
	last := d.Size.Services[len(d.Size.Services)-1].Name
	route := Pick(d.World, []string{"quick", "batch"})
	d.note("config_move", 0, true)
	d.Operator.Change(Move(route, last))
	if d.World.Chance(0.5) {
		d.World.After(d.World.Between(time.Second, 4*time.Second), func() { d.Operator.Change(Move(route, first)) })
	}
}

func runnerKinds() []TroubleKind {
	return []TroubleKind{
		{"srv_crash", (*Deployment).crashRunners},
		{"srv_slow", func(d *Deployment, lasts time.Duration) {
			d.greyRunners("srv_slow", lasts, func(r *Runner) { r.SetSlow(5) }, func(r *Runner) { r.SetSlow(1) })
		}},
		{"srv_errors", func(d *Deployment, lasts time.Duration) {
			d.greyRunners("srv_errors", lasts, func(r *Runner) { r.SetGrey(1, 0) }, func(r *Runner) { r.SetGrey(0, 0) })
		}},
		{"srv_hang", func(d *Deployment, lasts time.Duration) {
			d.greyRunners("srv_hang", lasts, func(r *Runner) { r.SetGrey(0, 1) }, func(r *Runner) { r.SetGrey(0, 0) })
		}},
		{"srv_late", func(d *Deployment, lasts time.Duration) {
			d.greyRunners("srv_late", lasts, func(r *Runner) { r.SetLate(0.3) }, func(r *Runner) { r.SetLate(0) })
		}},
		{"srv_back_late", (*Deployment).backLate},
		{"scale_in", (*Deployment).scaleIn},
		{"leave_undrained", (*Deployment).leaveUndrained},
		{"spot", (*Deployment).spot},
		{"new_runners", func(d *Deployment, lasts time.Duration) {
			d.note("new_runners", 0, true)
			for _, r := range d.Spares {
				d.World.After(d.World.Between(0, lasts), r.Start)
			}
		}},
	}
}

// someRunners draws about a share of the runners that are up, one at least.
func (d *Deployment) someRunners(share float64) []*Runner {
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
	for _, r := range d.someRunners(share) {
		d.note("srv_crash", lasts, false)
		r.Crash()
		if d.World.Chance(0.2) {
			continue // gone for good
		}
		d.World.After(lasts, r.Start)
	}
}

func (d *Deployment) greyRunners(kind string, lasts time.Duration, begin, end func(r *Runner)) {
	d.note(kind, lasts, false)
	for _, r := range d.someRunners(0.15) {
		begin(r)
		d.World.After(lasts, func() { end(r) })
	}
}

func (d *Deployment) scaleIn(lasts time.Duration) {
	for _, r := range d.someRunners(0.15) {
		after := d.Ledger.Bounds.Drain + d.World.Between(500*time.Millisecond, 4*time.Second)
		d.trouble(Trouble{From: d.World.now, To: d.World.now + after, Kind: "scale_in", Leaving: true})
		r.Drain(after)
		if d.World.Chance(0.7) {
			d.World.After(after+lasts, r.Start)
		}
	}
}

// backLate has runners crash and come back soon, whose heartbeats are late: for a while another incarnation than the one
// that the system knows stands there.
func (d *Deployment) backLate(lasts time.Duration) {
	d.note("srv_back_late", lasts, false)
	for _, r := range d.someRunners(0.3) {
		r.Crash()
		r.SetLate(0.7)
		d.World.After(restartTime+d.World.Between(0, restartTime), r.Start)
		d.World.After(lasts, func() { r.SetLate(0) })
	}
}

// leaveUndrained takes runners away that never say that they drain.
func (d *Deployment) leaveUndrained(lasts time.Duration) {
	for _, r := range d.someRunners(0.15) {
		after := d.Ledger.Bounds.Drain + d.World.Between(500*time.Millisecond, 4*time.Second)
		d.trouble(Trouble{From: d.World.now, To: d.World.now + after, Kind: "leave_undrained", Leaving: true})
		r.LeaveUndrained(after)
		if d.World.Chance(0.7) {
			d.World.After(after+lasts, r.Start)
		}
	}
}

// spot takes runners away soon after a notice; others come later.
func (d *Deployment) spot(lasts time.Duration) {
	const notice = 2 * time.Second
	for _, r := range d.someRunners(0.2) {
		d.trouble(Trouble{From: d.World.now, To: d.World.now + notice, Kind: "spot", Leaving: true})
		r.Drain(notice)
		d.World.After(notice+max(lasts, 4*time.Second), r.Start)
	}
}
