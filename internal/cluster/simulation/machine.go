package simulation

import (
	"math/rand/v2"
	"time"
)

// Machine is one machine of the system with its one process. A process lives from a start to a kill; what belongs to
// an earlier life never runs in a later one. A frozen process gets all that came meanwhile when it thaws.
type Machine struct {
	Name  string
	Zone  string
	Role  string // front, side or core
	World *World
	Disk  *Disk // nil: none
	Lag   time.Duration
	// Start brings the process up: it is called at the beginning of each life.
	Start func()

	up               bool
	frozen           bool
	incarnation      int
	startedAt        time.Duration
	unavailableSince time.Duration // when it was last killed, or began to end in good order
	shuttingDown     bool
	clockOffset      time.Duration // time of day against the true one
	deferred         []func()
	random           *rand.Rand // the machine's own
	onEnd            []func()   // told when the process ends: their connections are reset
}

// NewMachine returns a machine that is off.
func NewMachine(world *World, name, zone, class string) *Machine {
	return &Machine{Name: name, Zone: zone, Role: class, World: world, random: world.newStream(name)}
}

// Started tells whether the process runs (it may be frozen).
func (m *Machine) Up() bool { return m.up }

// Frozen tells whether the process stands still.
func (m *Machine) Frozen() bool { return m.frozen }

// Incarnation counts the starts of the process.
func (m *Machine) Incarnation() int { return m.incarnation }

// Monotonic is the process's steady clock: time since its start.
func (m *Machine) Monotonic() time.Duration { return m.World.now - m.startedAt }

// TimeOfDayMs is the machine's time of day in ms since 1970.
func (m *Machine) TimeOfDayMs() int64 { return EpochMs + (m.World.now + m.clockOffset).Milliseconds() }

// SetClock sets how far the machine's time of day is off.
func (m *Machine) SetClock(off time.Duration) { m.clockOffset = off }

// Boot starts the process, unless it runs.
func (m *Machine) Boot() {
	if m.up {
		return
	}
	m.up, m.frozen, m.deferred = true, false, nil
	m.incarnation++
	m.startedAt = m.World.now
	m.shuttingDown = false
	if m.Start != nil {
		m.Start()
	}
}

// Kill ends the process; the files on its disk stay as they were written, and who is connected to it hears so.
func (m *Machine) Kill() {
	callers := m.onEnd
	m.endProcess()
	for _, reset := range callers {
		reset()
	}
}

// endProcess ends the process without a word.
func (m *Machine) endProcess() {
	m.onEnd = nil
	if !m.shuttingDown {
		m.unavailableSince = m.World.now
	}
	m.up, m.frozen, m.deferred = false, false, nil
	if m.Disk != nil {
		m.Disk.processDied(m.World)
	}
}

// BeginShutdown notes that the process has been asked to end.
func (m *Machine) BeginShutdown() {
	m.shuttingDown = true
	m.unavailableSince = m.World.now
}

// isDue tells whether the platform sends new clients there: it notices within two seconds that a process has ended or
// calls itself not ready.
func (m *Machine) receivesClients() bool {
	const noticed = 2 * time.Second
	return m.up && !m.shuttingDown || m.World.now-m.unavailableSince < noticed
}

// LosePower ends the process, and writes that were not synced are kept, lost or torn.
func (m *Machine) LosePower() {
	m.endProcess()
	if m.Disk != nil {
		m.Disk.losePower(m.World)
	}
}

// Wipe loses the disk; the process must not run.
func (m *Machine) Wipe() {
	if m.Disk != nil {
		m.Disk.wipe()
	}
}

// Freeze makes the process stand still.
func (m *Machine) Freeze() {
	if m.up {
		m.frozen = true
	}
}

// Thaw lets a frozen process go on, with all that came meanwhile in the order in which it came.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	stalled := m.deferred
	m.deferred = nil
	for _, f := range stalled {
		m.inIncarnation(m.incarnation, f)
	}
}

// inIncarnation calls f in a given life of the process: later if it is frozen, never if that life is over.
func (m *Machine) inIncarnation(life int, f func()) {
	switch {
	case !m.up || m.incarnation != life:
	case m.frozen:
		m.deferred = append(m.deferred, func() { m.inIncarnation(life, f) })
	default:
		f()
	}
}

// Post calls f in this life of the process at the present time, after all that was asked for at that time.
func (m *Machine) Post(f func()) {
	life := m.incarnation
	m.World.After(0, func() { m.inIncarnation(life, f) })
}

// After calls f in this life of the process once d has passed, later on a machine that is slowed.
func (m *Machine) After(d time.Duration, f func()) *Timer {
	life := m.incarnation
	if m.Lag > 0 {
		d += time.Duration(m.random.Int64N(int64(m.Lag)))
	}
	return m.World.After(d, func() { m.inIncarnation(life, f) })
}
