//go:build unix

package vfs

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Lock takes an advisory lock (flock) on a file, which it creates if need be. The kernel drops the lock when the process ends,
// however it ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}
