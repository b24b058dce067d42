package simulation

import (
	"slices"
	"time"
)

// restartDelay is the time from the kill of a process until the platform starts it again.
const restartDelay = 300 * time.Millisecond

// machineFaults returns the kinds that disturb the machines of frontends and agents, which drawOuterMachines draws with the
// probability given, and the kinds that disturb the network and the clocks of all machines.
func machineFaults() []FaultKind {
	return []FaultKind{
		// 30 %: killed or powered off, for restartDelay and a drawn part of the duration.
		{"node_kill", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.killOrPowerOff(m, restartDelay+d.World.Between(0, duration))
			}
		}},
		// 30 %: frozen for the duration.
		{"node_freeze", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.freeze(m, duration)
			}
		}},
		// 30 %: timers and messages up to 40 ms late for the duration.
		{"node_slow", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.3) {
				d.slowDown(m, duration)
			}
		}},
		// 25 %: partitioned from all control machines for the duration.
		{"node_cut", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.25) {
				d.partitionFromControls(m, duration)
			}
		}},
		// 50 %: the same, but agents only; drawn frontends are left alone.
		{"servers_cut", func(d *Deployment, duration time.Duration) {
			for _, m := range d.drawOuterMachines(0.5) {
				if m.Role == RoleAgent {
					d.partitionFromControls(m, duration)
				}
			}
		}},
		// 60 %: killed at the same time, each for restartDelay.
		{"herd_kill", func(d *Deployment, _ time.Duration) {
			for _, m := range d.drawOuterMachines(0.6) {
				d.lose(m, processKilled, restartDelay)
			}
		}},
		{"roll_term", (*Deployment).rollingRestart},
		// The network loses 10 % of all messages between machines for the duration.
		{"reset_conns", func(d *Deployment, duration time.Duration) {
			d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "reset_conns", ControlPlane: true})
			d.Network.Loss = 0.1
			d.World.After(duration, func() { d.Network.Loss = 0 })
		}},
		// 30 %, and all control machines: each has its time of day stepped with a probability of 50 %, for the duration.
		{"clock_step", func(d *Deployment, duration time.Duration) {
			for _, m := range append(d.drawOuterMachines(0.3), d.Controls...) {
				if d.World.Chance(0.5) {
					d.stepClock(m, duration)
				}
			}
		}},
	}
}

// drawOuterMachines draws each machine of a frontend or an agent that is up with a probability. If that draws none, it draws
// one agent's machine, up or not.
func (d *Deployment) drawOuterMachines(probability float64) []*Machine {
	var drawn []*Machine
	for _, m := range slices.Concat(d.Frontends, d.AgentMachines) {
		if m.up && d.World.Chance(probability) {
			drawn = append(drawn, m)
		}
	}
	if len(drawn) == 0 {
		drawn = append(drawn, Pick(d.World, d.AgentMachines))
	}
	return drawn
}

func isControl(m *Machine) bool { return m.Role == RoleControl }

// loss is the kind of a machine's loss: its process, its power, or its power and its disk.
type loss int

const (
	processKilled loss = iota + 1
	powerLost
	diskLost // and power
)

// lose has a machine lose its process, its power or its disk now, and starts it again after the time down.
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

// killOrPowerOff has a machine lose its process or its power, each with a probability of one half, for the time down.
func (d *Deployment) killOrPowerOff(m *Machine, down time.Duration) {
	what := processKilled
	if d.World.Chance(0.5) {
		what = powerLost
	}
	d.lose(m, what, down)
}

// freeze freezes a machine's process for a time. It thaws only if it has not been restarted since.
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

// slowDown makes a machine's timers and messages late by up to 40 ms, for a time.
func (d *Deployment) slowDown(m *Machine, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "slow", Machines: []string{m.Name},
		ControlPlane: isControl(m)})
	m.Lag = 40 * time.Millisecond
	d.World.After(duration, func() { m.Lag = 0 })
}

// stepClock steps a machine's time of day by up to maxStep, ahead or back, and steps it to the true time after the duration.
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

// partitionFromControls partitions a machine from all control machines for a time, in one drawn direction or in both.
func (d *Deployment) partitionFromControls(m *Machine, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "cut", Machines: []string{m.Name}})
	d.partitionLinks(m, d.Controls, duration)
}

// partitionLinks closes the links between a machine and others for a time. It draws whether that is the links from the
// machine, those to it, or both.
func (d *Deployment) partitionLinks(m *Machine, others []*Machine, duration time.Duration) {
	const inwards, outwards = 1, 2 // 0: both ways
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

// rollingRestart restarts drawn machines and one control machine gracefully, one every 1.1 s in drawn order, as the rollout
// of a new version does.
func (d *Deployment) rollingRestart(time.Duration) {
	const interval = 1100 * time.Millisecond
	machines := append(slices.Clone(d.drawOuterMachines(0.4)), Pick(d.World, d.Controls))
	d.World.Random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	for i, m := range machines {
		d.World.After(time.Duration(i)*interval, func() { d.restartGracefully(m) })
	}
}

// restartGracefully asks a process to shut down. When it has, or after Grace, the process is killed, and starts again after
// restartDelay. It ignores a machine that is off, or a control machine that may not be lost now (see reserveLoss).
func (d *Deployment) restartGracefully(m *Machine) {
	if !m.up || isControl(m) && !d.reserveLoss(m, restartDelay+Grace) {
		return
	}
	d.recordMachineFault("term", m, restartDelay)
	m.BeginShutdown()
	incarnation := m.incarnation
	hasEnded := false
	end := func() {
		if hasEnded || m.incarnation != incarnation {
			return
		}
		hasEnded = true
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
