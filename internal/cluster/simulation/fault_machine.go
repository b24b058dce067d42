package simulation

import "time"

// restartDelay is how soon the platform starts a process again that was killed.
const restartDelay = 300 * time.Millisecond

func machineFaults() []FaultKind {
	return []FaultKind{
		{"node_kill", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.killMachine(m, restartDelay+d.World.Between(0, lasts), d.World.Chance(0.5))
			}
		}},
		{"node_freeze", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.freeze(m, lasts)
			}
		}},
		{"node_slow", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.slowDown(m, lasts)
			}
		}},
		{"node_cut", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.drawOuterMachines(0.25) {
				d.partitionFromControls(m, lasts)
			}
		}},
		{"servers_cut", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.drawOuterMachines(0.5) {
				if m.Role == "side" {
					d.partitionFromControls(m, lasts)
				}
			}
		}},
		{"herd_kill", func(d *Deployment, _ time.Duration) {
			for _, m := range d.drawOuterMachines(0.6) {
				d.killMachine(m, restartDelay, false)
			}
		}},
		{"roll_term", (*Deployment).restartInTurn},
		{"reset_conns", func(d *Deployment, lasts time.Duration) {
			d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: "reset_conns", ControlPlane: true})
			d.Network.Loss = 0.1
			d.World.After(lasts, func() { d.Network.Loss = 0 })
		}},
		{"clock_step", func(d *Deployment, lasts time.Duration) {
			for _, m := range append(d.drawOuterMachines(0.3), d.Controls...) {
				if d.World.Chance(0.5) {
					d.stepClock(m, lasts)
				}
			}
		}},
	}
}

// drawOuterMachines draws a share of the machines outside the core, one at least.
func (d *Deployment) drawOuterMachines(share float64) []*Machine {
	var drawn []*Machine
	for _, machines := range [][]*Machine{d.Frontends, d.AgentMachines} {
		for _, m := range machines {
			if m.up && d.World.Chance(share) {
				drawn = append(drawn, m)
			}
		}
	}
	if len(drawn) == 0 {
		drawn = append(drawn, Pick(d.World, d.AgentMachines))
	}
	return drawn
}

func isControl(m *Machine) bool { return m.Role == "core" }

// recordMachineFault notes a trouble of one machine: of the core's, the moments at which it begins and ends disturb all.
func (d *Deployment) recordMachineFault(kind string, m *Machine, lasts time.Duration) {
	now := d.World.now
	d.recordFault(Fault{From: now, To: now + lasts, Kind: kind, Machines: []string{m.Name}})
	if !isControl(m) {
		return
	}
	d.recordFault(Fault{From: now, To: now, Kind: kind, ControlPlane: true})
	d.recordFault(Fault{From: now + lasts, To: now + lasts, Kind: kind, ControlPlane: true})
}

func (d *Deployment) killMachine(m *Machine, back time.Duration, power bool) {
	d.recordMachineFault("kill", m, back)
	if power {
		m.LosePower()
	} else {
		m.Kill()
	}
	d.World.After(back, m.Boot)
}

func (d *Deployment) freeze(m *Machine, lasts time.Duration) {
	d.recordMachineFault("freeze", m, lasts)
	m.Freeze()
	life := m.incarnation
	d.World.After(lasts, func() {
		if m.incarnation == life {
			m.Thaw()
		}
	})
}

func (d *Deployment) slowDown(m *Machine, lasts time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: "slow", Machines: []string{m.Name}, ControlPlane: isControl(m)})
	m.Lag = 40 * time.Millisecond
	d.World.After(lasts, func() { m.Lag = 0 })
}

func (d *Deployment) stepClock(m *Machine, lasts time.Duration) {
	now := d.World.now
	step := d.World.Between(-5*time.Second, 5*time.Second)
	d.recordFault(Fault{From: now, To: now, Kind: "clock", Machines: []string{m.Name}, ControlPlane: isControl(m), Clock: true})
	d.recordFault(Fault{From: now + lasts, To: now + lasts, Kind: "clock", Machines: []string{m.Name}, ControlPlane: isControl(m), Clock: true})
	m.SetClock(step)
	d.World.After(lasts, func() { m.SetClock(0) })
}

// partitionFromControls cuts a machine off from all core machines, one way or both.
func (d *Deployment) partitionFromControls(m *Machine, lasts time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: "cut", Machines: []string{m.Name}})
	d.partitionLinks(m, d.Controls, lasts)
}

// partitionLinks cuts the links between a machine and others for a time.
func (d *Deployment) partitionLinks(m *Machine, others []*Machine, lasts time.Duration) {
	way := d.World.Random.IntN(3)
	others = append([]*Machine(nil), others...)
	for _, other := range others {
		if other == m {
			continue
		}
		if way != 1 {
			d.Network.Partition(m, other)
		}
		if way != 2 {
			d.Network.Partition(other, m)
		}
	}
	d.World.After(lasts, func() {
		for _, other := range others {
			if other == m {
				continue
			}
			if way != 1 {
				d.Network.Heal(m, other)
			}
			if way != 2 {
				d.Network.Heal(other, m)
			}
		}
	})
}

// restartInTurn stops machines in turn, in good order, and starts them again.
func (d *Deployment) restartInTurn(time.Duration) {
	const gap = 1100 * time.Millisecond
	machines := append(append([]*Machine{}, d.drawOuterMachines(0.4)...), Pick(d.World, d.Controls))
	d.World.Random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for i, m := range machines {
		d.World.After(time.Duration(i)*gap, func() { d.terminate(m) })
	}
}

func (d *Deployment) terminate(m *Machine) {
	if !m.up || isControl(m) && !d.reserveLoss(m, restartDelay+Grace) {
		return
	}
	d.recordMachineFault("term", m, restartDelay)
	m.BeginShutdown()
	life := m.incarnation
	over := false
	end := func() {
		if over || m.incarnation != life {
			return
		}
		over = true
		m.Kill()
		d.recordMachineFault("term", m, restartDelay)
		d.World.After(restartDelay, m.Boot)
	}
	d.World.After(Grace, end)
	if d.Terminate == nil {
		end()
		return
	}
	d.Terminate(m, end)
}
