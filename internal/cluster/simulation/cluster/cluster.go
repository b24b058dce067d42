package cluster

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/simulation"
)

// Cluster is the scheduler's processes on a deployment's machines.
type Cluster struct {
	world             *simulation.World
	deployment        *simulation.Deployment
	size              simulation.Size
	controlMachines   []*simulation.Machine // that are or were part of the core
	initialMembers    []*simulation.Machine // members of the very first start
	byName            map[string]*simulation.Machine
	processes         map[*simulation.Machine]*process
	frontends         map[*simulation.Machine]*frontendProcess
	agents            map[*simulation.Machine]*agentProcess
	shells            map[*simulation.Machine]*shell
	appliedEntries    map[logPosition]appliedEntry
	stateDigests      map[logPosition]stateDigest
	snapshotsRestored int // snapshots restored
	identities        map[diskIncarnation]consensus.MemberID
	diskBytes         int64    // of a core machine
	snapshotEvery     uint64   // entries of a group's log after which it is replaced by a snapshot
	divergences       []string // replicas that applied different entries
	invocation        bool     // agents call their runners
}

// New puts the scheduler on a deployment. Nothing moves before the machines are booted.
func New(d *simulation.Deployment) *Cluster {
	c := &Cluster{world: d.World, deployment: d, size: d.Size,
		byName: map[string]*simulation.Machine{}, processes: map[*simulation.Machine]*process{},
		frontends: map[*simulation.Machine]*frontendProcess{}, agents: map[*simulation.Machine]*agentProcess{},
		shells:         map[*simulation.Machine]*shell{},
		appliedEntries: map[logPosition]appliedEntry{}, stateDigests: map[logPosition]stateDigest{},
		identities: map[diskIncarnation]consensus.MemberID{}, snapshotEvery: 300}
	c.initialMembers = append(c.initialMembers, d.Controls...)
	for _, m := range d.Controls {
		c.addControl(m)
	}
	for _, m := range d.Frontends {
		m.Start = func() { c.frontends[m] = newFrontend(c, m) }
	}
	for _, m := range d.AgentMachines {
		m.Start = func() { c.agents[m] = newAgent(c, m) }
	}
	c.connect(d)
	return c
}

// connect lets clients, runners, the operator and troubles reach the processes.
func (c *Cluster) connect(d *simulation.Deployment) {
	d.Clients.Frontend = func(m *simulation.Machine) simulation.Frontend {
		if f := c.frontends[m]; m.Up() && f != nil {
			return f
		}
		return nil
	}
	d.Operator.Control = func(m *simulation.Machine) simulation.ControlAPI {
		if p := c.processes[m]; m.Up() && p != nil {
			return &operatorAPI{p}
		}
		return nil
	}
	for _, runner := range append(append([]*simulation.Runner{}, d.Runners...), d.Spares...) {
		runner.Agent = func() simulation.Agent {
			if a := c.agents[runner.Machine]; runner.Machine.Up() && a != nil {
				return a
			}
			return nil
		}
	}
	d.Leader = c.leader
	d.AddControl = c.newControl
	d.Terminate = c.terminate
}

func (c *Cluster) addControl(m *simulation.Machine) {
	c.controlMachines = append(c.controlMachines, m)
	c.byName[m.Name] = m
	m.Start = func() { c.startControl(m) }
}

// newControl makes an empty machine at a new address.
func (c *Cluster) newControl() *simulation.Machine {
	m := c.deployment.NewControlMachine(fmt.Sprintf("core-%d", len(c.controlMachines)), c.controlMachines[len(c.controlMachines)%len(c.initialMembers)].Zone)
	c.addControl(m)
	return m
}

func (c *Cluster) isInitialMember(m *simulation.Machine) bool {
	return slices.Contains(c.initialMembers, m)
}

// seeds are the core machines that the operator's list names now, at most three.
func (c *Cluster) seeds() []*simulation.Machine {
	const most = 3
	cores := c.deployment.Controls
	return cores[:min(most, len(cores))]
}

// leader is a core machine that leads some group.
func (c *Cluster) leader() *simulation.Machine {
	var leaders []*simulation.Machine
	for _, m := range c.deployment.Controls {
		p := c.processes[m]
		if p == nil || !m.Up() {
			continue
		}
		for _, id := range allGroups() {
			if p.leads(id) {
				leaders = append(leaders, m)
			}
		}
	}
	if len(leaders) == 0 {
		return nil
	}
	return simulation.Pick(c.world, leaders)
}

// terminate ends a process in good order.
func (c *Cluster) terminate(m *simulation.Machine, done func()) {
	const frontDrain = 4 * time.Second // not ready, but serving; then what is in flight is finished
	switch {
	case m.Role == "front":
		m.After(frontDrain, done)
	case m.Role == "core" && c.processes[m] != nil:
		p := c.processes[m]
		m.After(0, func() { p.decommission(done) })
	default:
		m.After(50*time.Millisecond, done)
	}
}

// call asks a control process and calls done once, in the life of the caller: with the answer, or with an error once
// time is over or nobody listens.
func (c *Cluster) call(from *simulation.Machine, address string, request any, wait time.Duration, done func(any, error)) {
	over := false
	finish := func(response any, err error) {
		if !over {
			over = true
			done(response, err)
		}
	}
	timer := from.After(wait, func() { finish(nil, failure.New(failure.UnknownOutcome, "no answer in time")) })
	settle := func(response any, err error) {
		timer.Stop()
		finish(response, err)
	}
	to := c.byName[address]
	if to == nil {
		from.After(0, func() { settle(nil, failure.New(failure.Unavailable, "nobody is at that address")) })
		return
	}
	if !to.Up() || c.processes[to] == nil {
		const refusal = 3 * time.Millisecond
		from.After(refusal, func() { settle(nil, failure.New(failure.Unavailable, "connection refused")) })
		return
	}
	network := c.deployment.Network
	type outcome struct {
		response any
		err      error
	}
	simulation.Call(network, from, to, func(reply func(outcome)) {
		p := c.processes[to]
		if p == nil {
			return
		}
		p.handle(from, request, func(response any, err error) { reply(outcome{response, err}) })
	}, func(o outcome) { settle(o.response, o.err) })
}

// logger is what a machine's process logs to.
func (c *Cluster) logger(*simulation.Machine) log.Logger { return log.NewNopLogger() }
