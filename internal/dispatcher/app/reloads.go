package app

import (
	"fmt"
	"sync"
)

// reloads counts the configuration files read at SIGHUP: those taken, and those refused with the last fault, so
// that operators can see that a file they wrote changed nothing. Safe for concurrent use: the reload goroutine
// counts, the console reads.
type reloads struct {
	mu      sync.Mutex
	taken   int
	refused int
	last    string
}

// take counts a file taken and returns how many were.
func (r *reloads) take() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken++
	return r.taken
}

// refuse counts a file refused for err and returns how many were.
func (r *reloads) refuse(err error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
	r.last = err.Error()
	return r.refused
}

// String tells the counts in one line, with the last fault.
func (r *reloads) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == 0 {
		return fmt.Sprintf("%d taken, 0 refused", r.taken)
	}
	return fmt.Sprintf("%d taken, %d refused, the last for: %s", r.taken, r.refused, r.last)
}
