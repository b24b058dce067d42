package simulation

import "time"

// catchUpTime is how long a machine that is back still counts as lost.
const catchUpTime = 4 * time.Second

func controlFaults() []FaultKind {
	return []FaultKind{
		{"core_kill", func(d *Deployment, lasts time.Duration) {
			d.strikeControl(lasts, func(m *Machine) { d.killMachine(m, max(lasts, restartDelay), d.World.Chance(0.5)) })
		}},
		{"core_freeze", func(d *Deployment, lasts time.Duration) {
			d.strikeControl(lasts, func(m *Machine) { d.freeze(m, lasts) })
		}},
		{"core_slow", func(d *Deployment, lasts time.Duration) {
			d.strikeControl(lasts, func(m *Machine) { d.slowDown(m, lasts) })
		}},
		{"core_cut", func(d *Deployment, lasts time.Duration) {
			d.strikeControl(lasts, func(m *Machine) { d.partitionControl(m, lasts) })
		}},
		{"core_cut_all", func(d *Deployment, lasts time.Duration) {
			d.strikeControl(lasts, func(m *Machine) { d.partitionControl(m, lasts); d.partitionFromOuter(m, lasts) })
		}},
		{"core_herd_kill", func(d *Deployment, lasts time.Duration) { d.killControls(lasts, false) }},
		{"core_herd_power", func(d *Deployment, lasts time.Duration) { d.killControls(lasts, true) }},
		{"after_ack_kill", func(d *Deployment, lasts time.Duration) { d.loseAfterAck(lasts, false) }},
		{"after_ack_wipe", func(d *Deployment, lasts time.Duration) { d.loseAfterAck(lasts, true) }},
		{"after_taken_kill", func(d *Deployment, lasts time.Duration) { d.loseAfterAccepted(lasts, false) }},
		{"after_taken_wipe", func(d *Deployment, lasts time.Duration) { d.loseAfterAccepted(lasts, true) }},
		{"disk_slow", func(d *Deployment, lasts time.Duration) {
			d.strikeDisk(lasts, func(disk *Disk) { disk.Slow = 28 }, func(disk *Disk) { disk.Slow = 1 })
		}},
		{"disk_full", func(d *Deployment, lasts time.Duration) {
			d.strikeDisk(lasts, func(disk *Disk) { disk.Full = true }, func(disk *Disk) { disk.Full = false })
		}},
		{"disk_stall", func(d *Deployment, lasts time.Duration) {
			d.strikeDisk(lasts, func(disk *Disk) { disk.Stalled = true }, (*Disk).Release)
		}},
		{"replace_core", (*Deployment).replaceControl},
		{"replace_planned", (*Deployment).replacePlanned},
		{"core_meet", (*Deployment).killControlDuringRaces},
		{"core_cut_restart", (*Deployment).restartPartitioned},
		{"after_sent_kill", (*Deployment).loseAfterSend},
		{"after_taken_herd", func(d *Deployment, lasts time.Duration) {
			d.onceAccepted(func() { d.killControls(lasts, true) })
		}},
	}
}

// reserveLoss tells whether a core machine may be lost now for a time, and notes that it is: one at a time, counting the
// time that a machine needs to catch up.
func (d *Deployment) reserveLoss(m *Machine, lasts time.Duration) bool {
	now := d.World.now
	if d.finalFaultAt > 0 && now+lasts+catchUpTime > d.finalFaultAt {
		return false
	}
	for other, until := range d.unavailableUntil {
		if other != m && until > now {
			return false
		}
	}
	d.unavailableUntil[m] = max(d.unavailableUntil[m], now+lasts+catchUpTime)
	return true
}

// drawControl draws a core machine that is up: often one that leads.
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

func (d *Deployment) strikeControl(lasts time.Duration, strike func(m *Machine)) {
	m := d.drawControl()
	if m == nil || !d.reserveLoss(m, lasts) {
		return
	}
	strike(m)
}

// partitionControl cuts a core machine off from the others of the core.
func (d *Deployment) partitionControl(m *Machine, lasts time.Duration) {
	d.recordMachineFault("core_cut", m, lasts)
	d.partitionLinks(m, d.Controls, lasts)
}

func (d *Deployment) partitionFromOuter(m *Machine, lasts time.Duration) {
	d.partitionLinks(m, d.Frontends, lasts)
	d.partitionLinks(m, d.AgentMachines, lasts)
}

func (d *Deployment) killControls(lasts time.Duration, power bool) {
	back := restartDelay
	if power {
		back = max(back, min(lasts, 3*time.Second))
	}
	if d.finalFaultAt > 0 && d.World.now+back+catchUpTime > d.finalFaultAt {
		return
	}
	d.recordFault(Fault{From: d.World.now, To: d.World.now + back + catchUpTime, Kind: "herd", ControlPlane: true})
	for _, m := range d.Controls {
		if !m.up {
			continue
		}
		d.unavailableUntil[m] = d.World.now + back + catchUpTime
		d.killMachine(m, back+d.World.Between(0, restartDelay), power)
	}
}

// loseAfterAck takes the power of the machine that acknowledges the next change, and perhaps its disk.
func (d *Deployment) loseAfterAck(lasts time.Duration, wipe bool) {
	done := false
	d.Operator.OnAcknowledged = func(by *Machine) {
		if !done {
			done = true
			d.World.After(d.World.Between(0, 4*time.Millisecond), func() { d.loseControl(by, lasts, wipe) })
		}
	}
	d.Operator.Change(nil)
}

// loseAfterAccepted takes the power of a machine that leads right after a job was accepted.
func (d *Deployment) loseAfterAccepted(lasts time.Duration, wipe bool) {
	d.onceAccepted(func() {
		if m := d.drawControl(); m != nil {
			d.loseControl(m, lasts, wipe)
		}
	})
}

// onceAccepted strikes right after the next job is accepted.
func (d *Deployment) onceAccepted(strike func()) {
	done := false
	d.Clients.OnAccepted = func(*JobRecord, *Machine) {
		if !done {
			done = true
			strike()
		}
	}
}

// loseAfterSend takes the power of a machine that leads a short time after a change was sent, acknowledged or not.
func (d *Deployment) loseAfterSend(lasts time.Duration) {
	d.Operator.Change(nil)
	d.World.After(d.World.Between(5*time.Millisecond, 400*time.Millisecond), func() {
		if m := d.drawControl(); m != nil {
			d.loseControl(m, lasts, false)
		}
	})
}

// killControlDuringRaces kills a core machine; changes race as it goes and as it returns, and runners leave soon after.
func (d *Deployment) killControlDuringRaces(lasts time.Duration) {
	back := max(lasts, restartDelay)
	d.strikeControl(back, func(m *Machine) {
		d.killMachine(m, back, d.World.Chance(0.5))
		d.Operator.Race()
		d.World.After(back, d.Operator.Race)
		d.World.After(back+d.World.Between(0, time.Second), func() { d.scaleIn(time.Second) })
	})
}

// restartPartitioned cuts a core machine off and restarts it while it is cut off.
func (d *Deployment) restartPartitioned(lasts time.Duration) {
	d.strikeControl(lasts, func(m *Machine) {
		d.partitionControl(m, lasts)
		d.World.After(lasts/3, func() { d.killMachine(m, restartDelay, false) })
	})
}

func (d *Deployment) loseControl(m *Machine, lasts time.Duration, wipe bool) {
	if !m.up || !d.reserveLoss(m, lasts) {
		return
	}
	d.killMachine(m, max(restartDelay, lasts), true)
	if wipe {
		m.Wipe()
	}
}

func (d *Deployment) strikeDisk(lasts time.Duration, begin, end func(disk *Disk)) {
	d.strikeControl(lasts, func(m *Machine) {
		d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: "disk", Machines: []string{m.Name}, ControlPlane: true})
		begin(m.Disk)
		d.World.After(lasts, func() { end(m.Disk) })
	})
}

// replaceControl loses a core machine for good; an empty one comes at another address.
func (d *Deployment) replaceControl(time.Duration) {
	const longestWait = 2 * time.Second
	if d.AddControl == nil {
		return
	}
	d.strikeControl(longestWait+catchUpTime, func(m *Machine) {
		d.recordMachineFault("replace", m, 0)
		m.LosePower()
		d.removeControl(m)
		d.World.After(d.World.Between(0, longestWait), func() { d.joinControl() })
	})
}

// replacePlanned brings a new core machine first; the old one ends in good order once the new one has had time.
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

// joinControl makes an empty machine part of the core.
func (d *Deployment) joinControl() {
	fresh := d.AddControl()
	d.unavailableUntil[fresh] = d.World.now + catchUpTime
	d.Controls = append(d.Controls, fresh)
	d.Operator.Controls = d.Controls
	d.recordMachineFault("replace", fresh, 0)
	fresh.Boot()
}

// removeControl takes a machine that is off out of the core.
func (d *Deployment) removeControl(m *Machine) {
	m.Start = nil
	d.unavailableUntil[m] = d.World.now + catchUpTime
	d.Controls = without(d.Controls, m)
	d.Operator.Controls = d.Controls
}

func without(machines []*Machine, gone *Machine) []*Machine {
	var left []*Machine
	for _, m := range machines {
		if m != gone {
			left = append(left, m)
		}
	}
	return left
}
