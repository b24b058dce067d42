// Package vfs is the file system as the durable store and the replicated log use it: few calls, each of which a test can have
// fail, write only in part, or lose. OS is the real one; package vfstest has one in memory that loses what was not synced.
//
// What callers must do to have something on disk: Sync a file after writing to it, and SyncDir a folder after a name in it
// was created, renamed or removed. An FS is safe for use by several goroutines. Errors of a name that is missing match
// fs.ErrNotExist.
package vfs

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
)

// ErrLocked is returned by FS.Lock for a file that is locked already, by another process or by this one.
var ErrLocked = errors.New("is locked by another process")

// File is an open file. Reads may run concurrently with a write elsewhere in the file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync returns when what was written is on disk. After an error it is unknown what is: the kernel may have dropped the
	// pages and marked them clean, so that a second call that succeeds proves nothing.
	Sync() error
	// Truncate sets the file's size, and fills it with zeros if that is larger than before.
	Truncate(size int64) error
	// Size returns the file's size in bytes.
	Size() (int64, error)
}

// FS is a file system. A name that was created, renamed or removed is on disk only after SyncDir of its folder.
type FS interface {
	Create(name string) (File, error) // for reading and writing; truncates a file that exists
	Open(name string) (File, error)   // for reading
	OpenRW(name string) (File, error) // for reading and writing; the file must exist
	Rename(from, to string) error     // replaces a file that exists
	Remove(name string) error
	List(dir string) ([]string, error)   // names of plain files, sorted
	MkdirAll(dir string) error           // with its parents
	SyncDir(dir string) error            // returns when the names in it are on disk
	Lock(name string) (io.Closer, error) // ErrLocked if it is locked; closing unlocks, and so does the end of the process
}

// OS is the operating system's file system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func wrapFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create creates a file for reading and writing, or truncates the one that exists.
func (OS) Create(name string) (File, error) {
	return wrapFile(os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600))
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) { return wrapFile(os.Open(name)) }

// OpenRW opens a file that exists for reading and writing.
func (OS) OpenRW(name string) (File, error) { return wrapFile(os.OpenFile(name, os.O_RDWR, 0)) }

// Rename renames a file; one that has the new name is replaced.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// MkdirAll creates a folder and its parents, as far as they are missing.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// List returns the names of a folder's plain files, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir returns when the names in a folder are on disk.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReadFile returns a file's content.
func ReadFile(fsys FS, name string) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading: nothing can be lost
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && (!errors.Is(err, io.EOF) || n != len(b)) {
		return nil, err
	}
	return b, nil
}

// Exists reports whether a file exists.
func Exists(fsys FS, name string) (bool, error) {
	f, err := fsys.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, f.Close()
}
