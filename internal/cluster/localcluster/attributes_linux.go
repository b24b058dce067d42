package localcluster

import "syscall"

// processAttributes returns the attributes of a process: a process group of its own, so that a terminal's Ctrl-C reaches
// only this process, which stops the others in order; and SIGTERM in case this process is killed.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
}
