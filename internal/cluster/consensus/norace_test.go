//go:build !race

package consensus

// slowdown divides the number of seeds and of some checks where the race detector makes everything slower.
const slowdown = 1
