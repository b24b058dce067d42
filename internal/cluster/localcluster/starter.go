package localcluster

import (
	"os/exec"
	"runtime"
)

// starter starts all processes from one thread that lives as long as the system: on Linux a child is told of the end of
// the thread that started it.
type starter struct {
	requests chan startRequest
}

type startRequest struct {
	command *exec.Cmd
	done    chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest)}
	go s.run()
	return s
}

func (s *starter) run() {
	runtime.LockOSThread()
	for request := range s.requests {
		request.done <- request.command.Start()
	}
}

// start starts a process.
func (s *starter) start(command *exec.Cmd) error {
	request := startRequest{command: command, done: make(chan error, 1)}
	s.requests <- request
	return <-request.done
}

// close ends the thread, once all processes have ended.
func (s *starter) close() { close(s.requests) }
