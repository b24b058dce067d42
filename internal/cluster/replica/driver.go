package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// DiskWork is a kind of work that a Driver's engine has for the disk. At most one of each kind is in progress, but
// both kinds may be at once.
type DiskWork int

// The kinds of disk work.
const (
	DiskAppend   DiskWork = iota // append to the log, and write snapshots received from a leader
	DiskSnapshot                 // write a snapshot of this process's own state
)

// DriverOptions are what the caller does for a Driver.
type DriverOptions struct {
	// Disk is called within a step. It must return at once and call work exactly once, later, and never while a step
	// runs. All calls of the file system come from work; its outcome is handled by the next step.
	Disk func(kind DiskWork, work func())
	// Wake is called whenever a step is due at once: something was received, or given to Do. It is called by the goroutine
	// that called Receive or Do, which may be in a step.
	Wake func()
	// DrawIdentity returns a unique identity for a member whose disk is empty; nil: a random one.
	DrawIdentity func() (consensus.MemberID, error)
}

// Driver runs an engine without goroutines, in place of Engine.Run: the caller calls Step, carries out the work for
// the disk, and sets the time through Options.Clock. Simulations run clusters this way, in one goroutine and in
// virtual time.
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

// Step runs one step of the loop, and returns after what time the next one is due unless Wake is called before. After
// an error the engine is unusable, as when Engine.Run returns one.
func (d *Driver) Step() (time.Duration, error) {
	d.engine.step()
	if d.engine.failed != nil {
		d.engine.failPending()
		return 0, d.engine.failed
	}
	return d.engine.untilNextStep(), nil
}

// Snapshot starts to replace a group's log by a snapshot, however short the log is. It reports whether it did: not if
// there is nothing new, or a snapshot is being written already. It must be called on the loop, by a function given to
// Do.
func (d *Driver) Snapshot(id GroupID) bool {
	g := d.engine.byID[id]
	return g != nil && !d.engine.writingSnapshot && g.startSnapshot()
}
