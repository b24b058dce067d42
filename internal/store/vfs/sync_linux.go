package vfs

import "golang.org/x/sys/unix"

// Sync calls fdatasync. Unlike fsync, that does not write metadata that reading the data does not need, such as the
// modification time.
func (f osFile) Sync() error {
	for {
		if err := unix.Fdatasync(int(f.Fd())); err != unix.EINTR {
			return err
		}
	}
}
