package boot

import (
	"runtime"
	"runtime/debug"
)

const (
	memoryFraction = 0.6 // of Limits.MemoryMB, from which the garbage collector works harder
	gcPercent      = 100 // growth of the heap between two collections; below 4 MB of heap there are none at all
	bytesPerMB     = 1 << 20
)

// MemoryLimit returns the memory in bytes from which the garbage collector works harder. It is well below the limit at which
// the platform kills the process, as the limit is a soft one (runtime/debug.SetMemoryLimit).
func (l Limits) MemoryLimit() int64 {
	return int64(float64(l.MemoryMB) * memoryFraction * bytesPerMB)
}

// Apply sets the limits of this process: one thread of Go code at a time, since a process has a fraction of one core, the
// memory limit, and the growth of the heap between two collections.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryLimit())
}
