package simulation

import "time"

// runnerFaults returns the kinds that strike runners, or add and remove them.
func runnerFaults() []FaultKind {
	return []FaultKind{
		{"srv_crash", (*Deployment).crashRunners},
		{"srv_slow", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_slow", duration, func(r *Runner) { r.SetSlow(5) }, func(r *Runner) { r.SetSlow(1) })
		}},
		{"srv_errors", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_errors", duration, func(r *Runner) { r.SetGrayFailure(1, 0) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		{"srv_hang", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_hang", duration, func(r *Runner) { r.SetGrayFailure(0, 1) }, func(r *Runner) { r.SetGrayFailure(0, 0) })
		}},
		{"srv_late", func(d *Deployment, duration time.Duration) {
			d.failGray("srv_late", duration, func(r *Runner) { r.SetLate(0.3) }, func(r *Runner) { r.SetLate(0) })
		}},
		{"srv_back_late", (*Deployment).restartLate},
		{"scale_in", (*Deployment).scaleIn},
		{"leave_undrained", (*Deployment).removeUndrained},
		{"spot", (*Deployment).reclaimSpot},
		{"new_runners", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("new_runners", 0)
			for _, r := range d.Spares {
				d.World.After(d.World.Between(0, duration), r.Start)
			}
		}},
	}
}

// drawRunners draws about a fraction of the runners that are up and not draining, one at least if there is one.
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

func (d *Deployment) crashRunners(duration time.Duration) {
	fraction := 0.1 + 0.2*d.World.Random.Float64()
	for _, r := range d.drawRunners(fraction) {
		d.recordElsewhere("srv_crash", duration)
		r.Crash()
		if d.World.Chance(0.2) {
			continue // it never comes back
		}
		d.World.After(duration, r.Start)
	}
}

// failGray gives some runners a gray failure: they stay up and are not healthy.
func (d *Deployment) failGray(kind string, duration time.Duration, begin, end func(r *Runner)) {
	d.recordElsewhere(kind, duration)
	for _, r := range d.drawRunners(0.15) {
		begin(r)
		d.World.After(duration, func() { end(r) })
	}
}

// restartLate crashes runners that come back soon and whose heartbeats are late: for a while the scheduler knows another
// incarnation than the one that is up.
func (d *Deployment) restartLate(duration time.Duration) {
	d.recordElsewhere("srv_back_late", duration)
	for _, r := range d.drawRunners(0.3) {
		r.Crash()
		r.SetLate(0.7)
		d.World.After(restartDelay+d.World.Between(0, restartDelay), r.Start)
		d.World.After(duration, func() { r.SetLate(0) })
	}
}

// scaleIn drains runners and removes them.
func (d *Deployment) scaleIn(duration time.Duration) {
	d.removeRunners("scale_in", duration, (*Runner).Drain)
}

// removeUndrained removes runners that never drain.
func (d *Deployment) removeUndrained(duration time.Duration) {
	d.removeRunners("leave_undrained", duration, (*Runner).DeregisterUndrained)
}

// removeRunners removes some runners after a time. Most come back after the duration.
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

// reclaimSpot removes runners at short notice, as a cloud reclaims spot instances. They come back later.
func (d *Deployment) reclaimSpot(duration time.Duration) {
	const notice = 2 * time.Second
	for _, r := range d.drawRunners(0.2) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + notice, Kind: "spot", RunnersLeave: true})
		r.Drain(notice)
		d.World.After(notice+max(duration, 4*time.Second), r.Start)
	}
}
