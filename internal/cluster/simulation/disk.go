package simulation

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"ospreypond/internal/store/vfs/vfstest"
)

// Disk is a machine's disk: files that lose at a loss of power what was not synced, and the time that it takes to write
// to them. A process calls the file system only from within the work that it gives to Perform, or as it starts.
type Disk struct {
	Sync time.Duration // time of one sync
	Slow float64       // times as long; 0 or 1: as usual
	Full bool          // refuses writes
	// Stalled disks answer nothing until they are released.
	Stalled bool

	files    *vfstest.Mem
	inFlight []*diskWork
	wipes    int
}

// diskWork is work that has not been carried out yet.
type diskWork struct {
	machine     *Machine
	incarnation int
	syncs       int
	run         func()
	isParked    bool // until the disk is released
}

// NewDisk returns an empty disk.
func NewDisk(sync time.Duration) *Disk {
	d := &Disk{Sync: sync}
	d.use(&vfstest.Mem{})
	return d
}

func (d *Disk) use(files *vfstest.Mem) {
	d.files = files
	d.files.SetOnCall(d.fault)
}

// Files is what the processes of the machine find and write, until power or disk are lost.
func (d *Disk) Files() *vfstest.Mem { return d.files }

// Wipes counts how often the disk was lost.
func (d *Disk) Wipes() int { return d.wipes }

// shortWriteBytes is how many bytes of a write reach a full disk.
const shortWriteBytes = 7

func (d *Disk) fault(call vfstest.Call) vfstest.Fault {
	if d.Full && (call.Op == "write" || call.Op == "create") {
		return vfstest.Fault{Err: syscall.ENOSPC, Short: shortWriteBytes}
	}
	return vfstest.Fault{}
}

// Perform carries out work of a machine's process that writes to the files, once the time of that many syncs has passed.
// If the process ends before, the work is perhaps done in part.
func (d *Disk) Perform(m *Machine, syncs int, run func()) {
	work := &diskWork{machine: m, incarnation: m.incarnation, syncs: syncs, run: run}
	d.inFlight = append(d.inFlight, work)
	d.start(work)
}

func (d *Disk) start(work *diskWork) {
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

func (d *Disk) duration(w *World, syncs int) time.Duration {
	took := d.Sync*2/3 + w.Between(0, d.Sync*2/3)
	if d.Slow > 1 {
		took = time.Duration(float64(took) * d.Slow)
	}
	return took * time.Duration(syncs)
}

// Release ends a stall.
func (d *Disk) Release() {
	d.Stalled = false
	for _, work := range slices.Clone(d.inFlight) {
		if work.isParked {
			work.isParked = false
			work.machine.inIncarnation(work.incarnation, func() { d.start(work) })
		}
	}
}

// processDied ends what the process had under way, in the middle of it or before it began.
func (d *Disk) processDied(w *World) {
	underway := d.inFlight
	d.inFlight = nil
	for _, work := range underway {
		if !d.Stalled && w.Chance(0.5) {
			d.performInPart(w, work)
		}
	}
	d.files.EndProcess()
}

var errProcessDied = errors.New("the process has died")

// performInPart carries out the first calls of a work. What a process has asked to be synced is synced without it.
func (d *Disk) performInPart(w *World, work *diskWork) {
	const mostCalls, mostBytes = 6, 400
	last := d.files.Calls() + w.Random.IntN(mostCalls)
	short := w.Random.IntN(mostBytes)
	dead := false
	d.files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
		syncs := call.Op == "sync" || call.Op == "syncdir"
		if call.N <= last || syncs && !dead {
			return d.fault(call)
		}
		dead = true
		return vfstest.Fault{Err: errProcessDied, Short: short}
	})
	work.run()
	d.files.SetOnCall(d.fault)
}

// losePower keeps what was synced and, at luck, any part of what was written after it.
func (d *Disk) losePower(w *World) { d.use(d.files.Crash(w.Random)) }

func (d *Disk) wipe() {
	d.inFlight = nil
	d.wipes++
	d.use(&vfstest.Mem{})
}
