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
	Class string // front, side or core
	World *World
	Disk  *Disk // nil: none
	Lag   time.Duration
	// Start brings the process up: it is called at the beginning of each life.
	Start func()

	up       bool
	frozen   bool
	life     int
	began    time.Duration
	ended    time.Duration // when it was last killed, or began to end in good order
	leaving  bool
	clockOff time.Duration // time of day against the true one
	stalled  []func()
	random   *rand.Rand // the machine's own
	callers  []func()   // told when the process ends: their connections are reset
}

// NewMachine returns a machine that is off.
func NewMachine(world *World, name, zone, class string) *Machine {
	return &Machine{Name: name, Zone: zone, Class: class, World: world, random: world.stream(name)}
}

// Up tells whether the process runs (it may be frozen).
func (m *Machine) Up() bool { return m.up }

// Frozen tells whether the process stands still.
func (m *Machine) Frozen() bool { return m.frozen }

// Life counts the starts of the process.
func (m *Machine) Life() int { return m.life }

// Steady is the process's steady clock: time since its start.
func (m *Machine) Steady() time.Duration { return m.World.now - m.began }

// TimeOfDayMs is the machine's time of day in ms since 1970.
func (m *Machine) TimeOfDayMs() int64 { return EpochMs + (m.World.now + m.clockOff).Milliseconds() }

// SetClock sets how far the machine's time of day is off.
func (m *Machine) SetClock(off time.Duration) { m.clockOff = off }

// Boot starts the process, unless it runs.
func (m *Machine) Boot() {
	if m.up {
		return
	}
	m.up, m.frozen, m.stalled = true, false, nil
	m.life++
	m.began = m.World.now
	m.leaving = false
	if m.Start != nil {
		m.Start()
	}
}

// Kill ends the process; the files on its disk stay as they were written, and who is connected to it hears so.
func (m *Machine) Kill() {
	callers := m.callers
	m.end()
	for _, reset := range callers {
		reset()
	}
}

// end ends the process without a word.
func (m *Machine) end() {
	m.callers = nil
	if !m.leaving {
		m.ended = m.World.now
	}
	m.up, m.frozen, m.stalled = false, false, nil
	if m.Disk != nil {
		m.Disk.processDied(m.World)
	}
}

// Leave notes that the process has been asked to end.
func (m *Machine) Leave() {
	m.leaving = true
	m.ended = m.World.now
}

// ready tells whether the platform sends new clients there: it notices within two seconds that a process has ended or
// calls itself not ready.
func (m *Machine) ready() bool {
	const noticed = 2 * time.Second
	return m.up && !m.leaving || m.World.now-m.ended < noticed
}

// LosePower ends the process, and writes that were not synced are kept, lost or torn.
func (m *Machine) LosePower() {
	m.end()
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
	stalled := m.stalled
	m.stalled = nil
	for _, f := range stalled {
		m.inLife(m.life, f)
	}
}

// inLife calls f in a given life of the process: later if it is frozen, never if that life is over.
func (m *Machine) inLife(life int, f func()) {
	switch {
	case !m.up || m.life != life:
	case m.frozen:
		m.stalled = append(m.stalled, func() { m.inLife(life, f) })
	default:
		f()
	}
}

// Soon calls f in this life of the process at the present time, after all that was asked for at that time.
func (m *Machine) Soon(f func()) {
	life := m.life
	m.World.After(0, func() { m.inLife(life, f) })
}

// After calls f in this life of the process once d has passed, later on a machine that is slowed.
func (m *Machine) After(d time.Duration, f func()) *Timer {
	life := m.life
	if m.Lag > 0 {
		d += time.Duration(m.random.Int64N(int64(m.Lag)))
	}
	return m.World.After(d, func() { m.inLife(life, f) })
}
