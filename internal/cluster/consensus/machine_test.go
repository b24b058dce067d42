package consensus

import (
	"encoding/binary"
	"time"
)

// write is data that waits for the disk: an Output, or a snapshot that the machine took of its state machine.
type write struct {
	output Output
	local  *Snapshot // the machine's own snapshot; nil: the write is output
}

// disk is the state of a machine that survives a crash.
type disk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

// apply carries out a write.
func (d *disk) apply(item write) {
	if item.local != nil {
		d.compactTo(item.local)
		return
	}
	if snapshot := item.output.Snapshot; snapshot != nil {
		d.snapshot = snapshot
		d.entries = nil
	}
	if item.output.HardState != nil {
		d.hardState = *item.output.HardState
	}
	d.appendEntries(item.output.Entries)
}

// termBefore returns the term of the entry before an index, from the entries or the snapshot on the disk.
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

// appendEntries appends entries, replacing those at the same and all higher indexes.
func (d *disk) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := 0
	for keep < len(d.entries) && d.entries[keep].Index < entries[0].Index {
		keep++
	}
	d.entries = append(d.entries[:keep:keep], entries...)
}

// compactTo replaces the entries that a snapshot covers by the snapshot.
func (d *disk) compactTo(snapshot *Snapshot) {
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

// register is the state machine: one number that commands set, and a hash of all entries that were applied.
type register struct {
	index uint64 // of the last applied entry
	hash  uint64 // of all entries up to index
	value uint64 // that the last command set
}

// apply applies the next entry.
func (r *register) apply(entry Entry) {
	r.index = entry.Index
	r.hash = hashEntry(r.hash, entry)
	if entry.Kind == EntryCommand {
		r.value = binary.BigEndian.Uint64(entry.Data)
	}
}

// encode encodes the register in 24 bytes and adds 76 bytes of padding, so that a snapshot needs several chunks.
func (r *register) encode() []byte {
	data := make([]byte, 100)
	binary.BigEndian.PutUint64(data, r.index)
	binary.BigEndian.PutUint64(data[8:], r.hash)
	binary.BigEndian.PutUint64(data[16:], r.value)
	return data
}

// decodeRegister decodes the result of encode. For less than 24 bytes it returns an empty register.
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

// machine runs one Node as the package comment requires. It simulates a disk that takes time to sync, a clock with its own
// zero, and a process that can crash, freeze and lose its disk.
type machine struct {
	world       *world
	index       int
	name        string
	id          MemberID
	disk        disk
	incarnation int           // number of processes that this machine has started; events of earlier ones have no effect
	up          bool          // a process runs
	frozen      bool          // the process is stopped, and its messages wait in inbox
	clockOffset time.Duration // the world's time minus the time of this machine's clock
	node        *Node
	state       register
	writes      []write                 // not on disk yet, oldest first
	syncing     bool                    // a sync is under way
	inbox       []Message               // messages that arrived while the process was frozen
	commitHooks []func(committed Entry) // called with each entry that is applied
}

// clock returns the time of this machine's monotonic clock.
func (m *machine) clock() time.Duration {
	return m.world.now - m.clockOffset
}

// start starts a process from the state on the disk, unless one is running.
func (m *machine) start() {
	if m.up {
		return
	}
	m.incarnation++
	m.up, m.frozen, m.syncing = true, false, false
	m.writes, m.inbox, m.commitHooks = nil, nil, nil
	m.clockOffset = m.world.now - m.world.randomUpTo(time.Hour)
	config := Config{ID: m.id, Seed: m.world.random.Uint64(), HeartbeatInterval: simHeartbeatInterval,
		ElectionTimeout: simElectionTimeout, MaxAppendBytes: 150, MaxInflight: 4, SnapshotChunkBytes: 40}
	restored := Restored{HardState: m.disk.hardState, Snapshot: m.disk.snapshot, Entries: m.disk.entries}
	m.state = register{}
	if m.disk.snapshot != nil {
		m.state = decodeRegister(m.disk.snapshot.Data)
	}
	m.node = m.world.newNode(config, restored, m.clock())
	m.scheduleTick()
}

// apply carries out a write, and checks log matching for the entries that it writes.
func (m *machine) apply(item write) {
	m.disk.apply(item)
	if entries := item.output.Entries; len(entries) > 0 && item.local == nil {
		m.world.invariants.checkEntries(m, m.disk.termBefore(entries[0].Index), entries)
	}
}

// crash ends the process. A random prefix of the unsynced writes is on the disk, and the next write may be torn.
func (m *machine) crash() {
	if !m.up {
		return
	}
	m.up = false
	written := 0
	if len(m.writes) > 0 {
		written = m.world.random.IntN(len(m.writes) + 1)
	}
	for _, item := range m.writes[:written] {
		m.apply(item)
	}
	if written < len(m.writes) && m.world.chance(0.5) {
		m.tear(m.writes[written])
	}
	m.writes = nil
}

// tear carries out a part of a write: the hard state and some of the entries. If the write contains a snapshot, tear does
// not write any part of it.
func (m *machine) tear(item write) {
	if item.local != nil || item.output.Snapshot != nil {
		return
	}
	if entries := item.output.Entries; len(entries) > 0 {
		item.output.Entries = entries[:m.world.random.IntN(len(entries))]
	}
	m.apply(item)
}

// wipe crashes the process and replaces the disk by an empty one. The machine gets a new member ID.
func (m *machine) wipe() {
	m.crash()
	m.disk = disk{}
	m.id = m.world.newID()
}

// freeze stops the process until thaw. A sync that is under way ends only after that.
func (m *machine) freeze() {
	if m.up {
		m.frozen = true
	}
}

// thaw resumes a frozen process. Its node first ticks or first receives the messages that have arrived, at random.
func (m *machine) thaw() {
	if !m.up || !m.frozen {
		return
	}
	m.frozen = false
	inbox := m.inbox
	m.inbox = nil
	if m.world.chance(0.5) {
		m.node.Tick(m.clock())
		m.processOutput()
	}
	for _, message := range inbox {
		m.receive(message)
	}
	m.scheduleTick()
}

// scheduleTick schedules calls of Tick, each at the node's deadline or at a random time.
func (m *machine) scheduleTick() {
	incarnation := m.incarnation
	wait := m.node.NextDeadline() - m.clock()
	wait = min(max(wait, time.Millisecond), 5*simTickInterval)
	if m.world.chance(0.5) {
		wait = time.Millisecond + m.world.randomUpTo(2*simTickInterval)
	}
	m.world.after(wait, func() {
		if !m.up || m.frozen || m.incarnation != incarnation {
			return
		}
		m.node.Tick(m.clock())
		m.processOutput()
		m.scheduleTick()
	})
}

// receive passes a message to the node: at once, or after thaw if the process is frozen.
func (m *machine) receive(message Message) {
	if !m.up || m.id != message.To {
		return
	}
	if m.frozen {
		m.inbox = append(m.inbox, message)
		return
	}
	m.node.Step(message, m.clock())
	m.processOutput()
}

// processOutput carries out the node's output. It also sends and takes snapshots that are needed, and starts a sync.
func (m *machine) processOutput() {
	for m.node.HasOutput() {
		output := m.node.Output()
		for _, message := range output.Immediate {
			m.world.invariants.checkEntries(m, message.LogTerm, message.Entries)
			m.world.send(m, message)
		}
		if needsWrite(output) {
			m.writes = append(m.writes, write{output: output})
		}
		m.install(output.Snapshot)
		m.applyCommitted(output.Committed)
		m.world.invariants.checkStatus(m)
	}
	m.sendSnapshots()
	m.maybeTakeSnapshot()
	m.startSync()
}

// needsWrite reports whether an output has to wait for the disk.
func needsWrite(output Output) bool {
	return output.HardState != nil || output.Snapshot != nil || len(output.Entries) > 0 || len(output.Deferred) > 0
}

// install replaces the state machine by a snapshot. A nil snapshot leaves the state machine unchanged.
func (m *machine) install(snapshot *Snapshot) {
	if snapshot == nil {
		return
	}
	m.state = decodeRegister(snapshot.Data)
	m.world.invariants.checkSnapshot(m, snapshot)
}

// applyCommitted checks committed entries, applies them, and calls the hooks with them.
func (m *machine) applyCommitted(entries []Entry) {
	for _, entry := range entries {
		m.world.invariants.checkCommitted(m, entry)
		m.state.apply(entry)
		for _, hook := range m.commitHooks {
			hook(entry)
		}
	}
}

// sendSnapshots begins to send a snapshot to each member that needs one.
func (m *machine) sendSnapshots() {
	for _, id := range m.node.MembersNeedingSnapshot() {
		m.node.SendSnapshot(m.clock(), id, m.snapshot())
	}
}

// snapshot returns a snapshot of the current state machine.
func (m *machine) snapshot() Snapshot {
	term, _ := m.node.log.term(m.state.index)
	return Snapshot{Index: m.state.index, Term: term, Members: m.node.MembersAt(m.state.index), Data: m.state.encode()}
}

// maybeTakeSnapshot queues a snapshot to be written once the log has 15 applied entries, unless one is queued.
func (m *machine) maybeTakeSnapshot() {
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

// startSync begins to sync all queued writes, unless a sync is under way.
func (m *machine) startSync() {
	if m.syncing || len(m.writes) == 0 {
		return
	}
	m.syncing = true
	incarnation, count := m.incarnation, len(m.writes)
	duration := 100*time.Microsecond + m.world.randomUpTo(m.world.conditions.maxSync)
	if m.world.chance(m.world.conditions.syncStall) {
		duration += m.world.randomUpTo(time.Second)
	}
	m.world.after(duration, func() { m.finishSync(incarnation, count) })
}

// finishSync ends the sync of the oldest count writes. They are then on disk, so it sends the messages that waited for them,
// calls Persisted, and compacts the log behind a snapshot.
func (m *machine) finishSync(incarnation, count int) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	if m.frozen {
		m.world.after(simTickInterval, func() { m.finishSync(incarnation, count) })
		return
	}
	m.syncing = false
	done := m.writes[:count]
	m.writes = append([]write(nil), m.writes[count:]...)
	var last Entry
	for _, item := range done {
		m.apply(item)
		if entries := item.output.Entries; len(entries) > 0 {
			last = entries[len(entries)-1]
		}
		if item.local != nil {
			m.node.Compact(item.local.Index - min(item.local.Index, 5)) // members that lag by up to 5 entries need no snapshot
		}
		for _, message := range item.output.Deferred {
			m.world.send(m, message)
		}
	}
	m.node.Persisted(m.clock(), last.Index, last.Term)
	m.processOutput()
}
