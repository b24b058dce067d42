package simulation

import "time"

// catchUp is how long a machine that is back still counts as lost.
const catchUp = 4 * time.Second

func coreKinds() []TroubleKind {
	return []TroubleKind{
		{"core_kill", func(d *Deployment, lasts time.Duration) {
			d.onOneCore(lasts, func(m *Machine) { d.killMachine(m, max(lasts, restartTime), d.World.Chance(0.5)) })
		}},
		{"core_freeze", func(d *Deployment, lasts time.Duration) {
			d.onOneCore(lasts, func(m *Machine) { d.freeze(m, lasts) })
		}},
		{"core_slow", func(d *Deployment, lasts time.Duration) {
			d.onOneCore(lasts, func(m *Machine) { d.slowMachine(m, lasts) })
		}},
		{"core_cut", func(d *Deployment, lasts time.Duration) {
			d.onOneCore(lasts, func(m *Machine) { d.cutCore(m, lasts) })
		}},
		{"core_cut_all", func(d *Deployment, lasts time.Duration) {
			d.onOneCore(lasts, func(m *Machine) { d.cutCore(m, lasts); d.cutFromOuter(m, lasts) })
		}},
		{"core_herd_kill", func(d *Deployment, lasts time.Duration) { d.killCores(lasts, false) }},
		{"core_herd_power", func(d *Deployment, lasts time.Duration) { d.killCores(lasts, true) }},
		{"after_ack_kill", func(d *Deployment, lasts time.Duration) { d.afterAck(lasts, false) }},
		{"after_ack_wipe", func(d *Deployment, lasts time.Duration) { d.afterAck(lasts, true) }},
		{"after_taken_kill", func(d *Deployment, lasts time.Duration) { d.afterTaken(lasts, false) }},
		{"after_taken_wipe", func(d *Deployment, lasts time.Duration) { d.afterTaken(lasts, true) }},
		{"disk_slow", func(d *Deployment, lasts time.Duration) {
			d.onDisk(lasts, func(disk *Disk) { disk.Slow = 28 }, func(disk *Disk) { disk.Slow = 1 })
		}},
		{"disk_full", func(d *Deployment, lasts time.Duration) {
			d.onDisk(lasts, func(disk *Disk) { disk.Full = true }, func(disk *Disk) { disk.Full = false })
		}},
		{"disk_stall", func(d *Deployment, lasts time.Duration) {
			d.onDisk(lasts, func(disk *Disk) { disk.Stalled = true }, (*Disk).Release)
		}},
		{"replace_core", (*Deployment).replaceCore},
		{"replace_planned", (*Deployment).replacePlanned},
		{"core_meet", (*Deployment).coreMeet},
		{"core_cut_restart", (*Deployment).cutAndRestart},
		{"after_sent_kill", (*Deployment).afterSent},
		{"after_taken_herd", func(d *Deployment, lasts time.Duration) {
			d.onceTaken(func() { d.killCores(lasts, true) })
		}},
	}
}

// mayLose tells whether a core machine may be lost now for a time, and notes that it is: one at a time, counting the
// time that a machine needs to catch up.
func (d *Deployment) mayLose(m *Machine, lasts time.Duration) bool {
	now := d.World.now
	if d.closingAt > 0 && now+lasts+catchUp > d.closingAt {
		return false
	}
	for other, until := range d.lostUntil {
		if other != m && until > now {
			return false
		}
	}
	d.lostUntil[m] = max(d.lostUntil[m], now+lasts+catchUp)
	return true
}

// drawCore draws a core machine that is up: often one that leads.
func (d *Deployment) drawCore() *Machine {
	if d.Leader != nil && d.World.Chance(0.6) {
		if leader := d.Leader(); leader != nil && leader.up {
			return leader
		}
	}
	var up []*Machine
	for _, m := range d.Cores {
		if m.up {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return Pick(d.World, up)
}

func (d *Deployment) onOneCore(lasts time.Duration, strike func(m *Machine)) {
	m := d.drawCore()
	if m == nil || !d.mayLose(m, lasts) {
		return
	}
	strike(m)
}

// cutCore cuts a core machine off from the others of the core.
func (d *Deployment) cutCore(m *Machine, lasts time.Duration) {
	d.strike("core_cut", m, lasts)
	d.cutLinks(m, d.Cores, lasts)
}

func (d *Deployment) cutFromOuter(m *Machine, lasts time.Duration) {
	d.cutLinks(m, d.Fronts, lasts)
	d.cutLinks(m, d.Sides, lasts)
}

func (d *Deployment) killCores(lasts time.Duration, power bool) {
	back := restartTime
	if power {
		back = max(back, min(lasts, 3*time.Second))
	}
	if d.closingAt > 0 && d.World.now+back+catchUp > d.closingAt {
		return
	}
	d.trouble(Trouble{From: d.World.now, To: d.World.now + back + catchUp, Kind: "herd", Core: true})
	for _, m := range d.Cores {
		if !m.up {
			continue
		}
		d.lostUntil[m] = d.World.now + back + catchUp
		d.killMachine(m, back+d.World.Between(0, restartTime), power)
	}
}

// afterAck takes the power of the machine that acknowledges the next change, and perhaps its disk.
func (d *Deployment) afterAck(lasts time.Duration, wipe bool) {
	done := false
	d.Operator.Acknowledged = func(by *Machine) {
		if !done {
			done = true
			d.World.After(d.World.Between(0, 4*time.Millisecond), func() { d.loseCore(by, lasts, wipe) })
		}
	}
	d.Operator.Change(nil)
}

// afterTaken takes the power of a machine that leads right after a job was accepted.
func (d *Deployment) afterTaken(lasts time.Duration, wipe bool) {
	d.onceTaken(func() {
		if m := d.drawCore(); m != nil {
			d.loseCore(m, lasts, wipe)
		}
	})
}

// onceTaken strikes right after the next job is accepted.
func (d *Deployment) onceTaken(strike func()) {
	done := false
	d.Clients.Accepted = func(*JobRecord, *Machine) {
		if !done {
			done = true
			strike()
		}
	}
}

// afterSent takes the power of a machine that leads a short time after a change was sent, acknowledged or not.
func (d *Deployment) afterSent(lasts time.Duration) {
	d.Operator.Change(nil)
	d.World.After(d.World.Between(5*time.Millisecond, 400*time.Millisecond), func() {
		if m := d.drawCore(); m != nil {
			d.loseCore(m, lasts, false)
		}
	})
}

// coreMeet kills a core machine; changes race as it goes and as it returns, and runners leave soon after.
func (d *Deployment) coreMeet(lasts time.Duration) {
	back := max(lasts, restartTime)
	d.onOneCore(back, func(m *Machine) {
		d.killMachine(m, back, d.World.Chance(0.5))
		d.Operator.Race()
		d.World.After(back, d.Operator.Race)
		d.World.After(back+d.World.Between(0, time.Second), func() { d.scaleIn(time.Second) })
	})
}

// cutAndRestart cuts a core machine off and restarts it while it is cut off.
func (d *Deployment) cutAndRestart(lasts time.Duration) {
	d.onOneCore(lasts, func(m *Machine) {
		d.cutCore(m, lasts)
		d.World.After(lasts/3, func() { d.killMachine(m, restartTime, false) })
	})
}

func (d *Deployment) loseCore(m *Machine, lasts time.Duration, wipe bool) {
	if !m.up || !d.mayLose(m, lasts) {
		return
	}
	d.killMachine(m, max(restartTime, lasts), true)
	if wipe {
		m.Wipe()
	}
}

func (d *Deployment) onDisk(lasts time.Duration, begin, end func(disk *Disk)) {
	d.onOneCore(lasts, func(m *Machine) {
		d.trouble(Trouble{From: d.World.now, To: d.World.now + lasts, Kind: "disk", Machines: []string{m.Name}, Core: true})
		begin(m.Disk)
		d.World.After(lasts, func() { end(m.Disk) })
	})
}

// replaceCore loses a core machine for good; an empty one comes at another address.
func (d *Deployment) replaceCore(time.Duration) {
	const longestWait = 2 * time.Second
	if d.AddCore == nil {
		return
	}
	d.onOneCore(longestWait+catchUp, func(m *Machine) {
		d.strike("replace", m, 0)
		m.LosePower()
		d.leaveCore(m)
		d.World.After(d.World.Between(0, longestWait), func() { d.joinCore() })
	})
}

// replacePlanned brings a new core machine first; the old one ends in good order once the new one has had time.
func (d *Deployment) replacePlanned(time.Duration) {
	if d.AddCore == nil || d.Terminate == nil {
		return
	}
	d.onOneCore(2*catchUp, func(m *Machine) {
		d.joinCore()
		d.World.After(catchUp, func() {
			if !m.up {
				return
			}
			d.strike("replace", m, 0)
			d.Terminate(m, func() {
				d.strike("replace", m, 0)
				m.Kill()
				d.leaveCore(m)
			})
		})
	})
}

// joinCore makes an empty machine part of the core.
func (d *Deployment) joinCore() {
	fresh := d.AddCore()
	d.lostUntil[fresh] = d.World.now + catchUp
	d.Cores = append(d.Cores, fresh)
	d.Operator.Controls = d.Cores
	d.strike("replace", fresh, 0)
	fresh.Boot()
}

// leaveCore takes a machine that is off out of the core.
func (d *Deployment) leaveCore(m *Machine) {
	m.Start = nil
	d.lostUntil[m] = d.World.now + catchUp
	d.Cores = without(d.Cores, m)
	d.Operator.Controls = d.Cores
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
