package cluster

import (
	"net/http"
	"sync/atomic"
	"time"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/control"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

const (
	restartDelay  = 300 * time.Millisecond // after which a process that cannot begin is started again
	openSyncs     = 2                      // that opening the disk takes
	snapshotSyncs = 3                      // that writing a snapshot takes
)

// process is one life of a control process: the shipped one, without its sockets. The world's goroutine takes the turns
// of its engine; what it calls and answers runs in its shell.
type process struct {
	cluster  *Cluster
	machine  *simulation.Machine
	shell    *shell
	control  *control.Control
	operator http.Handler
	driver   *replica.Driver
	engine   *replica.Engine

	signalled     atomic.Bool       // something waits for the engine
	stepScheduled bool              // a turn comes at once
	stepTimer     *simulation.Timer // the turn after a pause
}

// startControl begins a life: the engine opens what the disk holds.
func (c *Cluster) startControl(m *simulation.Machine) {
	c.processes[m] = nil
	p := &process{cluster: c, machine: m, shell: c.newShell(m)}
	p.shell.afterStep = p.wakeIfSignalled
	p.scheduleOpen()
}

func (p *process) scheduleOpen() { p.machine.Disk.Perform(p.machine, openSyncs, p.start) }

// start opens the disk and takes part. One that cannot be opened ends the process, which the platform starts again.
func (p *process) start() {
	err := p.open()
	switch {
	case !p.machine.Up(): // it died meanwhile
	case err != nil:
		p.machine.After(restartDelay, p.scheduleOpen)
	default:
		p.cluster.checkIdentity(p)
		p.cluster.processes[p.machine] = p
		p.shell.step(p.control.Start)
		p.wake()
		p.snapshotRegularly()
		p.followSeeds()
	}
}

func (p *process) open() error {
	c, m := p.cluster, p.machine
	opened, err := control.New(control.Options{
		Self:       consensus.Member{Node: m.Name, Zone: m.Zone, Address: m.Name},
		Bootstrap:  c.bootstrap(m),
		Peers:      c.seedAddresses(),
		FileSystem: m.Disk.Files(),
		Dir:        "data",
		DiskBytes:  c.diskBytes,
		Bounds:     bootBounds(c.deployment.History.Bounds),
		Sender:     p,
		Remote:     caller{p.shell},
		Clock:      shellClock{shell: p.shell},
		Logger:     c.logger(m),
		Seed:       c.world.Random.Uint64(),
		Open:       p.openEngine,
		Observe: func(id replica.GroupID, machine replica.StateMachine) replica.StateMachine {
			return c.observe(p, id, machine)
		},
	})
	if err != nil {
		return err
	}
	p.control, p.operator = opened, opened.Operator()
	return nil
}

func (p *process) openEngine(options replica.Options) (*replica.Engine, error) {
	driver, err := replica.OpenDriver(options, replica.DriverOptions{
		Disk:         p.performDiskWork,
		Wake:         func() { p.signalled.Store(true) },
		DrawIdentity: p.cluster.drawIdentity,
	})
	if err != nil {
		return nil, err
	}
	p.driver, p.engine = driver, driver.Engine()
	return p.engine, nil
}

// bootstrap names the first members at the very first start, and nobody later.
func (c *Cluster) bootstrap(m *simulation.Machine) []string {
	if m.Incarnation() > 1 || !c.isInitialMember(m) {
		return nil
	}
	var addresses []string
	for _, first := range c.initialMembers {
		addresses = append(addresses, first.Name)
	}
	return addresses
}

func (c *Cluster) drawIdentity() (consensus.MemberID, error) {
	return consensus.MemberID(c.world.Random.Uint64() | 1), nil
}

// bootBounds are the bounds as a process finds them in its settings.
func bootBounds(bounds simulation.Bounds) boot.Bounds {
	return boot.Bounds{
		Grace:    simulation.Grace,
		MaxLease: bounds.MaxLease,
		Stop:     bounds.Stop,
		Gang:     bounds.Gang,
		Status:   bounds.Status,
		Far:      bounds.Far,
		Save:     bounds.Save,
		Restore:  bounds.Restore,
	}
}

func (p *process) performDiskWork(kind replica.DiskWork, work func()) {
	syncs := 1
	if kind == replica.DiskSnapshot {
		syncs = snapshotSyncs
	}
	p.machine.Disk.Perform(p.machine, syncs, func() {
		work()
		p.wakeIfSignalled()
	})
}

// wakeIfSignalled lets a turn come at once if something waits for the engine. It is called by the world's goroutine after whatever
// may have given the engine something.
func (p *process) wakeIfSignalled() {
	if p.signalled.Swap(false) {
		p.wake()
	}
}

func (p *process) wake() {
	if !p.stepScheduled {
		p.stepScheduled = true
		p.machine.Post(p.step)
	}
}

func (p *process) step() {
	p.stepScheduled = false
	p.stepTimer.Stop()
	p.shell.step(func() {
		pause, err := p.driver.Step()
		if err != nil {
			panic(err)
		}
		p.stepTimer = p.machine.After(pause, p.step)
	})
}

// leads tells whether this process takes itself for the owner of a group.
func (p *process) leads(group replica.GroupID) bool {
	overview, _ := p.engine.Overview(group)
	return overview.Ready
}

// do runs f on the engine's loop.
func (p *process) do(f func()) {
	p.engine.Do(f)
	p.wakeIfSignalled()
}

// snapshotRegularly replaces logs by snapshots long before their bounds are reached: a day is too short for those.
func (p *process) snapshotRegularly() {
	const interval = 250 * time.Millisecond
	p.machine.After(interval, func() {
		p.do(p.snapshotLongestLog)
		p.snapshotRegularly()
	})
}

func (p *process) snapshotLongestLog() {
	longest, id := p.cluster.snapshotEvery, replica.GroupID(0)
	for _, group := range allGroups() {
		overview, _ := p.engine.Overview(group)
		if entries := overview.Applied - overview.SnapshotIndex; entries > longest {
			longest, id = entries, group
		}
	}
	if longest > p.cluster.snapshotEvery {
		p.driver.Snapshot(id)
	}
}

func allGroups() []replica.GroupID {
	var groups []replica.GroupID
	for id := protocol.ConfigurationShard; id <= protocol.JobShards; id++ {
		groups = append(groups, uint32(id))
	}
	return groups
}

// followSeeds keeps the peers in step with the operator's list while nobody leads, as package seeds does by the settings
// file.
func (p *process) followSeeds() {
	const interval = 3 * time.Second
	p.machine.After(interval, func() {
		p.do(func() {
			if !p.engine.KnowsLeaders() {
				p.engine.SetPeers(p.cluster.seedAddresses())
			}
		})
		p.followSeeds()
	})
}

// Send carries an envelope to another process.
func (p *process) Send(address string, envelope *replica.Envelope) {
	c := p.cluster
	to := c.byName[address]
	if to == nil || to == p.machine {
		return
	}
	c.deployment.Network.Send(p.machine, to, func() {
		if other := c.processes[to]; other != nil {
			other.control.Receive(envelope)
			other.wakeIfSignalled()
		}
	})
}

// handle answers a request that has come over the network.
func (p *process) handle(from *simulation.Machine, request any, reply func(response any, err error)) {
	p.control.Handle(from.Name, request, reply)
	p.wakeIfSignalled()
}

// decommission leaves the replica groups, and calls done when the process may end, or after a while.
func (p *process) decommission(done func()) {
	p.shell.step(func() {
		p.control.Decommission(func() { p.shell.enqueue(processRequest, done) })
	})
}
