package localcluster

import (
	"os/exec"
	"runtime"
)

// starter starts all processes from one thread that exists as long as the system. On Linux, Pdeathsig (see
// processAttributes) signals a child at the end of the thread that started it, not of the process.
type starter struct {
	requests chan startRequest
	ended    chan struct{}
}

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

func (s *starter) run() {
	defer close(s.ended)
	runtime.LockOSThread()
	for request := range s.requests {
		request.result <- request.command.Start()
	}
}

// start starts a process. Any goroutine may call it before close.
func (s *starter) start(command *exec.Cmd) error {
	request := startRequest{command: command, result: make(chan error, 1)}
	s.requests <- request
	return <-request.result
}

// close ends the thread. All processes must have ended.
func (s *starter) close() {
	close(s.requests)
	<-s.ended
}
