package cluster

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/control"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

const (
	restartDelay  = 300 * time.Millisecond // after which a process that could not open its disk is restarted
	openSyncs     = 2                      // time of opening the disk
	snapshotSyncs = 3                      // time of writing a snapshot
)

// process is one incarnation of a control process: the shipped one, without its sockets. The world's goroutine steps its
// engine; the process's other goroutines run in its shell.
type process struct {
	cluster  *Cluster
	machine  *simulation.Machine
	shell    *shell
	control  *control.Control
	operator http.Handler
	driver   *replica.Driver
	engine   *replica.Engine

	signalled     atomic.Bool       // the engine has input, set by any goroutine
	stepScheduled bool              // for the present time
	stepTimer     *simulation.Timer // for the next step without input
}

// startControl begins an incarnation: the engine opens the disk.
func (c *Cluster) startControl(m *simulation.Machine) {
	c.processes[m] = nil
	p := &process{cluster: c, machine: m, shell: c.newShell(m)}
	p.shell.afterInput = p.wakeIfSignalled
	p.scheduleOpen()
}

// scheduleOpen has the disk opened once that has taken its time.
func (p *process) scheduleOpen() { p.machine.Disk.Perform(p.machine, openSyncs, p.start) }

// start opens the disk and takes part in the cluster. If the disk can't be opened the process ends, and the platform
// restarts it.
func (p *process) start() {
	err := p.open()
	switch {
	case !p.machine.Up(): // it died meanwhile
	case err != nil:
		p.machine.After(restartDelay, p.scheduleOpen)
	default:
		p.cluster.checkIdentity(p)
		p.cluster.processes[p.machine] = p
		p.shell.deliver(p.control.Start)
		p.wake()
		p.snapshotRegularly()
		p.followSeeds()
	}
}

// open opens the disk and makes the process.
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
		Logger:     log.NewNopLogger(),
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

// openEngine opens the replica engine with a driver that steps it in the world's goroutine.
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

// bootstrap returns the addresses of the initial members at the first start of one of them, and nil at any other.
func (c *Cluster) bootstrap(m *simulation.Machine) []string {
	if m.Incarnation() > 1 || !c.isInitialMember(m) {
		return nil
	}
	return names(c.initialMembers)
}

// drawIdentity draws a member's identity, which is never 0.
func (c *Cluster) drawIdentity() (consensus.MemberID, error) {
	return consensus.MemberID(c.world.Random.Uint64() | 1), nil
}

// bootBounds returns the bounds as a process finds them in its boot settings.
func bootBounds(bounds simulation.Bounds) boot.Bounds {
	return boot.Bounds{
		Grace:              simulation.Grace,
		MaxLease:           bounds.MaxLease,
		Stop:               bounds.Stop,
		GangWait:           bounds.Gang,
		StatusRetention:    bounds.Status,
		FarFactor:          bounds.Far,
		CheckpointInterval: bounds.Save,
		Restore:            bounds.Restore,
	}
}

// performDiskWork performs work of the engine that writes to the disk once that has taken its time.
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

// wakeIfSignalled schedules a step if the engine has input. The world's goroutine calls it after whatever may have given
// the engine some.
func (p *process) wakeIfSignalled() {
	if p.signalled.Swap(false) {
		p.wake()
	}
}

// wake schedules a step for the present time.
func (p *process) wake() {
	if !p.stepScheduled {
		p.stepScheduled = true
		p.machine.Post(p.step)
	}
}

// step steps the engine and schedules the next step.
func (p *process) step() {
	p.stepScheduled = false
	p.stepTimer.Stop()
	p.shell.deliver(func() {
		next, err := p.driver.Step()
		if err != nil {
			panic(err)
		}
		p.stepTimer = p.machine.After(next, p.step)
	})
}

// leads reports whether this process believes that it is the owner of a group.
func (p *process) leads(group replica.GroupID) bool {
	overview, _ := p.engine.Overview(group)
	return overview.Ready
}

// do runs f on the engine's loop.
func (p *process) do(f func()) {
	p.engine.Do(f)
	p.wakeIfSignalled()
}

// snapshotRegularly has the group with the longest log write a snapshot, again and again. A scenario is too short for the
// logs to reach the sizes at which the engine does so by itself.
func (p *process) snapshotRegularly() {
	const interval = 250 * time.Millisecond
	p.machine.After(interval, func() {
		p.do(p.snapshotLongestLog)
		p.snapshotRegularly()
	})
}

func (p *process) snapshotLongestLog() {
	maxEntries, id := p.cluster.snapshotEvery, replica.GroupID(0)
	for _, group := range allGroups() {
		overview, _ := p.engine.Overview(group)
		if entries := overview.Applied - overview.SnapshotIndex; entries > maxEntries {
			maxEntries, id = entries, group
		}
	}
	if maxEntries > p.cluster.snapshotEvery {
		p.driver.Snapshot(id)
	}
}

// allGroups returns the groups of all shards, that of the configuration first.
func allGroups() []replica.GroupID {
	var groups []replica.GroupID
	for id := protocol.ConfigurationShard; id <= protocol.JobShards; id++ {
		groups = append(groups, uint32(id))
	}
	return groups
}

// followSeeds sets the engine's peers by the operator's list, again and again while it knows no leaders, as package seeds
// does by the file of settings.
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

// Send sends an envelope to another process. It implements the engine's sender.
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

// handle handles a request that has arrived over the network.
func (p *process) handle(from *simulation.Machine, request any, reply func(response any, err error)) {
	p.control.Handle(from.Name, request, reply)
	p.wakeIfSignalled()
}

// decommission leaves the replica groups, and calls done when the process may end, or after a timeout.
func (p *process) decommission(done func()) {
	p.shell.deliver(func() {
		p.control.Decommission(func() { p.shell.enqueue(processRequest, done) })
	})
}
