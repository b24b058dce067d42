package cluster

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/simulation"
)

// Cluster is the scheduler's processes on the machines of a deployment.
type Cluster struct {
	world           *simulation.World
	deployment      *simulation.Deployment
	controlMachines []*simulation.Machine // that are or were part of the deployment
	initialMembers  []*simulation.Machine // that bootstrap the replica groups
	byName          map[string]*simulation.Machine
	processes       map[*simulation.Machine]*process // of control machines; nil until they have opened their disks
	frontends       map[*simulation.Machine]*frontendProcess
	agents          map[*simulation.Machine]*agentProcess
	shells          map[*simulation.Machine]*shell
	diskBytes       int64  // size of a control machine's disk
	snapshotEvery   uint64 // entries of a group's log after which a snapshot replaces it
	invocation      bool   // agents invoke their runners

	// What is compared between replicas, see observer.
	appliedEntries    map[logPosition]appliedEntry
	stateDigests      map[logPosition]stateDigest
	identities        map[diskIncarnation]consensus.MemberID
	snapshotsRestored int
	divergences       []string
}

// New puts the scheduler on a deployment. Nothing happens before the machines are booted, which must be done in a
// testing/synctest bubble.
func New(d *simulation.Deployment) *Cluster {
	c := &Cluster{
		world: d.World, deployment: d, snapshotEvery: 300,
		byName:         map[string]*simulation.Machine{},
		processes:      map[*simulation.Machine]*process{},
		frontends:      map[*simulation.Machine]*frontendProcess{},
		agents:         map[*simulation.Machine]*agentProcess{},
		shells:         map[*simulation.Machine]*shell{},
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

// connect makes the processes reachable for clients, runners, the operator and the faults.
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

// runnerAt returns the runner that has an address, or nil.
func (c *Cluster) runnerAt(address string) *simulation.Runner {
	for _, runner := range c.deployment.AllRunners() {
		if runner.Address == address {
			return runner
		}
	}
	return nil
}

func (c *Cluster) addControl(m *simulation.Machine) {
	c.controlMachines = append(c.controlMachines, m)
	c.byName[m.Name] = m
	m.Start = func() { c.startControl(m) }
}

// newControl returns a new control machine with an empty disk and an address of its own.
func (c *Cluster) newControl() *simulation.Machine {
	number := len(c.controlMachines)
	m := c.deployment.NewControlMachine(fmt.Sprintf("core-%d", number), c.controlMachines[number%len(c.initialMembers)].Zone)
	c.addControl(m)
	return m
}

func (c *Cluster) isInitialMember(m *simulation.Machine) bool {
	return slices.Contains(c.initialMembers, m)
}

// seeds returns the control machines that the operator's list of seeds names at present.
func (c *Cluster) seeds() []*simulation.Machine {
	const maxSeeds = 3
	controls := c.deployment.Controls
	return controls[:min(maxSeeds, len(controls))]
}

// seedAddresses returns the addresses of the seeds. A control machine's address is its name.
func (c *Cluster) seedAddresses() []string { return names(c.seeds()) }

func names(machines []*simulation.Machine) []string {
	var names []string
	for _, m := range machines {
		names = append(names, m.Name)
	}
	return names
}

// leader draws one of the control machines that lead replica groups, more likely one that leads more; nil if none does.
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

// terminate has a process shut down and calls done once it may end.
func (c *Cluster) terminate(m *simulation.Machine, done func()) {
	const (
		frontendDrain = 4 * time.Second // not ready, but serving; then what is in flight is finished
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
