//go:build !race

package consensus

// slowdown divides the number of seeds and the number of some checks. Without the race detector all seeds and checks run.
const slowdown = 1
