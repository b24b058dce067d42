package localcluster

import (
	"os/exec"
	"runtime"
)

// starter starts all processes from one operating system thread, which lives as long as the system. On Linux, Pdeathsig (see
// processAttributes) signals a child when the thread that started it ends, not when the parent process ends. Without the
// dedicated thread, children would be stopped when the Go runtime ends a thread.
type starter struct {
	requests chan startRequest
	ended    chan struct{}
}

// startRequest asks run to start command; result gets the error.
type startRequest struct {
	command *exec.Cmd
	result  chan error
}

// newStarter starts the thread. The caller must call close.
func newStarter() *starter {
	s := &starter{requests: make(chan startRequest), ended: make(chan struct{})}
	go s.run()
	return s
}

// run starts the requested processes on one thread until close.
func (s *starter) run() {
	defer close(s.ended)
	runtime.LockOSThread()
	for request := range s.requests {
		request.result <- request.command.Start()
	}
}

// start starts a process. It is safe for concurrent use until close is called.
func (s *starter) start(command *exec.Cmd) error {
	request := startRequest{command: command, result: make(chan error, 1)}
	s.requests <- request
	return <-request.result
}

// close ends the thread. All processes must have ended before, because the end of the thread signals them.
func (s *starter) close() {
	close(s.requests)
	<-s.ended
}
