package simulation

import (
	"slices"
	"time"
)

const (
	catchUpTime    = 4 * time.Second      // for which a control machine that is back still counts as unavailable
	maxStrikeDelay = 4 * time.Millisecond // from an acknowledgement to the loss of the machine that sent it
)

// controlFaults returns the kinds that strike control machines.
func controlFaults() []FaultKind {
	return []FaultKind{
		{"core_kill", func(d *Deployment, duration time.Duration) {
			d.strikeControl(duration, func(m *Machine) { d.killOrPowerOff(m, max(duration, restartDelay)) })
		}},
		{"core_freeze", func(d *Deployment, duration time.Duration) {
			d.strikeControl(duration, func(m *Machine) { d.freeze(m, duration) })
		}},
		{"core_slow", func(d *Deployment, duration time.Duration) {
			d.strikeControl(duration, func(m *Machine) { d.slowDown(m, duration) })
		}},
		{"core_cut", func(d *Deployment, duration time.Duration) {
			d.strikeControl(duration, func(m *Machine) { d.partitionControl(m, duration) })
		}},
		{"core_cut_all", func(d *Deployment, duration time.Duration) {
			d.strikeControl(duration, func(m *Machine) {
				d.partitionControl(m, duration)
				d.partitionLinks(m, d.Frontends, duration)
				d.partitionLinks(m, d.AgentMachines, duration)
			})
		}},
		{"core_herd_kill", func(d *Deployment, _ time.Duration) { d.loseAllControls(processKilled, restartDelay) }},
		{"core_herd_power", func(d *Deployment, duration time.Duration) { d.powerOffControls(duration) }},
		{"after_ack_kill", func(d *Deployment, duration time.Duration) { d.loseAfterAck(powerLost, duration) }},
		{"after_ack_wipe", func(d *Deployment, duration time.Duration) { d.loseAfterAck(diskLost, duration) }},
		{"after_taken_kill", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.loseDrawnControl(powerLost, duration) })
		}},
		{"after_taken_wipe", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.loseDrawnControl(diskLost, duration) })
		}},
		{"disk_slow", func(d *Deployment, duration time.Duration) {
			d.strikeDisk(duration, func(disk *Disk) { disk.SlowFactor = 28 }, func(disk *Disk) { disk.SlowFactor = 1 })
		}},
		{"disk_full", func(d *Deployment, duration time.Duration) {
			d.strikeDisk(duration, func(disk *Disk) { disk.Full = true }, func(disk *Disk) { disk.Full = false })
		}},
		{"disk_stall", func(d *Deployment, duration time.Duration) {
			d.strikeDisk(duration, func(disk *Disk) { disk.Stalled = true }, (*Disk).Release)
		}},
		{"replace_core", (*Deployment).replaceControl},
		{"replace_planned", (*Deployment).replacePlanned},
		{"core_meet", (*Deployment).killControlDuringRaces},
		{"core_cut_restart", (*Deployment).restartPartitioned},
		{"after_sent_kill", (*Deployment).loseAfterSend},
		{"after_taken_herd", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.powerOffControls(duration) })
		}},
	}
}

// reserveLoss reports whether a control machine may be lost for a time from now on, and if so reserves that: only one may
// be unavailable at a time, counting the time that it needs to catch up, and none shortly before the final fault.
func (d *Deployment) reserveLoss(m *Machine, duration time.Duration) bool {
	now := d.World.now
	until := now + duration + catchUpTime
	if d.reachesFinalFault(until) {
		return false
	}
	for other, unavailableUntil := range d.unavailableUntil {
		if other != m && unavailableUntil > now {
			return false
		}
	}
	d.unavailableUntil[m] = max(d.unavailableUntil[m], until)
	return true
}

// reachesFinalFault reports whether what lasts until a time is still on when the final fault strikes.
func (d *Deployment) reachesFinalFault(until time.Duration) bool {
	return d.finalFaultAt > 0 && until > d.finalFaultAt
}

// drawControl draws a control machine that is up, often one that leads a replica group; nil if none is up.
func (d *Deployment) drawControl() *Machine {
	if d.Leader != nil && d.World.Chance(0.6) {
		if leader := d.Leader(); leader != nil && leader.up {
			return leader
		}
	}
	var up []*Machine
	for _, m := range d.Controls {
		if m.up {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return Pick(d.World, up)
}

// strikeControl draws a control machine and strikes it, if it may be lost.
func (d *Deployment) strikeControl(duration time.Duration, strike func(m *Machine)) {
	m := d.drawControl()
	if m == nil || !d.reserveLoss(m, duration) {
		return
	}
	strike(m)
}

// partitionControl partitions a control machine from the others.
func (d *Deployment) partitionControl(m *Machine, duration time.Duration) {
	d.recordMachineFault("core_cut", m, duration)
	d.partitionLinks(m, d.Controls, duration)
}

// powerOffControls powers all control machines off.
func (d *Deployment) powerOffControls(duration time.Duration) {
	const maxDown = 3 * time.Second
	d.loseAllControls(powerLost, max(restartDelay, min(duration, maxDown)))
}

// loseAllControls strikes all control machines at once. They come back one after another.
func (d *Deployment) loseAllControls(what loss, down time.Duration) {
	until := d.World.now + down + catchUpTime
	if d.reachesFinalFault(until) {
		return
	}
	d.recordFault(Fault{From: d.World.now, To: until, Kind: "herd", ControlPlane: true})
	for _, m := range d.Controls {
		if !m.up {
			continue
		}
		d.unavailableUntil[m] = until
		d.lose(m, what, down+d.World.Between(0, restartDelay))
	}
}

// loseAfterAck strikes the control machine that acknowledges the next change, right after that.
func (d *Deployment) loseAfterAck(what loss, duration time.Duration) {
	done := false
	d.Operator.OnAcknowledged = func(by *Machine) {
		if !done {
			done = true
			d.World.After(d.World.Between(0, maxStrikeDelay), func() { d.loseControl(by, what, duration) })
		}
	}
	d.Operator.Change(nil)
}

// onceAccepted calls strike when the next job is accepted.
func (d *Deployment) onceAccepted(strike func()) {
	done := false
	d.Clients.OnAccepted = func() {
		if !done {
			done = true
			strike()
		}
	}
}

// loseAfterSend powers a control machine off a short time after a change was sent, acknowledged or not.
func (d *Deployment) loseAfterSend(duration time.Duration) {
	d.Operator.Change(nil)
	d.World.After(d.World.Between(5*time.Millisecond, 400*time.Millisecond), func() { d.loseDrawnControl(powerLost, duration) })
}

// killControlDuringRaces kills a control machine. Changes race as it goes down and as it comes back, and runners leave
// soon after that.
func (d *Deployment) killControlDuringRaces(duration time.Duration) {
	down := max(duration, restartDelay)
	d.strikeControl(down, func(m *Machine) {
		d.killOrPowerOff(m, down)
		d.Operator.Race()
		d.World.After(down, d.Operator.Race)
		d.World.After(down+d.World.Between(0, time.Second), func() { d.scaleIn(time.Second) })
	})
}

// restartPartitioned partitions a control machine and restarts it meanwhile.
func (d *Deployment) restartPartitioned(duration time.Duration) {
	d.strikeControl(duration, func(m *Machine) {
		d.partitionControl(m, duration)
		d.World.After(duration/3, func() { d.lose(m, processKilled, restartDelay) })
	})
}

func (d *Deployment) loseDrawnControl(what loss, duration time.Duration) {
	if m := d.drawControl(); m != nil {
		d.loseControl(m, what, duration)
	}
}

// loseControl strikes a control machine, if it is up and may be lost.
func (d *Deployment) loseControl(m *Machine, what loss, duration time.Duration) {
	if m.up && d.reserveLoss(m, duration) {
		d.lose(m, what, max(restartDelay, duration))
	}
}

// strikeDisk gives the disk of a control machine a fault for a time.
func (d *Deployment) strikeDisk(duration time.Duration, begin, end func(disk *Disk)) {
	d.strikeControl(duration, func(m *Machine) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "disk", Machines: []string{m.Name},
			ControlPlane: true})
		begin(m.Disk)
		d.World.After(duration, func() { end(m.Disk) })
	})
}

// replaceControl loses a control machine for good. A new one with an empty disk joins at another address.
func (d *Deployment) replaceControl(time.Duration) {
	const maxWait = 2 * time.Second
	if d.AddControl == nil {
		return
	}
	d.strikeControl(maxWait+catchUpTime, func(m *Machine) {
		d.recordMachineFault("replace", m, 0)
		m.LosePower()
		d.removeControl(m)
		d.World.After(d.World.Between(0, maxWait), d.joinControl)
	})
}

// replacePlanned adds a new control machine first. The old one shuts down once the new one has had time to catch up.
func (d *Deployment) replacePlanned(time.Duration) {
	if d.AddControl == nil || d.Terminate == nil {
		return
	}
	d.strikeControl(2*catchUpTime, func(m *Machine) {
		d.joinControl()
		d.World.After(catchUpTime, func() {
			if !m.up {
				return
			}
			d.recordMachineFault("replace", m, 0)
			d.Terminate(m, func() {
				d.recordMachineFault("replace", m, 0)
				m.Kill()
				d.removeControl(m)
			})
		})
	})
}

// joinControl adds a new control machine to the deployment and starts it.
func (d *Deployment) joinControl() {
	added := d.AddControl()
	d.unavailableUntil[added] = d.World.now + catchUpTime
	d.Controls = append(d.Controls, added)
	d.Operator.Controls = d.Controls
	d.recordMachineFault("replace", added, 0)
	added.Boot()
}

// removeControl takes a control machine that is off out of the deployment for good.
func (d *Deployment) removeControl(m *Machine) {
	m.Start = nil
	d.unavailableUntil[m] = d.World.now + catchUpTime
	d.Controls = without(d.Controls, m)
	d.Operator.Controls = d.Controls
}

// without returns a copy of machines without one of them.
func without(machines []*Machine, excluded *Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == excluded })
}
