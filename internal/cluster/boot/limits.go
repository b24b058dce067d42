package boot

import (
	"runtime"
	"runtime/debug"
)

const (
	memoryShare     = 0.6 // of the machine's limit at which the garbage collector works harder
	collectorTarget = 100 // percent the heap may grow between collections; below 4 MB of heap it does not run at all
	bytesPerMB      = 1 << 20
)

// MemoryLimit returns the amount of memory in bytes above which the garbage collector works harder, so that peaks
// stay well below the limit at which the process is killed.
func (l Limits) MemoryLimit() int64 {
	return int64(float64(l.MemoryMB) * memoryShare * bytesPerMB)
}

// Apply sets the limits of this process: one thread of Go code at a time (a process has a share of one core), the
// memory at which the collector works harder, and how far the heap grows between collections.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectorTarget)
	debug.SetMemoryLimit(l.MemoryLimit())
}
