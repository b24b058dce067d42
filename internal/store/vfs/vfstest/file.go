package vfstest

import (
	"io"
	"slices"
)

// inode is a file without its name.
type inode struct {
	visible []byte   // content as processes read it
	durable []byte   // content on disk, as of the last sync
	pending []change // changes since the last sync; a crash keeps any of them, and any part of a write
}

// change is a write of data at offset off, or if data is nil, a truncation to off bytes.
type change struct {
	off  int64
	data []byte
}

// apply returns b after the change. It may change b in place.
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

// resize returns b with length n, truncated or extended with zeros.
func resize(b []byte, n int64) []byte {
	if int64(len(b)) >= n {
		return b[:n]
	}
	return append(b, make([]byte, n-int64(len(b)))...)
}

// file is an open file of a Mem.
type file struct {
	m    *Mem
	n    *inode
	name string // under which it was opened, for Call.Name
}

func (f *file) ReadAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.off {
		return 0, ErrCrashed
	}
	if off >= int64(len(f.n.visible)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.visible[off:])
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
	if fault.Err != nil && !fault.PowerOff {
		n = min(n, fault.Short)
	}
	if n > 0 {
		c := change{off, slices.Clone(b[:n])}
		f.n.visible = c.apply(f.n.visible)
		f.n.pending = append(f.n.pending, c)
	}
	return n, fault.Err
}

func (f *file) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault := f.m.call("truncate", f.name)
	if fault.Err != nil && !fault.PowerOff {
		return fault.Err
	}
	c := change{off: size}
	f.n.visible = c.apply(f.n.visible)
	f.n.pending = append(f.n.pending, c)
	return fault.Err
}

// Sync makes the content durable. If OnCall makes it fail, it drops every second pending change: processes still read these
// changes, and no later Sync writes them, as when a kernel marks pages clean after a failed write.
func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	fault := f.m.call("sync", f.name)
	if fault.Err != nil {
		if !fault.PowerOff {
			for i, c := range f.n.pending {
				if i%2 == 0 {
					f.n.durable = c.apply(f.n.durable)
				}
			}
			f.n.pending = nil
		}
		return fault.Err
	}
	for _, c := range f.n.pending {
		f.n.durable = c.apply(f.n.durable)
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
	return int64(len(f.n.visible)), nil
}

func (f *file) Close() error { return nil }
