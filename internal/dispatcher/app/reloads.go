package app

import (
	"fmt"
	"sync"
)

// reloads counts the configuration files that were accepted and refused at SIGHUP, and holds the last error, so that
// operators can see whether a file was applied. It is safe for concurrent use: the goroutine of reloadAt counts, and the
// console reads.
type reloads struct {
	mu        sync.Mutex
	accepted  int
	refused   int
	lastError string
}

// accept counts an accepted file and returns the number of accepted files.
func (r *reloads) accept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	return r.accepted
}

// refuse counts a file that was refused with err, and returns the number of refused files.
func (r *reloads) refuse(err error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
	r.lastError = err.Error()
	return r.refused
}

// String returns the counts and, if a file was refused, the last error in one line.
func (r *reloads) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == 0 {
		return fmt.Sprintf("%d taken, 0 refused", r.accepted)
	}
	return fmt.Sprintf("%d taken, %d refused, the last for: %s", r.accepted, r.refused, r.lastError)
}
