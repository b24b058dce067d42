//go:build unix && !linux

package local

import "syscall"

// attributes of a process: a group of its own, so that a terminal's Ctrl-C reaches only this process.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
