//go:build !race

package consensus

// slowdown divides the number of seeds where the race detector makes everything slower.
const slowdown = 1
