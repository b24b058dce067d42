package simulation

import "time"

// runnerFaults returns the kinds that disturb runners, or add and remove them. The fractions are of the runners that are up
// and not draining, see drawRunners.
func runnerFaults() []FaultKind {
	return []FaultKind{
		{"srv_crash", (*Deployment).crashRunners},
		// 15 % of the runners work at a fifth of their speed.
		{"srv_slow", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_slow", duration, func(r *Runner) { r.SetSlow(5) }, func(r *Runner) { r.SetSlow(1) })
		}},
		// On 15 % of the runners, every run that starts fails soon.
		{"srv_errors", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_errors", duration, func(r *Runner) { r.SetGrayFailure(1, 0) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		// On 15 % of the runners, every run that starts hangs.
		{"srv_hang", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_hang", duration, func(r *Runner) { r.SetGrayFailure(0, 1) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		// 15 % of the runners send 30 % of their heartbeats late.
		{"srv_late", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_late", duration, func(r *Runner) { r.SetLate(0.3) }, func(r *Runner) { r.SetLate(0) })
		}},
		{"srv_back_late", (*Deployment).restartLate},
		{"scale_in", (*Deployment).scaleIn},
		{"leave_undrained", (*Deployment).removeUndrained},
		{"spot", (*Deployment).reclaimSpot},
		// The spare runners start, at drawn times within the duration.
		{"new_runners", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("new_runners", 0)
			for _, r := range d.Spares {
				d.World.After(d.World.Between(0, duration), r.Start)
			}
		}},
	}
}

// drawRunners draws a fraction, rounded down, of the runners that are up and not draining. It draws at least one if there is
// any.
func (d *Deployment) drawRunners(fraction float64) []*Runner {
	var up []*Runner
	for _, r := range d.Runners {
		if r.Up() && !r.draining {
			up = append(up, r)
		}
	}
	d.World.Random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	count := max(1, int(fraction*float64(len(up))))
	return up[:min(count, len(up))]
}

// crashRunners crashes 10 to 30 % of the runners. Each restarts after the duration, or never with a probability of 20 %.
func (d *Deployment) crashRunners(duration time.Duration) {
	fraction := 0.1 + 0.2*d.World.Random.Float64()
	for _, r := range d.drawRunners(fraction) {
		d.recordExternalFault("srv_crash", duration)
		r.Crash()
		if d.World.Chance(0.2) {
			continue // it stays down
		}
		d.World.After(duration, r.Start)
	}
}

// failGray gives 15 % of the runners a gray failure for a time: they stay up and send heartbeats, but do not work well.
func (d *Deployment) failGray(kind string, duration time.Duration, begin, end func(r *Runner)) {
	d.recordExternalFault(kind, duration)
	for _, r := range d.drawRunners(0.15) {
		begin(r)
		d.World.After(duration, func() { end(r) })
	}
}

// restartLate crashes 30 % of the runners and starts them again soon. For the duration, 70 % of their heartbeats are late,
// so that the scheduler may still expect the old incarnation while the new one is up.
func (d *Deployment) restartLate(duration time.Duration) {
	d.recordExternalFault("srv_back_late", duration)
	for _, r := range d.drawRunners(0.3) {
		r.Crash()
		r.SetLate(0.7)
		d.World.After(restartDelay+d.World.Between(0, restartDelay), r.Start)
		d.World.After(duration, func() { r.SetLate(0) })
	}
}

// scaleIn drains 15 % of the runners and removes them.
func (d *Deployment) scaleIn(duration time.Duration) {
	d.removeRunners("scale_in", duration, (*Runner).Drain)
}

// removeUndrained removes 15 % of the runners, which deregister without having been in the state `draining`.
func (d *Deployment) removeUndrained(duration time.Duration) {
	d.removeRunners("leave_undrained", duration, (*Runner).DeregisterUndrained)
}

// removeRunners calls remove for 15 % of the runners. Each leaves after Bounds.Drain plus 0.5 to 4 s. With a probability
// of 70 % it starts again a duration after that.
func (d *Deployment) removeRunners(kind string, duration time.Duration, remove func(r *Runner, after time.Duration)) {
	for _, r := range d.drawRunners(0.15) {
		after := d.History.Bounds.Drain + d.World.Between(500*time.Millisecond, 4*time.Second)
		d.recordFault(Fault{From: d.World.now, To: d.World.now + after, Kind: kind, RunnersLeave: true})
		remove(r, after)
		if d.World.Chance(0.7) {
			d.World.After(after+duration, r.Start)
		}
	}
}

// reclaimSpot removes 20 % of the runners after a short notice, in which they drain, as a cloud reclaims spot instances.
// They start again after the duration, or after 4 s if that is longer.
func (d *Deployment) reclaimSpot(duration time.Duration) {
	const notice = 2 * time.Second
	for _, r := range d.drawRunners(0.2) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + notice, Kind: "spot", RunnersLeave: true})
		r.Drain(notice)
		d.World.After(notice+max(duration, 4*time.Second), r.Start)
	}
}
