// Package vfs is the interface through which the durable store and the replicated log use the file system. It has few calls,
// so that tests can make each call fail, write only a part, or lose its effect in a crash. OS is the operating system's
// file system; package vfstest has one in memory that loses unsynced changes.
//
// To make changes durable, callers Sync a file after they wrote to it, and SyncDir a folder after they created, renamed or
// removed a name in the folder. An FS is safe for use by several goroutines. Errors about a missing name match
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

// File is an open file. Reads may run at the same time as a write to another part of the file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync returns when all earlier writes and truncations are on disk. After an error any of them may be missing on disk.
	// The kernel may have marked the pages clean without writing them, so a successful second call does not prove that they
	// are on disk.
	Sync() error
	// Truncate sets the file's size in bytes. If that makes the file longer, the new part is zeros.
	Truncate(size int64) error
	// Size returns the file's size in bytes.
	Size() (int64, error)
}

// FS is a file system. The creation, renaming or removal of a name is on disk only after SyncDir of its folder.
type FS interface {
	Create(name string) (File, error) // for reading and writing; truncates a file that exists
	Open(name string) (File, error)   // for reading
	OpenRW(name string) (File, error) // for reading and writing; the file must exist
	Rename(from, to string) error     // replaces the file to if it exists
	Remove(name string) error
	List(dir string) ([]string, error)   // names of plain files, sorted
	MkdirAll(dir string) error           // creates the folder and its missing parents
	SyncDir(dir string) error            // returns when changes of names in the folder are on disk
	Lock(name string) (io.Closer, error) // ErrLocked if the file is locked; Close or the end of the process unlocks it
}

// OS is the operating system's file system.
type OS struct{}

// osFile is a File of OS. Its Sync is in sync_linux.go.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// wrapFile returns f as a File, or err.
func wrapFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Create creates a file for reading and writing. If it exists, Create truncates it.
func (OS) Create(name string) (File, error) {
	return wrapFile(os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600))
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) { return wrapFile(os.Open(name)) }

// OpenRW opens an existing file for reading and writing.
func (OS) OpenRW(name string) (File, error) { return wrapFile(os.OpenFile(name, os.O_RDWR, 0)) }

// Rename renames a file. It replaces the file to if that exists.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// MkdirAll creates a folder and its parents if they are missing.
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

// SyncDir returns when all changes of names in a folder are on disk.
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
	defer func() { _ = f.Close() }() // the file was only read, so a failed close loses no data
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
