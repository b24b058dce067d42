package simulation

import "time"

// Disk is a log of records that survive: written in order, synced from time to time. Each record is either whole or
// gone after a loss of power, and what follows a missing or torn record is cut off by its reader.
type Disk struct {
	Sync time.Duration // time of one sync
	Slow float64       // times as long; 0 or 1: as usual
	Full bool          // refuses writes
	// Stalled disks answer nothing until they are released.
	Stalled bool

	records []any
	synced  int
	epoch   int  // raised when the records are replaced
	lost    bool // since the last start the disk was wiped
	waiting []func()
}

// NewDisk returns an empty disk.
func NewDisk(sync time.Duration) *Disk { return &Disk{Sync: sync} }

// Records returns what a process finds at its start.
func (d *Disk) Records() []any { return d.records }

// Empty tells whether nothing is on the disk.
func (d *Disk) Empty() bool { return len(d.records) == 0 }

// Replace swaps all records for others at once, as a snapshot written beside the log and renamed does.
func (d *Disk) Replace(records []any) {
	d.records = records
	d.synced = len(records)
	d.epoch++
}

// SyncAll is what a careful process does as it opens its files: what it reads from then on is there for good.
func (d *Disk) SyncAll() { d.synced = len(d.records) }

// Write appends records for the process of a machine and calls done once they are synced, or with false if the disk
// refuses them.
func (d *Disk) Write(m *Machine, records []any, done func(ok bool)) {
	if d.Full {
		m.After(time.Millisecond, func() { done(false) })
		return
	}
	d.records = append(d.records, records...)
	upTo := len(d.records)
	life, epoch := m.life, d.epoch
	finish := func() {
		m.After(d.duration(m.World), func() {
			if d.epoch == epoch {
				d.synced = max(d.synced, upTo)
			}
			done(true)
		})
	}
	if d.Stalled {
		d.waiting = append(d.waiting, func() { m.inLife(life, finish) })
		return
	}
	finish()
}

func (d *Disk) duration(w *World) time.Duration {
	took := d.Sync*2/3 + w.Between(0, d.Sync*2/3)
	if d.Slow > 1 {
		took = time.Duration(float64(took) * d.Slow)
	}
	return took
}

// Release ends a stall.
func (d *Disk) Release() {
	d.Stalled = false
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f()
	}
}

func (d *Disk) processDied() { d.waiting = nil }

// losePower keeps what was synced and, at luck, a part of what was written after it.
func (d *Disk) losePower(w *World) {
	kept := d.synced
	if unsynced := len(d.records) - d.synced; unsynced > 0 && w.Chance(0.6) {
		kept += w.Random.IntN(unsynced + 1)
	}
	d.records = d.records[:kept:kept]
	d.synced = kept
}

func (d *Disk) wipe() {
	d.records, d.synced, d.waiting = nil, 0, nil
	d.lost = true
}

// WipedBefore tells whether the disk was ever lost: then its machine does not start as one of the first.
func (d *Disk) WipedBefore() bool { return d.lost }
