package consensus

import (
	"encoding/binary"
	"time"
)

// write is what one Output wants on disk, and what may leave after it.
type write struct {
	output Output
	local  *Snapshot // the state machine's own snapshot
}

// disk is what survives a crash.
type disk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

// apply puts a write on the disk.
func (d *disk) apply(item write) {
	if item.local != nil {
		d.keepFrom(item.local)
		return
	}
	if snapshot := item.output.Snapshot; snapshot != nil {
		d.snapshot = snapshot
		d.entries = nil
	}
	if item.output.HardState != nil {
		d.hardState = *item.output.HardState
	}
	d.add(item.output.Entries)
}

// termBefore is the term before an index, of the entries or the snapshot on the disk.
func (d *disk) termBefore(index uint64) uint64 {
	for _, entry := range d.entries {
		if entry.Index == index-1 {
			return entry.Term
		}
	}
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Term
}

// append appends entries in place of what stands at their indexes.
func (d *disk) add(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := 0
	for keep < len(d.entries) && d.entries[keep].Index < entries[0].Index {
		keep++
	}
	d.entries = append(d.entries[:keep:keep], entries...)
}

// keepFrom takes a snapshot of the state machine in place of the entries it covers.
func (d *disk) keepFrom(snapshot *Snapshot) {
	if d.snapshot != nil && d.snapshot.Index >= snapshot.Index {
		return
	}
	keep := 0
	for keep < len(d.entries) && d.entries[keep].Index <= snapshot.Index {
		keep++
	}
	d.snapshot = snapshot
	d.entries = d.entries[keep:len(d.entries):len(d.entries)]
}

// register is the state machine: one number, and a hash over all that was applied.
type register struct {
	index uint64
	hash  uint64
	value uint64
}

// apply takes the next entry.
func (r *register) apply(entry Entry) {
	r.index = entry.Index
	r.hash = hashEntry(r.hash, entry)
	if entry.Kind == EntryCommand {
		r.value = binary.BigEndian.Uint64(entry.Data)
	}
}

// encode writes the register with some padding, so that it takes several pieces.
func (r *register) encode() []byte {
	data := make([]byte, 100)
	binary.BigEndian.PutUint64(data, r.index)
	binary.BigEndian.PutUint64(data[8:], r.hash)
	binary.BigEndian.PutUint64(data[16:], r.value)
	return data
}

// decodeRegister reads what encode wrote.
func decodeRegister(data []byte) register {
	if len(data) < 24 {
		return register{}
	}
	return register{
		index: binary.BigEndian.Uint64(data),
		hash:  binary.BigEndian.Uint64(data[8:]),
		value: binary.BigEndian.Uint64(data[16:]),
	}
}

// machine is a shell around one member: a disk that syncs late, a clock of its own, and a process that can die, freeze
// and lose its disk.
type machine struct {
	world  *world
	index  int
	name   string
	id     MemberID
	disk   disk
	life   int
	up     bool
	frozen bool
	zero   time.Duration // world time minus this machine's steady time
	node   *Node
	state  register
	writes []write
	busy   bool
	inbox  []Message
	hooks  []func(committed Entry) // clients that wait
}

// clock is this machine's steady time.
func (m *machine) clock() time.Duration {
	return m.world.now - m.zero
}

// start begins a life of the process from its disk.
func (m *machine) start() {
	if m.up {
		return
	}
	m.life++
	m.up, m.frozen, m.busy = true, false, false
	m.writes, m.inbox, m.hooks = nil, nil, nil
	m.zero = m.world.now - m.world.upTo(time.Hour)
	config := Config{ID: m.id, Seed: m.world.random.Uint64(), HeartbeatInterval: simHeartbeat,
		ElectionTimeout: simElection, MaxAppendBytes: 150, MaxInflight: 4, SnapshotChunkBytes: 40}
	restored := Restored{HardState: m.disk.hardState, Snapshot: m.disk.snapshot, Entries: m.disk.entries}
	m.state = register{}
	if m.disk.snapshot != nil {
		m.state = decodeRegister(m.disk.snapshot.Data)
	}
	m.node = m.world.newNode(config, restored, m.clock())
	m.tickLater()
}

// apply puts a write on the disk, in sight of the truth.
func (m *machine) apply(item write) {
	m.disk.apply(item)
	if entries := item.output.Entries; len(entries) > 0 && item.local == nil {
		m.world.truth.sawEntries(m, m.disk.termBefore(entries[0].Index), entries)
	}
}

// crash ends the process. What was not synced may be lost, or torn in the middle.
func (m *machine) crash() {
	if !m.up {
		return
	}
	m.up = false
	kept := 0
	if len(m.writes) > 0 {
		kept = m.world.random.IntN(len(m.writes) + 1)
	}
	for _, item := range m.writes[:kept] {
		m.apply(item)
	}
	if kept < len(m.writes) && m.world.chance(0.5) {
		m.tear(m.writes[kept])
	}
	m.writes = nil
}

// tear puts the beginning of a write on the disk.
func (m *machine) tear(item write) {
	if item.local != nil || item.output.Snapshot != nil {
		return
	}
	if entries := item.output.Entries; len(entries) > 0 {
		item.output.Entries = entries[:m.world.random.IntN(len(entries))]
	}
	m.apply(item)
}

// wipe replaces the disk by an empty one, and so the identity by a new one.
func (m *machine) wipe() {
	m.crash()
	m.disk = disk{}
	m.id = m.world.freshID()
}

// freeze holds the process up.
func (m *machine) freeze() {
	if m.up {
		m.frozen = true
	}
}

// thaw lets it go on, with what was sent to it meanwhile.
func (m *machine) thaw() {
	if !m.up || !m.frozen {
		return
	}
	m.frozen = false
	inbox := m.inbox
	m.inbox = nil
	if m.world.chance(0.5) {
		m.node.Tick(m.clock())
		m.drain()
	}
	for _, message := range inbox {
		m.receive(message)
	}
	m.tickLater()
}

// tickLater calls Tick after an uneven time, or at the node's deadline.
func (m *machine) tickLater() {
	life := m.life
	wait := m.node.NextDeadline() - m.clock()
	wait = min(max(wait, time.Millisecond), 5*simTick)
	if m.world.chance(0.5) {
		wait = time.Millisecond + m.world.upTo(2*simTick)
	}
	m.world.after(wait, func() {
		if !m.up || m.frozen || m.life != life {
			return
		}
		m.node.Tick(m.clock())
		m.drain()
		m.tickLater()
	})
}

// receive takes a message in, now or once thawed.
func (m *machine) receive(message Message) {
	if !m.up || m.id != message.To {
		return
	}
	if m.frozen {
		m.inbox = append(m.inbox, message)
		return
	}
	m.node.Step(message, m.clock())
	m.drain()
}

// drain carries out all that the node wants.
func (m *machine) drain() {
	for m.node.HasOutput() {
		output := m.node.Output()
		for _, message := range output.Immediate {
			m.world.truth.sawEntries(m, message.LogTerm, message.Entries)
			m.world.send(m, message)
		}
		if needsWrite(output) {
			m.writes = append(m.writes, write{output: output})
		}
		m.install(output.Snapshot)
		m.applyAll(output.Committed)
		m.world.truth.sawStatus(m)
	}
	m.sendSnapshots()
	m.keepSnapshot()
	m.sync()
}

// needsWrite tells whether an output has to wait for the disk.
func needsWrite(output Output) bool {
	return output.HardState != nil || output.Snapshot != nil || len(output.Entries) > 0 || len(output.Deferred) > 0
}

// installSnapshot replaces the state machine.
func (m *machine) install(snapshot *Snapshot) {
	if snapshot == nil {
		return
	}
	m.state = decodeRegister(snapshot.Data)
	m.world.truth.sawSnapshot(m, snapshot)
}

// applyAll applies what is committed.
func (m *machine) applyAll(entries []Entry) {
	for _, entry := range entries {
		m.world.truth.sawCommitted(m, entry)
		m.state.apply(entry)
		for _, hook := range m.hooks {
			hook(entry)
		}
	}
}

// sendSnapshots serves the members that need one.
func (m *machine) sendSnapshots() {
	for _, id := range m.node.NeedSnapshot() {
		m.node.SendSnapshot(m.clock(), id, m.snapshot())
	}
}

// snapshot is the state machine as it is.
func (m *machine) snapshot() Snapshot {
	term, _ := m.node.log.term(m.state.index)
	return Snapshot{Index: m.state.index, Term: term, Members: m.node.MembersAt(m.state.index), Data: m.state.encode()}
}

// keepSnapshot writes a snapshot once the log has grown.
func (m *machine) keepSnapshot() {
	if m.state.index < m.node.log.base+15 {
		return
	}
	for _, item := range m.writes {
		if item.local != nil {
			return
		}
	}
	snapshot := m.snapshot()
	m.writes = append(m.writes, write{local: &snapshot})
}

// sync begins to write all that waits.
func (m *machine) sync() {
	if m.busy || len(m.writes) == 0 {
		return
	}
	m.busy = true
	life, count := m.life, len(m.writes)
	took := 100*time.Microsecond + m.world.upTo(m.world.conditions.maxSync)
	if m.world.chance(m.world.conditions.stall) {
		took += m.world.upTo(time.Second)
	}
	m.world.after(took, func() { m.synced(life, count) })
}

// synced ends a sync of so many writes.
func (m *machine) synced(life, count int) {
	if !m.up || m.life != life {
		return
	}
	if m.frozen {
		m.world.after(simTick, func() { m.synced(life, count) })
		return
	}
	m.busy = false
	done := m.writes[:count]
	m.writes = append([]write(nil), m.writes[count:]...)
	var last Entry
	for _, item := range done {
		m.apply(item)
		if entries := item.output.Entries; len(entries) > 0 {
			last = entries[len(entries)-1]
		}
		if item.local != nil {
			m.node.Compact(item.local.Index - min(item.local.Index, 5))
		}
		for _, message := range item.output.Deferred {
			m.world.send(m, message)
		}
	}
	m.node.Persisted(m.clock(), last.Index, last.Term)
	m.drain()
}
