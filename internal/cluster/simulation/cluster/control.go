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
	restartDelay  = 300 * time.Millisecond // until a process that failed to open its disk is restarted
	openSyncs     = 2                      // duration of opening the disk, in syncs
	snapshotSyncs = 3                      // duration of writing a snapshot, in syncs
)

// process is one incarnation of the shipped control process, without its sockets. The world's goroutine steps the replica
// engine through a driver, in place of the goroutine that Engine.Run would be. The other goroutines of the process run in
// its harness.
type process struct {
	cluster  *Cluster
	machine  *simulation.Machine
	harness  *harness
	control  *control.Control
	operator http.Handler
	driver   *replica.Driver
	engine   *replica.Engine

	signalled     atomic.Bool       // the engine has unprocessed input; any goroutine may set it
	stepScheduled bool              // wake has scheduled a step that has not run yet
	stepTimer     *simulation.Timer // runs the next step if there is no input before
}

// startControl begins an incarnation of a machine's control process. The process serves only once it has opened its disk.
func (c *Cluster) startControl(m *simulation.Machine) {
	c.processes[m] = nil
	p := &process{cluster: c, machine: m, harness: c.newHarness(m)}
	p.harness.afterInput = p.wakeIfSignalled
	p.scheduleOpen()
}

// scheduleOpen calls start after the duration of opening the disk.
func (p *process) scheduleOpen() { p.machine.Disk.Perform(p.machine, openSyncs, p.start) }

// start opens the disk and then takes part in the cluster. If opening fails, it tries again after restartDelay: this models
// a process that exits with an error and that the platform restarts.
func (p *process) start() {
	err := p.open()
	switch {
	case !p.machine.Up(): // the process was killed before the disk was open
	case err != nil:
		p.machine.After(restartDelay, p.scheduleOpen)
	default:
		p.cluster.checkIdentity(p)
		p.cluster.processes[p.machine] = p
		p.harness.deliver(p.control.Start)
		p.wake()
		p.snapshotRegularly()
		p.followSeeds()
	}
}

// open opens the disk and creates the shipped control process on it.
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
		Remote:     caller{p.harness},
		Clock:      machineClock{harness: p.harness},
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

// openEngine opens the replica engine with a driver, which lets the world's goroutine step it.
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

// bootstrap returns the addresses of the initial members if the machine is an initial member and starts for the first time.
// Otherwise it returns nil: a restarted process knows its groups' members from its disk, and a machine that was added later
// or lost its disk joins the existing groups through its peers.
func (c *Cluster) bootstrap(m *simulation.Machine) []string {
	if m.Incarnation() > 1 || !c.isInitialMember(m) {
		return nil
	}
	return names(c.initialMembers)
}

// drawIdentity draws the ID of a new member from the seed. The ID is never 0.
func (c *Cluster) drawIdentity() (consensus.MemberID, error) {
	return consensus.MemberID(c.world.Random.Uint64() | 1), nil
}

// bootBounds returns the bounds of a scenario in the form of a process's boot settings.
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

// performDiskWork performs disk work of the engine after the duration that it takes on the machine's disk.
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

// wakeIfSignalled schedules a step if the engine has unprocessed input. The world's goroutine calls it after every action
// that may have given input to the engine.
func (p *process) wakeIfSignalled() {
	if p.signalled.Swap(false) {
		p.wake()
	}
}

// wake schedules a step for the current time, unless a step is scheduled already.
func (p *process) wake() {
	if !p.stepScheduled {
		p.stepScheduled = true
		p.machine.Post(p.step)
	}
}

// step runs one step of the engine and schedules the next one for the time that the engine asks for.
func (p *process) step() {
	p.stepScheduled = false
	p.stepTimer.Stop()
	p.harness.deliver(func() {
		next, err := p.driver.Step()
		if err != nil {
			panic(err)
		}
		p.stepTimer = p.machine.After(next, p.step)
	})
}

// leads reports whether this process believes that it leads a group and is ready to serve as its owner.
func (p *process) leads(group replica.GroupID) bool {
	overview, _ := p.engine.Overview(group)
	return overview.Ready
}

// do runs f on the engine's loop, that is, within the next step.
func (p *process) do(f func()) {
	p.engine.Do(f)
	p.wakeIfSignalled()
}

// snapshotRegularly calls snapshotLongestLog at regular intervals, because a scenario is usually too short for a log to
// reach the size at which the engine starts a snapshot without being asked.
func (p *process) snapshotRegularly() {
	const interval = 250 * time.Millisecond
	p.machine.After(interval, func() {
		p.do(p.snapshotLongestLog)
		p.snapshotRegularly()
	})
}

// snapshotLongestLog starts a snapshot of the group with the most log entries since its last snapshot, if there are more
// than snapshotThreshold.
func (p *process) snapshotLongestLog() {
	maxEntries, id := p.cluster.snapshotThreshold, replica.GroupID(0)
	for _, group := range allGroups() {
		overview, _ := p.engine.Overview(group)
		if entries := overview.Applied - overview.SnapshotIndex; entries > maxEntries {
			maxEntries, id = entries, group
		}
	}
	if maxEntries > p.cluster.snapshotThreshold {
		p.driver.Snapshot(id)
	}
}

// allGroups returns the replica groups of all shards, starting with the configuration's group.
func allGroups() []replica.GroupID {
	var groups []replica.GroupID
	for id := protocol.ConfigurationShard; id <= protocol.JobShards; id++ {
		groups = append(groups, uint32(id))
	}
	return groups
}

// followSeeds sets the engine's peers to the current seeds at regular intervals while the engine knows no leaders. It models
// package seeds, which does the same with the seeds of the settings file.
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

// Send sends an envelope to the control process at an address over the simulated network. It drops the envelope if the
// address is unknown or its own. It implements the engine's sender.
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

// handle passes a request that has arrived over the network to the control process, which calls reply with the response.
func (p *process) handle(from *simulation.Machine, request any, reply func(response any, err error)) {
	p.control.Handle(from.Name, request, reply)
	p.wakeIfSignalled()
}

// decommission makes the process leave its replica groups. It calls done once the process may exit, at the latest after the
// timeout of Control.Decommission.
func (p *process) decommission(done func()) {
	p.harness.deliver(func() {
		p.control.Decommission(func() { p.harness.enqueue(processRequest, done) })
	})
}
