package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// DiskWork is a kind of work that a Driver's engine gives to the disk. At most one piece of work of each kind is in
// progress at a time; one of each kind may be.
type DiskWork int

// The kinds of disk work.
const (
	DiskAppend   DiskWork = iota // write snapshots received from a leader, and append to the log
	DiskSnapshot                 // write a snapshot of the state of one of this process's own state machines
)

// DriverOptions are the functions of the caller that a Driver calls.
type DriverOptions struct {
	// Disk is called during a step. It must return at once, and must call work exactly once at a later time, not during a
	// step. Once OpenDriver has returned, only work calls the file system. The next step handles the outcome of the work.
	Disk func(kind DiskWork, work func())
	// Wake is called when a step is due at once, because the engine has received an envelope or a function. It is called
	// by the caller of Receive or Do, so possibly during a step.
	Wake func()
	// DrawIdentity returns a unique ID for a member whose disk is empty; nil selects random IDs.
	DrawIdentity func() (consensus.MemberID, error)
}

// Driver runs an engine without goroutines, in place of Engine.Run: the caller calls Step, does the work for the disk,
// and sets the time through Options.Clock. This lets a simulation run a cluster in one goroutine and in virtual time.
type Driver struct {
	engine *Engine
}

// OpenDriver opens an engine as Open does.
func OpenDriver(options Options, driving DriverOptions) (*Driver, error) {
	options.newMemberID = driving.DrawIdentity
	engine, err := Open(options)
	if err != nil {
		return nil, err
	}
	engine.inbox.notify = driving.Wake
	engine.writer.execute = func(next *diskWrite) {
		driving.Disk(DiskAppend, func() {
			usage, err := engine.writer.write(next)
			engine.Do(func() { engine.writer.finish(next, usage, err) })
		})
	}
	engine.background = func(work func() func()) {
		driving.Disk(DiskSnapshot, func() { engine.Do(work()) })
	}
	return &Driver{engine: engine}, nil
}

// Engine returns the engine. Its Run must not be called.
func (d *Driver) Engine() *Engine { return d.engine }

// Step runs one step of the loop. It returns the time after which the next step is due, unless Wake is called before
// that. After an error the engine must no longer be used, as after an error of Engine.Run.
func (d *Driver) Step() (time.Duration, error) {
	d.engine.step()
	if d.engine.failed != nil {
		d.engine.failPending()
		return 0, d.engine.failed
	}
	return d.engine.untilNextStep(), nil
}

// Snapshot starts to replace a group's log with a snapshot, however short the log is, and reports whether it did. It does
// not start if no entry was applied since the last snapshot, if the state machine cannot make a snapshot now, if the last
// attempt failed less than snapshotRetryInterval ago, or while another snapshot is being written. It must be called on the
// loop, by a function given to Do.
func (d *Driver) Snapshot(id GroupID) bool {
	g := d.engine.byID[id]
	return g != nil && !d.engine.writingSnapshot && g.startSnapshot()
}
