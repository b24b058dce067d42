package localcluster

import "syscall"

// attributes of a process: a group of its own, so that a terminal's Ctrl-C reaches only this process, which stops all in
// order; and SIGTERM should this process be killed.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
}
