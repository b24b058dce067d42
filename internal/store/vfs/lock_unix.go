//go:build unix

package vfs

import (
	"errors"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// Lock takes an exclusive advisory lock (flock) on a file, and creates the file if it does not exist. It does not wait for
// the lock. The kernel releases the lock when the process ends, also when it crashes.
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
