package simulation

import "time"

// restartTime is how soon the platform starts a process again that was killed.
const restartTime = 300 * time.Millisecond

func machineKinds() []TroubleKind {
	return []TroubleKind{
		{"node_kill", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.someOuter(0.3) {
				d.killMachine(m, restartTime+d.World.Between(0, lasts), d.World.Chance(0.5))
			}
		}},
		{"node_freeze", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.someOuter(0.3) {
				d.freeze(m, lasts)
			}
		}},
		{"node_slow", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.someOuter(0.3) {
				d.slowMachine(m, lasts)
			}
		}},
		{"node_cut", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.someOuter(0.25) {
				d.cutFromCore(m, lasts)
			}
		}},
		{"servers_cut", func(d *Deployment, lasts time.Duration) {
			for _, m := range d.someOuter(0.5) {
				if m.Class == "side" {
					d.cutFromCore(m, lasts)
				}
			}
		}},
		{"herd_kill", func(d *Deployment, _ time.Duration) {
			for _, m := range d.someOuter(0.6) {
				d.killMachine(m, restartTime, false)
			}
		}},
		{"roll_term", (*Deployment).rollTerm},
		{"reset_conns", func(d *Deployment, lasts time.Duration) {
			d.trouble(Trouble{From: d.World.now, To: d.World.now + lasts, Kind: "reset_conns", Core: true})
			d.Network.Loss = 0.1
			d.World.After(lasts, func() { d.Network.Loss = 0 })
		}},
		{"clock_step", func(d *Deployment, lasts time.Duration) {
			for _, m := range append(d.someOuter(0.3), d.Cores...) {
				if d.World.Chance(0.5) {
					d.stepClock(m, lasts)
				}
			}
		}},
	}
}

// someOuter draws a share of the machines outside the core, one at least.
func (d *Deployment) someOuter(share float64) []*Machine {
	var drawn []*Machine
	for _, machines := range [][]*Machine{d.Fronts, d.Sides} {
		for _, m := range machines {
			if m.up && d.World.Chance(share) {
				drawn = append(drawn, m)
			}
		}
	}
	if len(drawn) == 0 {
		drawn = append(drawn, Pick(d.World, d.Sides))
	}
	return drawn
}

func isCore(m *Machine) bool { return m.Class == "core" }

// strike notes a trouble of one machine: of the core's, the moments at which it begins and ends disturb all.
func (d *Deployment) strike(kind string, m *Machine, lasts time.Duration) {
	now := d.World.now
	d.trouble(Trouble{From: now, To: now + lasts, Kind: kind, Machines: []string{m.Name}})
	if !isCore(m) {
		return
	}
	d.trouble(Trouble{From: now, To: now, Kind: kind, Core: true})
	d.trouble(Trouble{From: now + lasts, To: now + lasts, Kind: kind, Core: true})
}

func (d *Deployment) killMachine(m *Machine, back time.Duration, power bool) {
	d.strike("kill", m, back)
	if power {
		m.LosePower()
	} else {
		m.Kill()
	}
	d.World.After(back, m.Boot)
}

func (d *Deployment) freeze(m *Machine, lasts time.Duration) {
	d.strike("freeze", m, lasts)
	m.Freeze()
	life := m.life
	d.World.After(lasts, func() {
		if m.life == life {
			m.Thaw()
		}
	})
}

func (d *Deployment) slowMachine(m *Machine, lasts time.Duration) {
	d.trouble(Trouble{From: d.World.now, To: d.World.now + lasts, Kind: "slow", Machines: []string{m.Name}, Core: isCore(m)})
	m.Lag = 40 * time.Millisecond
	d.World.After(lasts, func() { m.Lag = 0 })
}

func (d *Deployment) stepClock(m *Machine, lasts time.Duration) {
	now := d.World.now
	step := d.World.Between(-5*time.Second, 5*time.Second)
	d.trouble(Trouble{From: now, To: now, Kind: "clock", Machines: []string{m.Name}, Core: isCore(m), Clock: true})
	d.trouble(Trouble{From: now + lasts, To: now + lasts, Kind: "clock", Machines: []string{m.Name}, Core: isCore(m), Clock: true})
	m.SetClock(step)
	d.World.After(lasts, func() { m.SetClock(0) })
}

// cutFromCore cuts a machine off from all core machines, one way or both.
func (d *Deployment) cutFromCore(m *Machine, lasts time.Duration) {
	d.trouble(Trouble{From: d.World.now, To: d.World.now + lasts, Kind: "cut", Machines: []string{m.Name}})
	d.cutLinks(m, d.Cores, lasts)
}

// cutLinks cuts the links between a machine and others for a time.
func (d *Deployment) cutLinks(m *Machine, others []*Machine, lasts time.Duration) {
	way := d.World.Random.IntN(3)
	others = append([]*Machine(nil), others...)
	for _, other := range others {
		if other == m {
			continue
		}
		if way != 1 {
			d.Network.Cut(m, other)
		}
		if way != 2 {
			d.Network.Cut(other, m)
		}
	}
	d.World.After(lasts, func() {
		for _, other := range others {
			if other == m {
				continue
			}
			if way != 1 {
				d.Network.Join(m, other)
			}
			if way != 2 {
				d.Network.Join(other, m)
			}
		}
	})
}

// rollTerm stops machines in turn, in good order, and starts them again.
func (d *Deployment) rollTerm(time.Duration) {
	const gap = 1100 * time.Millisecond
	machines := append(append([]*Machine{}, d.someOuter(0.4)...), Pick(d.World, d.Cores))
	d.World.Random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for i, m := range machines {
		d.World.After(time.Duration(i)*gap, func() { d.term(m) })
	}
}

func (d *Deployment) term(m *Machine) {
	if !m.up || isCore(m) && !d.mayLose(m, restartTime+Grace) {
		return
	}
	d.strike("term", m, restartTime)
	m.Leave()
	life := m.life
	over := false
	end := func() {
		if over || m.life != life {
			return
		}
		over = true
		m.Kill()
		d.strike("term", m, restartTime)
		d.World.After(restartTime, m.Boot)
	}
	d.World.After(Grace, end)
	if d.Terminate == nil {
		end()
		return
	}
	d.Terminate(m, end)
}
