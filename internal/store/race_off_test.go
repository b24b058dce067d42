//go:build !race

package store_test

// raceEnabled reports whether the race detector is on. If it is, tests that try every offset or call try only some.
const raceEnabled = false
