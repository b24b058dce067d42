package simulation

import (
	"slices"
	"time"
)

// restartDelay is how soon the platform restarts a process that was killed.
const restartDelay = 300 * time.Millisecond

// machineFaults returns the kinds that strike frontends and agents, and the network and clocks of all machines.
func machineFaults() []FaultKind {
	return []FaultKind{
		{"node_kill", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.killOrPowerOff(m, restartDelay+d.World.Between(0, duration))
			}
		}},
		{"node_freeze", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.freeze(m, duration)
			}
		}},
		{"node_slow", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.slowDown(m, duration)
			}
		}},
		{"node_cut", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.25) {
				d.partitionFromControls(m, duration)
			}
		}},
		{"servers_cut", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.5) {
				if m.Role == RoleAgent {
					d.partitionFromControls(m, duration)
				}
			}
		}},
		{"herd_kill", func(d *Deployment, _ time.Duration) {
			for _, m := range d.drawOuterMachines(0.6) {
				d.lose(m, processKilled, restartDelay)
			}
		}},
		{"roll_term", (*Deployment).rollingRestart},
		{"reset_conns", func(d *Deployment, duration time.Duration) {
			d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "reset_conns", ControlPlane: true})
			d.Network.Loss = 0.1
			d.World.After(duration, func() { d.Network.Loss = 0 })
		}},
		{"clock_step", func(d *Deployment, duration time.Duration) {
			for _, m := range append(d.drawOuterMachines(0.3), d.Controls...) {
				if d.World.Chance(0.5) {
					d.stepClock(m, duration)
				}
			}
		}},
	}
}

// drawOuterMachines draws a fraction of the frontends' and agents' machines that are up, one at least.
func (d *Deployment) drawOuterMachines(fraction float64) []*Machine {
	var drawn []*Machine
	for _, m := range slices.Concat(d.Frontends, d.AgentMachines) {
		if m.up && d.World.Chance(fraction) {
			drawn = append(drawn, m)
		}
	}
	if len(drawn) == 0 {
		drawn = append(drawn, Pick(d.World, d.AgentMachines))
	}
	return drawn
}

func isControl(m *Machine) bool { return m.Role == RoleControl }

// loss is what a machine loses.
type loss int

const (
	processKilled loss = iota + 1
	powerLost
	diskLost // with the power
)

// lose has a machine lose its process, its power or its disk, and starts it again after a time.
func (d *Deployment) lose(m *Machine, what loss, down time.Duration) {
	d.recordMachineFault("kill", m, down)
	switch what {
	case processKilled:
		m.Kill()
	case powerLost:
		m.LosePower()
	case diskLost:
		m.LosePower()
		m.Wipe()
	}
	d.World.After(down, m.Boot)
}

// killOrPowerOff draws whether a machine loses its process or its power.
func (d *Deployment) killOrPowerOff(m *Machine, down time.Duration) {
	what := processKilled
	if d.World.Chance(0.5) {
		what = powerLost
	}
	d.lose(m, what, down)
}

func (d *Deployment) freeze(m *Machine, duration time.Duration) {
	d.recordMachineFault("freeze", m, duration)
	m.Freeze()
	incarnation := m.incarnation
	d.World.After(duration, func() {
		if m.incarnation == incarnation {
			m.Thaw()
		}
	})
}

func (d *Deployment) slowDown(m *Machine, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "slow", Machines: []string{m.Name},
		ControlPlane: isControl(m)})
	m.Lag = 40 * time.Millisecond
	d.World.After(duration, func() { m.Lag = 0 })
}

// stepClock steps a machine's time of day, and back after a time.
func (d *Deployment) stepClock(m *Machine, duration time.Duration) {
	const maxStep = 5 * time.Second
	now := d.World.now
	offset := d.World.Between(-maxStep, maxStep)
	for _, at := range []time.Duration{now, now + duration} {
		d.recordFault(Fault{From: at, To: at, Kind: "clock", Machines: []string{m.Name}, ControlPlane: isControl(m), Clock: true})
	}
	m.SetClock(offset)
	d.World.After(duration, func() { m.SetClock(0) })
}

// partitionFromControls partitions a machine from all control machines, one way or both.
func (d *Deployment) partitionFromControls(m *Machine, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "cut", Machines: []string{m.Name}})
	d.partitionLinks(m, d.Controls, duration)
}

// partitionLinks closes the links between a machine and others for a time: those of both ways, or only those of one.
func (d *Deployment) partitionLinks(m *Machine, others []*Machine, duration time.Duration) {
	const inwards, outwards = 1, 2 // otherwise both ways
	direction := d.World.Random.IntN(3)
	others = without(others, m)
	eachLink := func(f func(from, to *Machine)) {
		for _, other := range others {
			if direction != inwards {
				f(m, other)
			}
			if direction != outwards {
				f(other, m)
			}
		}
	}
	eachLink(d.Network.Partition)
	d.World.After(duration, func() { eachLink(d.Network.Heal) })
}

// rollingRestart shuts machines down one after another, as a rolling restart does, and starts each again.
func (d *Deployment) rollingRestart(time.Duration) {
	const interval = 1100 * time.Millisecond
	machines := append(slices.Clone(d.drawOuterMachines(0.4)), Pick(d.World, d.Controls))
	d.World.Random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for i, m := range machines {
		d.World.After(time.Duration(i)*interval, func() { d.restartGracefully(m) })
	}
}

// restartGracefully asks a process to shut down, kills it after the grace time, and starts it again.
func (d *Deployment) restartGracefully(m *Machine) {
	if !m.up || isControl(m) && !d.reserveLoss(m, restartDelay+Grace) {
		return
	}
	d.recordMachineFault("term", m, restartDelay)
	m.BeginShutdown()
	incarnation := m.incarnation
	over := false
	end := func() {
		if over || m.incarnation != incarnation {
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
