package boot

import (
	"runtime"
	"runtime/debug"
)

const (
	memoryFraction = 0.6     // part of Limits.MemoryMB that is given to debug.SetMemoryLimit
	gcPercent      = 100     // growth of the heap between two collections, in percent; no collection below a heap of 4 MB
	bytesPerMB     = 1 << 20 // bytes in a megabyte of Limits.MemoryMB
)

// MemoryLimit returns the memory in bytes from which the Go runtime collects garbage more often (debug.SetMemoryLimit). The
// platform kills the process at Limits.MemoryMB. The runtime's limit is well below that because the runtime may exceed it.
func (l Limits) MemoryLimit() int64 {
	return int64(float64(l.MemoryMB) * memoryFraction * bytesPerMB)
}

// Apply sets the limits of this process. It runs Go code in one thread at a time, as a process has a fraction of one
// core. It also sets the memory limit and the growth of the heap between two collections.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryLimit())
}
