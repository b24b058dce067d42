package simulation

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"ospreypond/internal/store/vfs/vfstest"
)

// Disk is a machine's disk: files of which a loss of power may destroy what was not synced, and the time that writing to
// them takes. A process must call the file system only within the work that it passes to Perform, or as it starts.
type Disk struct {
	Sync       time.Duration // mean time of a sync
	SlowFactor float64       // by which syncs take longer; 0 is the same as 1
	Full       bool          // writes fail with ENOSPC
	Stalled    bool          // nothing completes until Release

	files    *vfstest.Mem
	inFlight []*diskWork
	wipes    int
}

// diskWork is work that has not been performed yet.
type diskWork struct {
	machine     *Machine
	incarnation int
	syncs       int // its time
	run         func()
	isParked    bool // until Release
}

// NewDisk returns an empty disk.
func NewDisk(sync time.Duration) *Disk {
	d := &Disk{Sync: sync}
	d.setFiles(&vfstest.Mem{})
	return d
}

// setFiles replaces the files.
func (d *Disk) setFiles(files *vfstest.Mem) {
	d.files = files
	d.files.SetOnCall(d.fault)
}

// Files returns the file system. A loss of power or of the disk replaces it.
func (d *Disk) Files() *vfstest.Mem { return d.files }

// Wipes returns how often the disk was lost.
func (d *Disk) Wipes() int { return d.wipes }

// shortWriteBytes is how many bytes of a write reach a full disk.
const shortWriteBytes = 7

// fault returns the fault, if any, of a call of the running process.
func (d *Disk) fault(call vfstest.Call) vfstest.Fault {
	if d.Full && (call.Op == "write" || call.Op == "create") {
		return vfstest.Fault{Err: syscall.ENOSPC, Short: shortWriteBytes}
	}
	return vfstest.Fault{}
}

// Perform calls run, which writes to the files, once the time of that many syncs has passed. If the machine's process ends
// before, run may still be called to perform the work in part: what it does beside writing must have no effect then.
func (d *Disk) Perform(m *Machine, syncs int, run func()) {
	work := &diskWork{machine: m, incarnation: m.incarnation, syncs: syncs, run: run}
	d.inFlight = append(d.inFlight, work)
	d.begin(work)
}

// begin lets work take its time from now on, or parks it while the disk is stalled.
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

// duration draws the time of so many syncs.
func (d *Disk) duration(w *World, syncs int) time.Duration {
	took := d.Sync*2/3 + w.Between(0, d.Sync*2/3)
	if d.SlowFactor > 1 {
		took = time.Duration(float64(took) * d.SlowFactor)
	}
	return took * time.Duration(syncs)
}

// Release ends a stall. What was parked takes its time from now on.
func (d *Disk) Release() {
	d.Stalled = false
	for _, work := range slices.Clone(d.inFlight) {
		if work.isParked {
			work.isParked = false
			work.machine.inIncarnation(work.incarnation, func() { d.begin(work) })
		}
	}
}

// processDied drops the work of a process that has ended, or performs it in part.
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

var errProcessDied = errors.New("the process has died")

// performInPart performs the first calls of some work, the last of them perhaps a short write. A sync that directly
// follows them is performed too, because the kernel completes a sync without the process that asked for it.
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

// losePower keeps what was synced and a drawn part of what was written since.
func (d *Disk) losePower(w *World) { d.setFiles(d.files.Crash(w.Random)) }

// wipe replaces the files by none. The process must not run.
func (d *Disk) wipe() {
	d.inFlight = nil
	d.wipes++
	d.setFiles(&vfstest.Mem{})
}
