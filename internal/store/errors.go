package store

import (
	"errors"
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// Errors that callers can test for with errors.Is. The returned errors wrap them and add the file, key or space concerned.
var (
	// ErrNotFound means that the key or the space does not exist.
	ErrNotFound = errors.New("store: no such key")
	// ErrClosed means that the store was closed, or is being closed.
	ErrClosed = errors.New("store: is closed")
	// ErrReadOnly means that after an error of the disk it is unknown which of the last writes are on it. The store rejects
	// writes, and reads continue. Whether a commit that got this error took effect is known only when the store is opened
	// again.
	ErrReadOnly = errors.New("store: takes no more writes after a fault of the disk")
	// ErrNoStore means that Options.Existing is set and the folder has no store.
	ErrNoStore = errors.New("store: the folder has no store")
	// ErrTooLarge means that a key, a value or a batch exceeds MaxKey, MaxValue or MaxBatch.
	ErrTooLarge = errors.New("store: too large")
	// ErrCorrupt means that the bytes on disk differ from the bytes that the store wrote.
	ErrCorrupt = segment.ErrCorrupt
	// ErrNewer means that a newer release wrote the store, in a format that this one cannot read.
	ErrNewer = segment.ErrNewer
	// ErrLocked means that the store is open already, in this process or another.
	ErrLocked = vfs.ErrLocked
)

// FileError is an error about one of the store's files. If the file is damaged, it wraps ErrCorrupt.
type FileError struct {
	File   string // name in the store's folder
	Offset int64  // of the first byte concerned; -1: the complete file
	Err    error
}

// Error names the file, the offset and the cause.
func (e *FileError) Error() string {
	if e.Offset < 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: offset %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// fileError returns err as a FileError of the named file. A table.Error has the offset; any other error concerns the
// complete file.
func fileError(name string, err error) error {
	var te *table.Error
	if errors.As(err, &te) {
		return &FileError{File: name, Offset: te.Offset, Err: te.Err}
	}
	return &FileError{File: name, Offset: -1, Err: err}
}
