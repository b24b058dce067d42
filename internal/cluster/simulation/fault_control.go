package simulation

import (
	"slices"
	"time"
)

const (
	catchUpTime       = 4 * time.Second      // from the restart of a control machine until it is treated as available again
	maxInjectionDelay = 4 * time.Millisecond // the longest time from an acknowledgement to the loss of the machine that sent it
)

// controlFaults returns the kinds that disturb control machines. Kinds that disturb a single machine draw it with
// drawControl. They have no effect if reserveLoss does not allow the loss of that machine.
func controlFaults() []FaultKind {
	return []FaultKind{
		// Killed or powered off for the duration, at least for restartDelay.
		{"core_kill", func(d *Deployment, duration time.Duration) {
			d.injectAtControl(duration, func(m *Machine) { d.killOrPowerOff(m, max(duration, restartDelay)) })
		}},
		// Frozen for the duration.
		{"core_freeze", func(d *Deployment, duration time.Duration) {
			d.injectAtControl(duration, func(m *Machine) { d.freeze(m, duration) })
		}},
		// Timers and messages up to 40 ms late for the duration.
		{"core_slow", func(d *Deployment, duration time.Duration) {
			d.injectAtControl(duration, func(m *Machine) { d.slowDown(m, duration) })
		}},
		// Partitioned from the other control machines for the duration.
		{"core_cut", func(d *Deployment, duration time.Duration) {
			d.injectAtControl(duration, func(m *Machine) { d.partitionControl(m, duration) })
		}},
		// Partitioned from all other machines for the duration; the direction is drawn for each role of machine.
		{"core_cut_all", func(d *Deployment, duration time.Duration) {
			d.injectAtControl(duration, func(m *Machine) {
				d.partitionControl(m, duration)
				d.partitionLinks(m, d.Frontends, duration)
				d.partitionLinks(m, d.AgentMachines, duration)
			})
		}},
		// All control machines are killed at once.
		{"core_herd_kill", func(d *Deployment, _ time.Duration) { d.loseAllControls(processKilled, restartDelay) }},
		// All control machines lose power at once.
		{"core_herd_power", func(d *Deployment, duration time.Duration) { d.powerOffControls(duration) }},
		// The machine that acknowledges the operator's next change loses its power (kill), or its power and its disk
		// (wipe), up to 4 ms after that.
		{"after_ack_kill", func(d *Deployment, duration time.Duration) { d.loseAfterAck(powerLost, duration) }},
		{"after_ack_wipe", func(d *Deployment, duration time.Duration) { d.loseAfterAck(diskLost, duration) }},
		// A drawn machine loses its power (kill), or its power and its disk (wipe), when a client learns that its job was
		// accepted.
		{"after_taken_kill", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.loseDrawnControl(powerLost, duration) })
		}},
		{"after_taken_wipe", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.loseDrawnControl(diskLost, duration) })
		}},
		// Syncs of the disk take 28 times as long for the duration.
		{"disk_slow", func(d *Deployment, duration time.Duration) {
			d.injectDiskFault(duration, func(disk *Disk) { disk.SlowFactor = 28 }, func(disk *Disk) { disk.SlowFactor = 1 })
		}},
		// Writes to the disk fail with ENOSPC for the duration.
		{"disk_full", func(d *Deployment, duration time.Duration) {
			d.injectDiskFault(duration, func(disk *Disk) { disk.Full = true }, func(disk *Disk) { disk.Full = false })
		}},
		// No write or sync of the disk completes for the duration.
		{"disk_stall", func(d *Deployment, duration time.Duration) {
			d.injectDiskFault(duration, func(disk *Disk) { disk.Stalled = true }, (*Disk).Release)
		}},
		{"replace_core", (*Deployment).replaceControl},
		{"replace_planned", (*Deployment).replacePlanned},
		{"core_meet", (*Deployment).killControlDuringRaces},
		{"core_cut_restart", (*Deployment).restartPartitioned},
		{"after_sent_kill", (*Deployment).loseAfterSend},
		// All control machines lose power when a client learns that its job was accepted.
		{"after_taken_herd", func(d *Deployment, duration time.Duration) {
			d.onceAccepted(func() { d.powerOffControls(duration) })
		}},
	}
}

// reserveLoss reports whether a control machine may be lost now for a time, and marks it as unavailable if so. At most one
// control machine may be unavailable at a time, so that a majority remains, and none when the final fault is injected. A
// machine is treated as unavailable until catchUpTime after its return.
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

// reachesFinalFault reports whether a fault that lasts until a time would still be on when the final fault is injected.
func (d *Deployment) reachesFinalFault(until time.Duration) bool {
	return d.finalFaultAt > 0 && until > d.finalFaultAt
}

// drawControl draws a control machine that is up, or returns nil if none is. With a probability of 60 % it returns the
// leader of a replica group, if Leader names a leader that is up.
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

// injectAtControl draws a control machine and calls inject with it, if its loss is allowed for the duration (reserveLoss).
func (d *Deployment) injectAtControl(duration time.Duration, inject func(m *Machine)) {
	m := d.drawControl()
	if m == nil || !d.reserveLoss(m, duration) {
		return
	}
	inject(m)
}

// partitionControl partitions a control machine from the other control machines for a time.
func (d *Deployment) partitionControl(m *Machine, duration time.Duration) {
	d.recordMachineFault("core_cut", m, duration)
	d.partitionLinks(m, d.Controls, duration)
}

// powerOffControls powers all control machines off at once, for 0.3 to 3 s.
func (d *Deployment) powerOffControls(duration time.Duration) {
	const maxDown = 3 * time.Second
	d.loseAllControls(powerLost, max(restartDelay, min(duration, maxDown)))
}

// loseAllControls has all control machines lose their process or power at once. Each starts again at a drawn time, up to
// restartDelay after the time down. It has no effect if they would not have caught up before the final fault.
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

// loseAfterAck sends a change. The control machine that sends the next acknowledgement of a change is lost within
// maxInjectionDelay after that.
func (d *Deployment) loseAfterAck(what loss, duration time.Duration) {
	done := false
	d.Operator.OnAcknowledged = func(by *Machine) {
		if !done {
			done = true
			d.World.After(d.World.Between(0, maxInjectionDelay), func() { d.loseControl(by, what, duration) })
		}
	}
	d.Operator.Change(nil)
}

// onceAccepted calls inject when a client next learns that its job was accepted.
func (d *Deployment) onceAccepted(inject func()) {
	done := false
	d.Clients.OnAccepted = func() {
		if !done {
			done = true
			inject()
		}
	}
}

// loseAfterSend sends a change and powers a drawn control machine off 5 to 400 ms later, whether the change is acknowledged
// by then or not.
func (d *Deployment) loseAfterSend(duration time.Duration) {
	d.Operator.Change(nil)
	d.World.After(d.World.Between(5*time.Millisecond, 400*time.Millisecond), func() { d.loseDrawnControl(powerLost, duration) })
}

// killControlDuringRaces kills a control machine or powers it off. The operator sends two concurrent changes at that moment
// and again at the machine's restart. Up to 1 s after the restart, runners drain and leave.
func (d *Deployment) killControlDuringRaces(duration time.Duration) {
	down := max(duration, restartDelay)
	d.injectAtControl(down, func(m *Machine) {
		d.killOrPowerOff(m, down)
		d.Operator.Race()
		d.World.After(down, d.Operator.Race)
		d.World.After(down+d.World.Between(0, time.Second), func() { d.scaleIn(time.Second) })
	})
}

// restartPartitioned partitions a control machine from the other control machines for the duration. After a third of the
// duration it kills and restarts the machine.
func (d *Deployment) restartPartitioned(duration time.Duration) {
	d.injectAtControl(duration, func(m *Machine) {
		d.partitionControl(m, duration)
		d.World.After(duration/3, func() { d.lose(m, processKilled, restartDelay) })
	})
}

// loseDrawnControl has a drawn control machine lose its process, its power or its disk.
func (d *Deployment) loseDrawnControl(what loss, duration time.Duration) {
	if m := d.drawControl(); m != nil {
		d.loseControl(m, what, duration)
	}
}

// loseControl has a control machine lose its process, its power or its disk for the duration, if it is up and reserveLoss
// allows that.
func (d *Deployment) loseControl(m *Machine, what loss, duration time.Duration) {
	if m.up && d.reserveLoss(m, duration) {
		d.lose(m, what, max(restartDelay, duration))
	}
}

// injectDiskFault calls begin with the disk of a drawn control machine, and end after the duration. The history records
// a fault of the whole control plane for this time.
func (d *Deployment) injectDiskFault(duration time.Duration, begin, end func(disk *Disk)) {
	d.injectAtControl(duration, func(m *Machine) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "disk", Machines: []string{m.Name},
			ControlPlane: true})
		begin(m.Disk)
		d.World.After(duration, func() { end(m.Disk) })
	})
}

// replaceControl has a control machine lose its power for the rest of the scenario. Up to maxWait later, a new one with an
// empty disk joins at another address.
func (d *Deployment) replaceControl(time.Duration) {
	const maxWait = 2 * time.Second
	if d.AddControl == nil {
		return
	}
	d.injectAtControl(maxWait+catchUpTime, func(m *Machine) {
		d.recordMachineFault("replace", m, 0)
		m.LosePower()
		d.removeControl(m)
		d.World.After(d.World.Between(0, maxWait), d.joinControl)
	})
}

// replacePlanned adds a new control machine. After catchUpTime, the old one shuts down and leaves the deployment.
func (d *Deployment) replacePlanned(time.Duration) {
	if d.AddControl == nil || d.Terminate == nil {
		return
	}
	d.injectAtControl(2*catchUpTime, func(m *Machine) {
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

// removeControl takes a control machine that is off out of the deployment. Its process is not started again.
func (d *Deployment) removeControl(m *Machine) {
	m.Start = nil
	d.unavailableUntil[m] = d.World.now + catchUpTime
	d.Controls = without(d.Controls, m)
	d.Operator.Controls = d.Controls
}

// without returns a copy of machines that omits the excluded one.
func without(machines []*Machine, excluded *Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(machines), func(m *Machine) bool { return m == excluded })
}
