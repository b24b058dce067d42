package cluster

import (
	"hash/fnv"
	"time"

	"ospreypond/internal/consensus"
	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
	"ospreypond/internal/simulation"
)

const (
	heartbeatInterval = 120 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	manageEvery       = 100 * time.Millisecond
	tickLeast         = 5 * time.Millisecond
	tickMost          = 250 * time.Millisecond
	resignTime        = 1500 * time.Millisecond
	timerGrid         = 10 * time.Millisecond // wake-ups are rounded up to it, so that timers share one
)

// process is one life of a control process.
type process struct {
	cluster *Cluster
	machine *simulation.Machine
	id      consensus.MemberID
	now     time.Duration
	began   int64 // time of day at its start, ms

	groups        []*group
	configuration *configurationShard
	shards        []*jobShard // by shard; the first is nil

	inTurn     bool
	batch      []diskRecord
	deferred   []consensus.Message
	outbox     map[consensus.MemberID][]consensus.Message
	outOrder   []consensus.MemberID
	writing    bool
	writeBegan time.Duration
	sick       bool
	resigning  bool
	manageAt   time.Duration
	joinAt     time.Duration
	tickAt     time.Duration
	timer      *simulation.Timer
	timerAt    time.Duration
}

// startControl begins a life: the disk is read, or a new identity is written and synced before anything else.
func (c *Cluster) startControl(m *simulation.Machine) {
	p := &process{cluster: c, machine: m, began: m.TimeOfDayMs(), outbox: map[consensus.MemberID][]consensus.Message{}}
	c.controls[m] = nil
	m.Disk.SyncAll()
	who, held := readDisk(m.Disk.Records())
	if who != nil {
		p.join(who, held)
		return
	}
	who = c.newIdentity(m)
	var write func()
	write = func() {
		m.Disk.Write(m, []any{diskRecord{identity: who}}, func(ok bool) {
			if !ok {
				m.After(rewriteAfter, write)
				return
			}
			p.join(who, map[uint32]*heldGroup{})
		})
	}
	write()
}

// newIdentity is that of a first member at the very first start, else a random one.
func (c *Cluster) newIdentity(m *simulation.Machine) *identity {
	if m.Life() > 1 || !c.isFirst(m) {
		return &identity{id: consensus.MemberID(c.world.Random.Uint64() | 1)}
	}
	who := &identity{id: firstID(m.Name)}
	for _, other := range c.first {
		who.first = append(who.first, consensus.Member{ID: firstID(other.Name), Node: other.Name, Zone: other.Zone, Address: other.Name})
	}
	return who
}

func firstID(name string) consensus.MemberID {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return consensus.MemberID(hash.Sum64() | 1)
}

// join takes part with what the disk holds.
func (p *process) join(who *identity, held map[uint32]*heldGroup) {
	c := p.cluster
	p.id = who.id
	p.now = p.machine.Steady()
	c.byID[p.id] = p.machine
	c.controls[p.machine] = p
	p.configuration = newConfigurationShard(p)
	p.shards = make([]*jobShard, protocol.JobShards+1)
	p.addGroup(0, p.configuration, who, held)
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		p.shards[id] = newJobShard(p, id)
		p.addGroup(uint32(id), p.shards[id], who, held)
	}
	p.turn(func() {})
}

func (p *process) addGroup(id uint32, m machine, who *identity, held map[uint32]*heldGroup) {
	g := &group{id: id, process: p, machine: m, proposals: map[uint64]proposal{}, joiners: map[consensus.MemberID]consensus.Member{}}
	restored := held[id].restored(who.first)
	if h := held[id]; h != nil && h.snapshot != nil {
		if err := m.Restore(h.snapshot.Data); err != nil {
			panic(err)
		}
		g.applied, g.appliedTerm = h.snapshot.Index, h.snapshot.Term
	}
	g.node = consensus.New(consensus.Config{Group: id, ID: p.id, Seed: p.cluster.world.Random.Uint64(),
		HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout}, restored, p.now)
	p.groups = append(p.groups, g)
}

// turn handles one input and all that comes of it. Within a turn it just handles the input.
func (p *process) turn(input func()) {
	if p.inTurn {
		input()
		return
	}
	p.inTurn = true
	p.now = max(p.machine.Steady(), p.now+1)
	input()
	for _, g := range p.groups {
		if g.node.NextDeadline() <= p.now {
			g.node.Tick(p.now)
		}
		g.watchLeadership()
	}
	p.drain()
	if p.now >= p.tickAt {
		p.tick()
		p.drain()
	}
	if p.now >= p.manageAt {
		p.manageAt = p.now + manageEvery
		p.manage()
		p.drain()
	}
	for _, g := range p.groups {
		g.settleConfirms()
	}
	p.drain()
	p.flush()
	p.submit()
	p.flush()
	p.inTurn = false
	p.schedule()
}

// drain carries out what the groups want until none wants anything.
func (p *process) drain() {
	for again := true; again; {
		again = false
		for _, g := range p.groups {
			if g.node.HasOutput() {
				again = true
				g.carryOut(g.node.Output())
				g.watchLeadership()
			}
		}
	}
}

func (p *process) manage() {
	slow := p.writing && p.now-p.writeBegan > sickAfter
	if slow {
		p.setSick(true)
	}
	if p.sick || p.resigning {
		p.giveAway()
	}
	for _, g := range p.groups {
		g.superintend()
		g.snapshotIfLong()
	}
	p.askToJoin()
}

// tick lets time pass for the owners and the feed.
func (p *process) tick() {
	next := p.now + tickMost
	for _, shard := range p.shards[1:] {
		shard.tick()
		next = min(next, shard.deadline())
	}
	p.configuration.tick()
	next = min(next, p.configuration.deadline())
	p.tickAt = max(next, p.now+tickLeast)
}

// wake makes the next tick come soon.
func (p *process) wake() { p.tickAt = min(p.tickAt, p.now+tickLeast) }

// schedule sets the timer for the next turn.
func (p *process) schedule() {
	next := min(p.manageAt, p.tickAt)
	for _, g := range p.groups {
		next = min(next, g.node.NextDeadline())
		if len(g.confirms) > 0 {
			next = min(next, p.now+timerGrid)
		}
	}
	next = max((next+timerGrid-1)/timerGrid*timerGrid, p.now+timerGrid/2)
	if p.timer.Pending() && p.timerAt <= next {
		return
	}
	p.timer.Stop()
	p.timerAt = next
	p.timer = p.machine.After(next-p.now, func() { p.turn(func() {}) })
}

// post gathers messages for other members.
func (p *process) post(messages []consensus.Message) {
	for i := range messages {
		to := messages[i].To
		if len(p.outbox[to]) == 0 {
			p.outOrder = append(p.outOrder, to)
		}
		p.outbox[to] = append(p.outbox[to], messages[i])
	}
}

// flush sends what was gathered.
func (p *process) flush() {
	for _, id := range p.outOrder {
		messages := p.outbox[id]
		delete(p.outbox, id)
		to := p.cluster.byID[id]
		if to == nil || to == p.machine {
			continue
		}
		p.send(to, func(other *process) { other.receive(messages) })
	}
	p.outOrder = p.outOrder[:0]
}

// send calls f for the process that runs on another machine when the message arrives.
func (p *process) send(to *simulation.Machine, f func(other *process)) {
	p.cluster.deployment.Network.Send(p.machine, to, func() {
		if other := p.cluster.controls[to]; other != nil {
			other.turn(func() { f(other) })
		}
	})
}

func (p *process) receive(messages []consensus.Message) {
	for i := range messages {
		if messages[i].To == p.id {
			p.groups[messages[i].Group].node.Step(messages[i], p.now)
		}
	}
}

// timeOfDayMs is the time of day that this process goes by.
func (p *process) timeOfDayMs() int64 { return p.began + p.now.Milliseconds() }

// leaderAddress is where a group's leader is, as far as known here.
func (p *process) leaderAddress(group uint32) string {
	if m := p.cluster.byID[p.groups[group].node.Status().Leader]; m != nil {
		return m.Name
	}
	return ""
}

func (p *process) notOwner(group uint32) error {
	leader := p.leaderAddress(group)
	if leader == p.machine.Name {
		leader = ""
	}
	return &failure.Error{Kind: failure.NotLeader, Message: "this process does not own the shard", Leader: leader}
}

// resign gives away what this process leads, and calls done when it has, or after a while.
func (p *process) resign(done func()) {
	p.turn(func() {
		p.resigning = true
		for _, g := range p.groups {
			g.node.SetCampaign(false)
		}
		p.giveAway()
	})
	until := p.now + resignTime
	var look func()
	look = func() {
		leads := false
		for _, g := range p.groups {
			leads = leads || g.node.Status().IsLeader
		}
		if !leads || p.machine.Steady() > until {
			done()
			return
		}
		p.machine.After(20*time.Millisecond, look)
	}
	p.machine.After(20*time.Millisecond, look)
}
