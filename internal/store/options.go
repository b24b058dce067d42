package store

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/store/vfs"
)

// Options are the settings of a store. The zero value is valid: Open replaces zero fields by their defaults.
type Options struct {
	// Existing makes Open fail with ErrNoStore if the folder has no store, instead of creating one.
	Existing bool
	// SyncEvery, if over 0, is the interval of syncs in the background, and commits return without waiting for one; see the
	// package comment. If 0, each commit waits for a sync.
	SyncEvery time.Duration
	// SegmentBytes is the size up to which segments are filled before they are sealed, 4 KiB to 1 GiB; 16 MiB if 0. A batch
	// that is larger gets a segment to itself.
	SegmentBytes int64
	// Garbage is the fraction of a segment that must be garbage (superseded, deleted or expired records) before a pass
	// rewrites it, 0.05 to 1; 0.5 if 0.
	Garbage float64
	// PassBytesPerS limits the bytes of values that passes read plus the bytes that they write, per second; 64 MiB if 0, no
	// limit if negative.
	PassBytesPerS int
	// CacheBytes is the size of the cache for blocks of the table on disk; 4 MiB if 0.
	CacheBytes int
	// Log gets the log messages for the operator; nil discards them.
	Log logrus.FieldLogger
	// FS is the file system; the operating system's if nil.
	FS vfs.FS
	// Now is the clock that determines the age of records; time.Now if nil.
	Now func() time.Time
}

// defaults replaces zero fields by their defaults and returns an error if a field is out of its range.
func (o *Options) defaults() error {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = 16 << 20
	}
	if o.SegmentBytes < 4<<10 || o.SegmentBytes > 1<<30 {
		return fmt.Errorf("store: SegmentBytes: %d bytes is not within 4 KiB and 1 GiB", o.SegmentBytes)
	}
	if o.Garbage == 0 {
		o.Garbage = 0.5
	}
	if o.Garbage < 0.05 || o.Garbage > 1 {
		return fmt.Errorf("store: Garbage: %v is not within 0.05 and 1", o.Garbage)
	}
	if o.SyncEvery < 0 {
		return fmt.Errorf("store: SyncEvery: %v is negative", o.SyncEvery)
	}
	if o.PassBytesPerS == 0 {
		o.PassBytesPerS = 64 << 20
	}
	if o.CacheBytes == 0 {
		o.CacheBytes = 4 << 20
	}
	if o.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		o.Log = l
	}
	if o.FS == nil {
		o.FS = vfs.OS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return nil
}
