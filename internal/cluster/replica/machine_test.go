package replica

import (
	"bytes"
	"encoding/gob"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs/vfstest"
)

// forget is a command that makes a recorder drop all lines before it.
const forget = "forget"

// recorder is a state machine that records the first word of each command, which is called a line.
type recorder struct {
	Lines    []string
	Last     uint64 // index of the newest applied command
	leading  uint64 // term of the last call of Leading; 0 after Following
	began    int    // number of calls of Leading
	ended    int    // number of calls of Following
	restored int    // number of calls of Restore
	defers   bool   // result of DefersTransfer
}

// The engine finds the optional interfaces by type assertion at run time. These assignments make it a compile error if a
// method of the recorder has another name.
var (
	_ LeadershipObserver = (*recorder)(nil)
	_ TransferDeferrer   = (*recorder)(nil)
)

func (l *recorder) DefersTransfer() bool { return l.defers }

func (l *recorder) Apply(index, term uint64, data []byte) any {
	Expect(index).To(BeNumerically(">", l.Last), "entries are applied in order")
	l.Last = index
	if string(data) == forget {
		l.Lines = nil
	}
	name, _, _ := strings.Cut(string(data), " ")
	l.Lines = append(l.Lines, name)
	return len(l.Lines)
}

func (l *recorder) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(l)
	return buffer.Bytes(), err
}

func (l *recorder) Restore(data []byte) error {
	l.restored++
	l.Lines, l.Last = nil, 0
	return gob.NewDecoder(bytes.NewReader(data)).Decode(l)
}

func (l *recorder) Leading(term uint64) {
	Expect(l.leading).To(BeZero(), "Leading comes once")
	l.leading = term
	l.began++
}

func (l *recorder) Following() {
	Expect(l.leading).NotTo(BeZero(), "Following comes after Leading")
	l.leading = 0
	l.ended++
}

// machine simulates a machine with one process and its disk.
type machine struct {
	cluster     *cluster
	name        string
	address     string
	files       *vfstest.Mem
	engine      *Engine
	recorders   map[GroupID]*recorder
	states      map[GroupID]realState
	bandwidth   float64                  // bytes per second of the links from and to it; 0 for no limit
	linkFree    map[string]time.Duration // by address, when the link to it has sent all waiting envelopes
	up          bool                     // the process runs
	frozen      bool                     // the process runs, but takes no steps
	isolated    bool                     // all envelopes from and to it are lost
	diskDelay   time.Duration            // time that a write takes
	wakeAt      time.Duration            // when the process takes its next step
	incarnation int                      // number of starts of the process
	durable     map[GroupID]logEnd       // the newest entries on the disk
}

// logEnd is the index and term of the newest entry of a log.
type logEnd struct{ index, term uint64 }

// covers reports whether a log that ends here is at least as up-to-date as another log, so that its owner may get the vote
// of the other log's owner (Raft, section 5.4.1).
func (l logEnd) covers(other logEnd) bool {
	return l.term > other.term || l.term == other.term && l.index >= other.index
}

// start starts the machine's process from its disk. bootstrap is empty unless the system starts for the first time.
func (m *machine) start(bootstrap []string) {
	Expect(m.open(bootstrap)).To(Succeed())
}

// open is like start, but returns the error of Open.
func (m *machine) open(bootstrap []string) error {
	m.recorders = map[GroupID]*recorder{}
	m.states = map[GroupID]realState{}
	machines := map[GroupID]StateMachine{}
	for id := range GroupID(m.cluster.groups) {
		m.recorders[id] = &recorder{}
		machines[id] = m.recorders[id]
		if m.cluster.newState != nil {
			m.states[id] = m.cluster.newState(id)
			machines[id] = &observedState{recorder: m.recorders[id], state: m.states[id]}
		}
	}
	engine, err := Open(Options{
		FileSystem:  m.files,
		Dir:         "data",
		Groups:      machines,
		Self:        consensus.Member{Node: m.name, Zone: "zone", Address: m.address},
		Bootstrap:   bootstrap,
		Peers:       m.cluster.seeds,
		DiskBytes:   m.cluster.disk,
		Sender:      m,
		Clock:       m.cluster.clock,
		Logger:      log.With(m.cluster.logger, "at", log.Valuer(func() any { return m.cluster.now() }), "node", m.name),
		Seed:        m.cluster.random.Uint64(),
		newMemberID: func() (consensus.MemberID, error) { return consensus.MemberID(m.cluster.random.Uint64()), nil },

		HeartbeatInterval: m.cluster.heartbeat,
		ElectionTimeout:   m.cluster.election,
	})
	if err != nil {
		return err
	}
	m.engine = engine
	m.incarnation++
	m.up, m.frozen = true, false
	m.wakeAt = m.cluster.now()
	engine.writer.execute = m.executeWrite
	engine.background = m.background
	return nil
}

// executeWrite simulates the disk: it executes a write after diskDelay, unless the process has ended by then.
func (m *machine) executeWrite(w *diskWrite) {
	engine, incarnation := m.engine, m.incarnation
	m.cluster.at(m.diskDelay, func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		usage, err := engine.writer.write(w)
		if err == nil {
			m.recordDurable(w)
		}
		m.wake()
		engine.Do(func() { engine.writer.finish(w, usage, err) })
	})
}

// recordDurable records the newest entries that are on the disk after a write.
func (m *machine) recordDurable(w *diskWrite) {
	for _, t := range w.groups {
		m.durable[t.group.id] = logEnd{index: t.index, term: t.term}
	}
	m.cluster.writes++
}

// background simulates work outside the loop. The work takes three times as long as a write.
func (m *machine) background(job func() func()) {
	engine, incarnation := m.engine, m.incarnation
	m.cluster.at(3*m.diskDelay, func() {
		if m.up && m.incarnation == incarnation {
			engine.Do(job())
			m.wake()
		}
	})
}

// wake makes the process take its next step now.
func (m *machine) wake() { m.wakeAt = m.cluster.now() }

// Send simulates the link to an address: it loses the envelope or delivers it after a delay.
func (m *machine) Send(address string, envelope *Envelope) {
	if m.cluster.random.Float64() < m.cluster.loss || m.isolated {
		return
	}
	m.cluster.sent++
	if m.cluster.trace != nil {
		m.cluster.trace(m, address, envelope)
	}
	delay, carried := m.linkTo(address, envelope)
	if !carried {
		return
	}
	m.cluster.at(delay, func() {
		for _, to := range m.cluster.machines {
			dropped := m.cluster.drop != nil && m.cluster.drop(m, to, envelope)
			if to.address == address && to.up && !to.isolated && !m.isolated && !dropped {
				to.engine.Receive(envelope)
				to.wake()
			}
		}
	})
}

// kill ends the process at once. The files stay as the process has written them, synced or not.
func (m *machine) kill() {
	m.up = false
	m.engine.dropPendingCalls()
	_ = m.engine.lock.Close()
}

// dropPendingCalls forgets pending calls without resolving them.
func (e *Engine) dropPendingCalls() {
	for _, g := range e.groups {
		g.proposals, g.confirmations = nil, nil
	}
}

// losePower ends the process, and the disk loses all unsynced data. If a write was in progress, the power fails during that
// write in half of the cases.
func (m *machine) losePower() {
	m.kill()
	w := m.engine.writer
	if w.inflight != nil && m.cluster.random.IntN(2) == 0 {
		powerOffAt := m.files.Calls() + 1 + m.cluster.random.IntN(6)
		m.files.SetOnCall(func(call vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: call.N == powerOffAt} })
		_, _ = w.write(w.inflight)
	}
	m.files = m.files.Crash(m.cluster.random)
}

// wipe ends the process and gives the machine an empty disk.
func (m *machine) wipe() {
	m.kill()
	m.files = &vfstest.Mem{}
	m.durable = map[GroupID]logEnd{}
}
