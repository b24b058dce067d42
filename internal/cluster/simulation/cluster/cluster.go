package cluster

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/simulation"
)

// Cluster holds the scheduler's processes that run on the machines of a deployment. Only the world's goroutine, which
// calls Deployment.Play, accesses its fields.
type Cluster struct {
	world             *simulation.World
	deployment        *simulation.Deployment
	controlMachines   []*simulation.Machine // all that were ever added, including those replaced since
	initialMembers    []*simulation.Machine // the control machines that bootstrap the replica groups
	byName            map[string]*simulation.Machine
	processes         map[*simulation.Machine]*process // of control machines; nil until the process has opened its disk
	frontends         map[*simulation.Machine]*frontendProcess
	agents            map[*simulation.Machine]*agentProcess
	harnesses         map[*simulation.Machine]*harness
	diskBytes         int64  // capacity of a control machine's disk, in bytes
	snapshotThreshold uint64 // a group gets a snapshot when its log has more entries than this
	invocation        bool   // agents call their runners instead of waiting for heartbeats

	// Records with which the observers compare the replicas of a group.
	appliedEntries    map[logPosition]appliedEntry
	stateDigests      map[logPosition]stateDigest
	identities        map[diskIncarnation]consensus.MemberID
	snapshotsRestored int
	divergences       []string
}

// New installs the scheduler's processes on the machines of a deployment. A process starts when its machine is booted,
// which must be done in a testing/synctest bubble.
func New(d *simulation.Deployment) *Cluster {
	c := &Cluster{
		world: d.World, deployment: d, snapshotThreshold: 300,
		byName:         map[string]*simulation.Machine{},
		processes:      map[*simulation.Machine]*process{},
		frontends:      map[*simulation.Machine]*frontendProcess{},
		agents:         map[*simulation.Machine]*agentProcess{},
		harnesses:      map[*simulation.Machine]*harness{},
		appliedEntries: map[logPosition]appliedEntry{},
		stateDigests:   map[logPosition]stateDigest{},
		identities:     map[diskIncarnation]consensus.MemberID{},
	}
	c.initialMembers = slices.Clone(d.Controls)
	for _, m := range d.Controls {
		c.addControl(m)
	}
	for _, m := range d.Frontends {
		m.Start = func() { c.frontends[m] = newFrontend(c, m) }
	}
	for _, m := range d.AgentMachines {
		m.Start = func() { c.agents[m] = newAgent(c, m) }
	}
	c.connect()
	return c
}

// connect gives clients, runners, the operator and the faults of the deployment access to the processes.
func (c *Cluster) connect() {
	d := c.deployment
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
	for _, runner := range c.deployment.AllRunners() {
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

// runnerAt returns the runner with the given address, or nil if there is none.
func (c *Cluster) runnerAt(address string) *simulation.Runner {
	for _, runner := range c.deployment.AllRunners() {
		if runner.Address == address {
			return runner
		}
	}
	return nil
}

// addControl registers a control machine, so that booting it starts a control process.
func (c *Cluster) addControl(m *simulation.Machine) {
	c.controlMachines = append(c.controlMachines, m)
	c.byName[m.Name] = m
	m.Start = func() { c.startControl(m) }
}

// newControl returns a new control machine with an empty disk and an unused name, which is also its address.
func (c *Cluster) newControl() *simulation.Machine {
	number := len(c.controlMachines)
	m := c.deployment.NewControlMachine(fmt.Sprintf("core-%d", number), c.controlMachines[number%len(c.initialMembers)].Zone)
	c.addControl(m)
	return m
}

// isInitialMember reports whether a machine bootstraps the replica groups.
func (c *Cluster) isInitialMember(m *simulation.Machine) bool {
	return slices.Contains(c.initialMembers, m)
}

// seeds returns the control machines that the setting `seeds` of all processes currently names.
func (c *Cluster) seeds() []*simulation.Machine {
	const maxSeeds = 3
	controls := c.deployment.Controls
	return controls[:min(maxSeeds, len(controls))]
}

// seedAddresses returns the addresses of the seeds. A control machine's address is its name.
func (c *Cluster) seedAddresses() []string { return names(c.seeds()) }

// names returns the names of the machines, in the same order.
func names(machines []*simulation.Machine) []string {
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	return names
}

// leader draws a control machine that leads at least one replica group, or returns nil if no machine leads a group. The
// probability of a machine is proportional to the number of groups that it leads.
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

// terminate starts the graceful shutdown of a machine's process and calls done once the process may exit.
func (c *Cluster) terminate(m *simulation.Machine, done func()) {
	const (
		frontendDrain = 4 * time.Second // a frontend serves this long while it reports that it is not ready
		agentShutdown = 50 * time.Millisecond
	)
	switch {
	case m.Role == simulation.RoleFrontend:
		m.After(frontendDrain, done)
	case m.Role == simulation.RoleControl && c.processes[m] != nil:
		p := c.processes[m]
		m.After(0, func() { p.decommission(done) })
	default:
		m.After(agentShutdown, done)
	}
}
