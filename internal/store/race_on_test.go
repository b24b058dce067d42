//go:build race

package store_test

// raceEnabled reports whether the race detector is on. Tests that try every offset or call then try only some of them.
const raceEnabled = true
