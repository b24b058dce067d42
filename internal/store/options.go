package store

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/store/vfs"
)

// Options are the settings of a store. The zero value is valid.
type Options struct {
	// Existing has Open fail with ErrNoStore if there is no store, instead of creating one.
	Existing bool
	// SyncEvery, if over 0, lets commits return before they are on disk; see the package comment.
	SyncEvery time.Duration
	// SegmentBytes is the size at which a segment is sealed; 16 MiB if 0, at most 1 GiB.
	SegmentBytes int64
	// Garbage is the fraction of a segment that must be dead before it is rewritten, 0.05 to 1; 0.5 if 0.
	Garbage float64
	// PassBytesPerS bounds the bytes that compaction reads and writes in a second; 64 MiB if 0, no bound if negative.
	PassBytesPerS int
	// CacheBytes is the size of the cache for blocks of the index; 4 MiB if 0.
	CacheBytes int
	// Log gets what an operator should know; nil discards it.
	Log logrus.FieldLogger
	// FS is the file system; nil: the operating system's.
	FS vfs.FS
	// Now is the clock by which records expire; nil: time.Now.
	Now func() time.Time
}

// defaults fills in what is zero and checks the rest.
func (o *Options) defaults() error {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = 16 << 20
	}
	if o.SegmentBytes < 4<<10 || o.SegmentBytes > 1<<30 {
		return fmt.Errorf("store: SegmentBytes: %d is not within 4 KiB and 1 GiB", o.SegmentBytes)
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
