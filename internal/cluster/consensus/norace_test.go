//go:build !race

package consensus

// slowdown divides the number of seeds and of some checks. Without the race detector all of them run.
const slowdown = 1
