package app

import (
	"fmt"
	"sync"
)

// reloads counts the configuration files read at SIGHUP, those accepted and those refused, with the last error, so
// that operators can see that a file changed nothing. It is safe for concurrent use: the reload goroutine counts, the
// console reads.
type reloads struct {
	mu        sync.Mutex
	accepted  int
	refused   int
	lastError string
}

// accept counts an accepted file and returns how many there were.
func (r *reloads) accept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	return r.accepted
}

// refuse counts a file refused for err and returns how many there were.
func (r *reloads) refuse(err error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
	r.lastError = err.Error()
	return r.refused
}

// String returns the counts in one line, with the last error.
func (r *reloads) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == 0 {
		return fmt.Sprintf("%d taken, 0 refused", r.accepted)
	}
	return fmt.Sprintf("%d taken, %d refused, the last for: %s", r.accepted, r.refused, r.lastError)
}
