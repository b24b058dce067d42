//go:build race

package consensus

// slowdown divides the number of seeds and of some checks, because the race detector makes them slow.
const slowdown = 8
