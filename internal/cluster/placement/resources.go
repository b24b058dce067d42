package placement

import "ospreypond/internal/cluster/protocol"

const (
	coresPerGPU       = 8.0 // price of an accelerator, in cores
	milliCoresPerCore = 1000.0
)

// fits reports whether needs fit into free. If a resource of free is negative, because the runner is overcommitted, no
// needs fit.
func fits(free, needs protocol.Resources) bool {
	return needs.CPU <= free.CPU && needs.MemoryMB <= free.MemoryMB && needs.GPU <= free.GPU
}

// maxFitting returns the number of times that needs fit into free, at most limit.
func maxFitting(free, needs protocol.Resources, limit int) int {
	if !fits(free, needs) {
		return 0
	}
	limit = maxFittingOf(free.CPU, needs.CPU, limit)
	limit = maxFittingOf(free.MemoryMB, needs.MemoryMB, limit)
	return maxFittingOf(free.GPU, needs.GPU, limit)
}

// maxFittingOf is maxFitting for one resource. free must not be negative.
func maxFittingOf(free, need int64, limit int) int {
	if need <= 0 {
		return limit
	}
	return int(min(free/need, int64(limit)))
}

func add(sum *protocol.Resources, more protocol.Resources) {
	sum.CPU += more.CPU
	sum.MemoryMB += more.MemoryMB
	sum.GPU += more.GPU
}

func subtract(sum *protocol.Resources, less protocol.Resources) {
	sum.CPU -= less.CPU
	sum.MemoryMB -= less.MemoryMB
	sum.GPU -= less.GPU
}

// cores converts resources to cores. An accelerator is worth coresPerGPU cores; memory is ignored.
func cores(r protocol.Resources) float64 {
	return float64(r.CPU)/milliCoresPerCore + coresPerGPU*float64(r.GPU)
}

// dominantFraction returns the largest fraction that needs take of any resource of a capacity. It is the dominant share of
// Ghodsi et al., "Dominant Resource Fairness" (NSDI '11).
func dominantFraction(needs, capacity protocol.Resources) float64 {
	return max(ratio(needs.CPU, capacity.CPU), ratio(needs.MemoryMB, capacity.MemoryMB), ratio(needs.GPU, capacity.GPU))
}

// ratio returns part divided by total, or 0 if total isn't positive.
func ratio(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
