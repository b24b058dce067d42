package localcluster

import "syscall"

// processAttributes returns the attributes of a child process. The child has its own process group, so that Ctrl-C in a
// terminal reaches only this process, which then stops the children in order. If this process is killed, the kernel sends
// SIGTERM to the child.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
}
