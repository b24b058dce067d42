package vfstest

import (
	"io"
	"slices"
)

// inode is a file's content, as processes see it and as it is on disk.
type inode struct {
	now     []byte
	disk    []byte   // as of the last sync
	pending []change // since then
}

// change is a write, or with data nil a truncation to off bytes.
type change struct {
	off  int64
	data []byte
}

func (c change) apply(b []byte) []byte {
	if c.data == nil {
		return resize(b, c.off)
	}
	if end := c.off + int64(len(c.data)); int64(len(b)) < end {
		b = resize(b, end)
	}
	copy(b[c.off:], c.data)
	return b
}

func resize(b []byte, n int64) []byte {
	if int64(len(b)) >= n {
		return b[:n]
	}
	return append(b, make([]byte, n-int64(len(b)))...)
}

type file struct {
	m    *Mem
	n    *inode
	name string
}

func (f *file) ReadAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.off {
		return 0, ErrCrashed
	}
	if off >= int64(len(f.n.now)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.now[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault := f.m.call("write", f.name)
	n := len(b)
	if fault.Err != nil && !fault.Off {
		n = min(n, fault.Short)
	}
	if n > 0 {
		c := change{off, slices.Clone(b[:n])}
		f.n.now = c.apply(f.n.now)
		f.n.pending = append(f.n.pending, c)
	}
	return n, fault.Err
}

func (f *file) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault := f.m.call("truncate", f.name)
	if fault.Err != nil && !fault.Off {
		return fault.Err
	}
	c := change{off: size}
	f.n.now = c.apply(f.n.now)
	f.n.pending = append(f.n.pending, c)
	return fault.Err
}

// Sync makes the content durable. When it fails, every second change is never written, though it can still be read, as with
// kernels that mark the pages clean.
func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault := f.m.call("sync", f.name)
	if fault.Err != nil {
		if !fault.Off {
			for i, c := range f.n.pending {
				if i%2 == 0 {
					f.n.disk = c.apply(f.n.disk)
				}
			}
			f.n.pending = nil
		}
		return fault.Err
	}
	for _, c := range f.n.pending {
		f.n.disk = c.apply(f.n.disk)
	}
	f.n.pending = f.n.pending[:0]
	return nil
}

func (f *file) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.off {
		return 0, ErrCrashed
	}
	return int64(len(f.n.now)), nil
}

func (f *file) Close() error { return nil }
