package store

import (
	"errors"
	"fmt"

	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/vfs"
)

// The errors that callers can act on; the ones returned wrap them and name the thing at fault.
var (
	ErrNotFound = errors.New("store: no such key")
	ErrClosed   = errors.New("store: is closed")
	// ErrReadOnly: a fault of the disk left it unknown what is on it. Reading goes on; only opening the store again
	// tells. A commit that got this error may be found then or not.
	ErrReadOnly = errors.New("store: takes no more writes after a fault of the disk")
	ErrNoStore  = errors.New("store: there is none")
	// ErrTooLarge: a key, a value or a batch is over its limit.
	ErrTooLarge = errors.New("store: too large")
	// ErrCorrupt: bytes on disk are not what was written.
	ErrCorrupt = segment.ErrBad
	// ErrNewer: the store was written by a newer release.
	ErrNewer = segment.ErrNewer
	// ErrLocked: the store is open already, in this process or another.
	ErrLocked = vfs.ErrLocked
)

// FileError is a fault of one of the store's files.
type FileError struct {
	File   string
	Offset int64 // of the first byte at fault; -1: the whole file
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
