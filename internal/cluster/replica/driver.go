package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// DiskWork is what a Driver's engine wants done at the disk. Both kinds may be under way at once, each of them once.
type DiskWork int

// The kinds of work for the disk.
const (
	DiskAppend   DiskWork = iota // appends to the log, and writes snapshots that a leader sent
	DiskSnapshot                 // writes a snapshot of this process's own state
)

// DriverOptions are what a Driver's holder does for it.
type DriverOptions struct {
	// Disk is called within a turn. It returns at once; the holder calls work once, later and never beside a turn: all
	// calls of the file system come from within work, and what came of them is taken by the next turn.
	Disk func(kind DiskWork, work func())
	// Wake is called whenever a turn is due before its time: something was received or is to be done. Any goroutine may
	// call it that calls Receive or Do, and so may a turn.
	Wake func()
	// DrawIdentity draws a member's identity for an empty disk, which must never come twice; nil: from the system's
	// randomness.
	DrawIdentity func() (consensus.MemberID, error)
}

// Driver is an engine that is run by its holder in place of Engine.Run, without goroutines: the holder takes the turns,
// carries out the work for the disk, and gives the time by Options.Clock. Simulations run whole clusters so, in one
// goroutine and in virtual time.
type Driver struct {
	engine *Engine
}

// OpenDriver opens an engine as Open does.
func OpenDriver(options Options, driving DriverOptions) (*Driver, error) {
	options.draw = driving.DrawIdentity
	engine, err := Open(options)
	if err != nil {
		return nil, err
	}
	engine.inbox.notify = driving.Wake
	engine.writer.perform = func(next *work) {
		driving.Disk(DiskAppend, func() {
			figures, err := engine.writer.write(next)
			engine.Do(func() { engine.writer.finish(next, figures, err) })
		})
	}
	engine.background = func(work func() func()) {
		driving.Disk(DiskSnapshot, func() { engine.Do(work()) })
	}
	return &Driver{engine: engine}, nil
}

// Engine is the engine that is driven. Its Run must not be called.
func (d *Driver) Engine() *Engine { return d.engine }

// Step handles all that waits, and returns after what time the next turn is due if nothing wakes the driver before.
// After an error the engine is of no use, as when Engine.Run returns one.
func (d *Driver) Step() (time.Duration, error) {
	d.engine.turn()
	if d.engine.failed != nil {
		d.engine.end()
		return 0, d.engine.failed
	}
	return d.engine.pause(), nil
}

// Snapshot begins to replace a group's log by a snapshot, however short the log is. It tells false if there is nothing
// new or a snapshot is being written already. It is called within a turn, from what was given to Do.
func (d *Driver) Snapshot(id GroupID) bool {
	g := d.engine.byID[id]
	return g != nil && !d.engine.writing && g.snapshot()
}
