package store

import (
	"errors"
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// The errors that callers can act on. Those that are returned wrap them and name what they are about.
var (
	// ErrNotFound: there is no such key, or no space of that name.
	ErrNotFound = errors.New("store: no such key")
	// ErrClosed: the store was closed, or is being closed.
	ErrClosed = errors.New("store: is closed")
	// ErrReadOnly: after an error of the disk it is unknown what is on it. Reads go on. Whether a commit that got this
	// error took effect is known only when the store is opened again.
	ErrReadOnly = errors.New("store: takes no more writes after a fault of the disk")
	// ErrNoStore: Options.Existing is set and the folder has no store.
	ErrNoStore = errors.New("store: there is none")
	// ErrTooLarge: a key, a value or a batch is over its limit, MaxKey, MaxValue or MaxBatch.
	ErrTooLarge = errors.New("store: too large")
	// ErrCorrupt: bytes on disk are not what was written.
	ErrCorrupt = segment.ErrBad
	// ErrNewer: the store was written by a newer release.
	ErrNewer = segment.ErrNewer
	// ErrLocked: the store is open already, in this process or another.
	ErrLocked = vfs.ErrLocked
)

// FileError is an error about one of the store's files, most often damage: then it wraps ErrCorrupt.
type FileError struct {
	File   string
	Offset int64 // of the first byte concerned; -1: the complete file
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

// fileError adds the file's name to an error, and the offset if it is a table.Error.
func fileError(name string, err error) error {
	var te *table.Error
	if errors.As(err, &te) {
		return &FileError{File: name, Offset: te.Offset, Err: te.Err}
	}
	return &FileError{File: name, Offset: -1, Err: err}
}
