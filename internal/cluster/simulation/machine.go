package simulation

import (
	"math/rand/v2"
	"time"
)

// MachineRole is the kind of process of the scheduler that runs on a machine.
type MachineRole int

// Roles of machines.
const (
	RoleFrontend MachineRole = iota + 1
	RoleAgent                // the agent's runner is on the same machine
	RoleControl
)

// Machine is a machine with one process of the scheduler. Each start of the process begins an incarnation. Timers and
// messages of an earlier incarnation never run in a later one. While the process is frozen, due timers and messages wait
// until the thaw.
type Machine struct {
	Name  string
	Zone  string
	Role  MachineRole
	World *World
	Disk  *Disk         // nil: the machine has none
	Lag   time.Duration // timers and messages are late by a drawn time up to this one
	// Start starts the process. It is called at the beginning of each incarnation. nil: no process runs.
	Start func()

	up               bool
	frozen           bool
	incarnation      int
	startedAt        time.Duration
	unavailableSince time.Duration // when the process last ended or was asked to shut down
	shuttingDown     bool
	clockOffset      time.Duration // the machine's time of day minus the true time
	deferred         []func()      // calls that fell due while the process was frozen, in that order
	random           *rand.Rand    // of the lags of timers
	onEnd            []func()      // each resets a connection; called when the process is killed, dropped at a loss of power
}

// NewMachine returns a machine that is off.
func NewMachine(world *World, name, zone string, role MachineRole) *Machine {
	return &Machine{Name: name, Zone: zone, Role: role, World: world, random: world.newStream(name)}
}

// Up reports whether the process runs, frozen or not.
func (m *Machine) Up() bool { return m.up }

// Incarnation returns how often the process has been started.
func (m *Machine) Incarnation() int { return m.incarnation }

// Monotonic returns the reading of the process's monotonic clock: the time since its start.
func (m *Machine) Monotonic() time.Duration { return m.World.now - m.startedAt }

// TimeOfDayMs returns the machine's time of day in ms since 1970.
func (m *Machine) TimeOfDayMs() int64 { return EpochMs + (m.World.now + m.clockOffset).Milliseconds() }

// SetClock sets how far the machine's time of day is ahead of the true one.
func (m *Machine) SetClock(offset time.Duration) { m.clockOffset = offset }

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

// Kill ends the process as SIGKILL does: its connections are reset. Files keep all completed writes, synced or not.
func (m *Machine) Kill() {
	resets := m.onEnd
	m.endProcess()
	for _, reset := range resets {
		reset()
	}
}

// endProcess ends the process without resetting its connections.
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

// BeginShutdown records that the process has been asked to shut down.
func (m *Machine) BeginShutdown() {
	m.shuttingDown = true
	m.unavailableSince = m.World.now
}

// receivesClients reports whether the platform routes new clients to the machine. It does so until detectionTime after the
// process has ended or begun to shut down, because it notices that late.
func (m *Machine) receivesClients() bool {
	const detectionTime = 2 * time.Second
	return m.up && !m.shuttingDown || m.World.now-m.unavailableSince < detectionTime
}

// LosePower ends the process without resetting its connections. Each write that was not synced may be kept, lost or torn.
func (m *Machine) LosePower() {
	m.endProcess()
	if m.Disk != nil {
		m.Disk.losePower(m.World)
	}
}

// Wipe replaces the content of the disk by an empty one. It must not be called while the process runs.
func (m *Machine) Wipe() {
	if m.Disk != nil {
		m.Disk.wipe()
	}
}

// Freeze freezes the process, as SIGSTOP does.
func (m *Machine) Freeze() {
	if m.up {
		m.frozen = true
	}
}

// Thaw resumes a frozen process. It makes the calls that fell due while the process was frozen, in the order in which they
// were due.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	deferred := m.deferred
	m.deferred = nil
	for _, f := range deferred {
		m.inIncarnation(m.incarnation, f)
	}
}

// inIncarnation calls f now if that incarnation of the process runs. If it is frozen, f is called at the thaw. If the
// incarnation is over now or then, f is never called.
func (m *Machine) inIncarnation(incarnation int, f func()) {
	switch {
	case !m.up || m.incarnation != incarnation:
	case m.frozen:
		m.deferred = append(m.deferred, func() { m.inIncarnation(incarnation, f) })
	default:
		f()
	}
}

// Post calls f in this incarnation at the current time, after all events that are already scheduled for this time. Unlike
// After, it is not delayed by Lag.
func (m *Machine) Post(f func()) {
	incarnation := m.incarnation
	m.World.After(0, func() { m.inIncarnation(incarnation, f) })
}

// After calls f in this incarnation once d has passed, or a drawn time up to Lag later.
func (m *Machine) After(d time.Duration, f func()) *Timer {
	incarnation := m.incarnation
	if m.Lag > 0 {
		d += time.Duration(m.random.Int64N(int64(m.Lag)))
	}
	return m.World.After(d, func() { m.inIncarnation(incarnation, f) })
}
