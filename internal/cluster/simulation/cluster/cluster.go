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
	world         *simulation.World
	deployment    *simulation.Deployment
	size          simulation.Size
	cores         []*simulation.Machine // that are or were part of the core
	first         []*simulation.Machine // members of the very first start
	byName        map[string]*simulation.Machine
	controls      map[*simulation.Machine]*process
	frontends     map[*simulation.Machine]*frontendPort
	agents        map[*simulation.Machine]*agentPort
	shells        map[*simulation.Machine]*shell
	applied       map[applied]appliedEntry
	states        map[applied]stateDigest
	restored      int // snapshots restored
	identities    map[diskLife]consensus.MemberID
	diskBytes     int64    // of a core machine
	snapshotEvery uint64   // entries of a group's log after which it is replaced by a snapshot
	diverged      []string // replicas that applied different entries
	called        bool     // agents call their runners
}

// New puts the scheduler on a deployment. Nothing moves before the machines are booted.
func New(d *simulation.Deployment) *Cluster {
	c := &Cluster{world: d.World, deployment: d, size: d.Size,
		byName: map[string]*simulation.Machine{}, controls: map[*simulation.Machine]*process{},
		frontends: map[*simulation.Machine]*frontendPort{}, agents: map[*simulation.Machine]*agentPort{},
		shells:  map[*simulation.Machine]*shell{},
		applied: map[applied]appliedEntry{}, states: map[applied]stateDigest{},
		identities: map[diskLife]consensus.MemberID{}, snapshotEvery: 300}
	c.first = append(c.first, d.Cores...)
	for _, m := range d.Cores {
		c.addCore(m)
	}
	for _, m := range d.Fronts {
		m.Start = func() { c.frontends[m] = newFrontend(c, m) }
	}
	for _, m := range d.Sides {
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
	d.Operator.Control = func(m *simulation.Machine) simulation.Control {
		if p := c.controls[m]; m.Up() && p != nil {
			return &operatorPort{p}
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
	d.AddCore = c.newCore
	d.Terminate = c.terminate
}

func (c *Cluster) addCore(m *simulation.Machine) {
	c.cores = append(c.cores, m)
	c.byName[m.Name] = m
	m.Start = func() { c.startControl(m) }
}

// newCore makes an empty machine at a new address.
func (c *Cluster) newCore() *simulation.Machine {
	m := c.deployment.NewCore(fmt.Sprintf("core-%d", len(c.cores)), c.cores[len(c.cores)%len(c.first)].Zone)
	c.addCore(m)
	return m
}

func (c *Cluster) isFirst(m *simulation.Machine) bool { return slices.Contains(c.first, m) }

// seeds are the core machines that the operator's list names now, at most three.
func (c *Cluster) seeds() []*simulation.Machine {
	const most = 3
	cores := c.deployment.Cores
	return cores[:min(most, len(cores))]
}

// leader is a core machine that leads some group.
func (c *Cluster) leader() *simulation.Machine {
	var leaders []*simulation.Machine
	for _, m := range c.deployment.Cores {
		p := c.controls[m]
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
	case m.Class == "front":
		m.After(frontDrain, done)
	case m.Class == "core" && c.controls[m] != nil:
		p := c.controls[m]
		m.After(0, func() { p.leave(done) })
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
	if !to.Up() || c.controls[to] == nil {
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
		p := c.controls[to]
		if p == nil {
			return
		}
		p.handle(from, request, func(response any, err error) { reply(outcome{response, err}) })
	}, func(o outcome) { settle(o.response, o.err) })
}

// logger is what a machine's process logs to.
func (c *Cluster) logger(*simulation.Machine) log.Logger { return log.NewNopLogger() }
