package simulation

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"ospreypond/internal/store/vfs/vfstest"
)

// Disk is a machine's disk: a file system in memory and the time that syncs take. A loss of power may destroy writes that
// were not synced. A process must call the file system only in the work that it passes to Perform, or as it starts.
type Disk struct {
	Sync       time.Duration // mean time of a sync
	SlowFactor float64       // syncs take this factor longer, if it is above 1
	Full       bool          // writes and the creation of files fail with ENOSPC
	Stalled    bool          // no work completes until Release

	files    *vfstest.Mem
	inFlight []*diskWork
	wipes    int // number of times that the content was lost
}

// diskWork is work passed to Perform that has not been performed yet.
type diskWork struct {
	machine     *Machine
	incarnation int
	syncs       int // it takes the time of this many syncs
	run         func()
	isParked    bool // it waits for Release
}

// NewDisk returns an empty disk.
func NewDisk(sync time.Duration) *Disk {
	d := &Disk{Sync: sync}
	d.setFiles(&vfstest.Mem{})
	return d
}

// setFiles replaces the file system.
func (d *Disk) setFiles(files *vfstest.Mem) {
	d.files = files
	d.files.SetOnCall(d.fault)
}

// Files returns the file system. A loss of power and a wipe replace it by another.
func (d *Disk) Files() *vfstest.Mem { return d.files }

// Wipes returns how often the disk's content was lost.
func (d *Disk) Wipes() int { return d.wipes }

// shortWriteBytes is how many bytes of a write to a full disk are still written.
const shortWriteBytes = 7

// fault returns the fault, if any, of a call of the running process.
func (d *Disk) fault(call vfstest.Call) vfstest.Fault {
	if d.Full && (call.Op == "write" || call.Op == "create") {
		return vfstest.Fault{Err: syscall.ENOSPC, Short: shortWriteBytes}
	}
	return vfstest.Fault{}
}

// Perform calls run, which writes to the files, once the time of that many syncs has passed. If the machine's process ends
// before that, run may still be called to perform a part of the writes. Apart from these writes, run must have no effect in
// that case.
func (d *Disk) Perform(m *Machine, syncs int, run func()) {
	work := &diskWork{machine: m, incarnation: m.incarnation, syncs: syncs, run: run}
	d.inFlight = append(d.inFlight, work)
	d.begin(work)
}

// begin schedules work to take its time from now on, or parks it while the disk is stalled.
func (d *Disk) begin(work *diskWork) {
	if d.Stalled {
		work.isParked = true
		return
	}
	work.isParked = false
	work.machine.After(d.duration(work.machine.World, work.syncs), func() {
		if d.Stalled {
			work.isParked = true
			return
		}
		d.inFlight = slices.DeleteFunc(d.inFlight, func(other *diskWork) bool { return other == work })
		work.run()
	})
}

// duration draws the time of that many syncs.
func (d *Disk) duration(w *World, syncs int) time.Duration {
	took := d.Sync*2/3 + w.Between(0, d.Sync*2/3)
	if d.SlowFactor > 1 {
		took = time.Duration(float64(took) * d.SlowFactor)
	}
	return took * time.Duration(syncs)
}

// Release ends a stall. The time of parked work begins now.
func (d *Disk) Release() {
	d.Stalled = false
	for _, work := range slices.Clone(d.inFlight) {
		if work.isParked {
			work.isParked = false
			work.machine.inIncarnation(work.incarnation, func() { d.begin(work) })
		}
	}
}

// processDied ends the work in flight of a process that has ended: it drops each work, or performs a part of it. A stalled
// disk drops all work.
func (d *Disk) processDied(w *World) {
	inFlight := d.inFlight
	d.inFlight = nil
	for _, work := range inFlight {
		if !d.Stalled && w.Chance(0.5) {
			d.performInPart(w, work)
		}
	}
	d.files.EndProcess()
}

var errProcessDied = errors.New("the simulated process has ended")

// performInPart performs a drawn number of the first calls that work makes to the file system, and then perhaps a short
// write. A sync that directly follows the performed calls is performed too, because the kernel completes a sync that it has
// begun even if the process has ended.
func (d *Disk) performInPart(w *World, work *diskWork) {
	const maxCalls, maxShortBytes = 6, 400
	last := d.files.Calls() + w.Random.IntN(maxCalls)
	short := w.Random.IntN(maxShortBytes)
	isDead := false
	d.files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
		isSync := call.Op == "sync" || call.Op == "syncdir"
		if call.N <= last || isSync && !isDead {
			return d.fault(call)
		}
		isDead = true
		return vfstest.Fault{Err: errProcessDied, Short: short}
	})
	work.run()
	d.files.SetOnCall(d.fault)
}

// losePower keeps all synced writes and a randomly drawn part of the unsynced writes.
func (d *Disk) losePower(w *World) { d.setFiles(d.files.Crash(w.Random)) }

// wipe replaces the file system by an empty one. The process must not run.
func (d *Disk) wipe() {
	d.inFlight = nil
	d.wipes++
	d.setFiles(&vfstest.Mem{})
}
