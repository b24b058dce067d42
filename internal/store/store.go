// Package store is an ordered key-value store for one process that survives a cut at any byte. docs/store.md has
// the design and the form on disk.
//
// What it promises:
//
//   - A batch is there whole or not at all, and batches are there in the order of their commits: after a crash the
//     store holds a prefix of what was committed, never a mix.
//   - By default Commit returns when the batch is on disk (fdatasync). Batches that wait together share one sync.
//   - With Options.SyncEvery, Commit returns when the operating system has the batch, and a sync follows within that
//     time. The end of the process loses nothing; a power cut may lose the commits of about the last SyncEvery, the
//     newest ones, and still leaves a prefix. Sync waits until all is on disk.
//   - A commit that failed for lack of room has no effect and later ones may do. After a failed sync the store takes
//     no more writes (ErrReadOnly): what of the last ones is on disk shows only when it is opened again.
//   - What is damaged is never passed over: Open refuses, and reads fail, with the file and the offset. Repair makes
//     a new store of what is good.
//
// Commits are appended to a log of segments; values stay there. The index has what came lately in memory, in a
// B-tree, and the rest in one sorted table on disk, which a pass writes anew from time to time; the same pass
// rewrites segments that are mostly dead (Kreps' and Bitcask's log, with WiscKey's split of keys and values).
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/table"
	"ospreypond/internal/store/vfs"
)

// Limits on sizes, bytes.
const (
	MaxKey   = 4 << 10
	MaxValue = 16 << 20
	MaxBatch = 32 << 20
)

// Options are a store's settings. The zero value works.
type Options struct {
	// Existing has Open fail with ErrNoStore instead of making a store.
	Existing bool
	// SyncEvery, if over 0, lets commits return before they are on disk; see the package comment.
	SyncEvery time.Duration
	// SegmentBytes is the size at which a segment is sealed; 16 MiB if 0, at most 1 GiB.
	SegmentBytes int64
	// Garbage is the dead share at which a segment is rewritten; 0.5 if 0.
	Garbage float64
	// PassBytesPerS bounds what compaction reads and writes; 64 MiB if 0, none if negative.
	PassBytesPerS int
	// CacheBytes is for blocks of the index; 4 MiB if 0.
	CacheBytes int
	// Log is told what an operator should know; nil: nobody is.
	Log logrus.FieldLogger
	// FS is the file system; nil: the operating system's.
	FS vfs.FS
	// Now is the clock by which records grow old; nil: time.Now.
	Now func() time.Time
}

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

// Store is an open store. It is safe for use by several goroutines.
type Store struct {
	dir     string
	opt     Options
	limits  plan.Limits
	id      [16]byte
	lock    io.Closer
	cache   *table.Cache
	limiter *rate.Limiter
	ctx     context.Context // ends when the store is closed
	cancel  context.CancelFunc
	fault   atomic.Pointer[error] // why it takes no more writes

	// mu guards what readers see.
	mu      sync.RWMutex
	top     *layer         // commits since the last freeze
	pending []pendingBatch // the last of them, which top does not have yet; see applyPending
	version *version
	seq     uint64 // of the last commit that readers see
	spaces  map[string]*Space
	closed  bool

	// manMu guards the manifest in force, which the writer's and the passer's goroutines replace.
	manMu sync.Mutex
	man   *manifest.Manifest

	writer    writer
	compactor compactor

	spaceMu    sync.Mutex // one Space at a time names a new space
	goroutines sync.WaitGroup
	durable    atomic.Uint64
	passes     atomic.Uint64
}

// Stats are figures of a store.
type Stats struct {
	Seq         uint64 `json:"seq"`          // of the last commit
	Durable     uint64 `json:"durable"`      // up to here all is on disk
	Segments    int    `json:"segments"`     // files
	Bytes       int64  `json:"bytes"`        // of the segments and the index on disk
	LiveBytes   int64  `json:"live_bytes"`   // as a pass last counted, and all that came since
	TableKeys   uint64 `json:"table_keys"`   // in the index on disk
	MemoryKeys  int    `json:"memory_keys"`  // in the part of the index in memory, deletions too
	MemoryBytes int64  `json:"memory_bytes"` // that the index takes in memory, about
	Passes      uint64 `json:"passes"`       // since the store was opened
	Syncs       uint64 `json:"syncs"`        // of the log, since the store was opened
	Commits     uint64 `json:"commits"`      // since the store was opened
	ReadOnly    string `json:"read_only,omitempty"`
}

// Stats returns the store's present figures.
func (s *Store) Stats() Stats {
	s.manMu.Lock()
	st := Stats{Segments: len(s.man.Segments), Passes: s.passes.Load(), Durable: s.durable.Load(),
		Syncs: s.writer.syncs.Load(), Commits: s.writer.commits.Load()}
	for _, g := range s.man.Segments {
		size, live := g.Size, g.Live
		if !g.Sealed {
			size = s.writer.size.Load()
			live = size
		}
		st.Bytes += size
		st.LiveBytes += live
	}
	if t := s.man.Table; t != nil {
		st.Bytes += t.Size
		st.TableKeys = t.Count
	}
	s.manMu.Unlock()
	s.rLockApplied()
	defer s.mu.RUnlock()
	st.Seq = s.seq
	st.MemoryKeys, st.MemoryBytes = s.top.tree.Len(), s.top.bytes()
	if f := s.version.frozen; f != nil {
		st.MemoryKeys += f.tree.Len()
		st.MemoryBytes += f.bytes()
	}
	if s.version.base != nil {
		st.MemoryBytes += int64(s.version.base.t.Memory())
	}
	if f := s.fault.Load(); f != nil {
		st.ReadOnly = (*f).Error()
	}
	return st
}

// Dir returns the store's folder.
func (s *Store) Dir() string { return s.dir }

// Err returns why the store takes no more writes, or nil.
func (s *Store) Err() error {
	if f := s.fault.Load(); f != nil {
		return *f
	}
	return nil
}

// turnReadOnly has the store take no more writes.
func (s *Store) turnReadOnly(what string, err error) error {
	e := fmt.Errorf("%w: %s: %w", ErrReadOnly, what, err)
	if s.fault.CompareAndSwap(nil, &e) {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "what": what}).
			Error("store turns read-only; open it again once the disk is well")
	}
	return e
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(id uint64) string { return fmt.Sprintf("%08d.seg", id) }
func tableName(id uint64) string   { return fmt.Sprintf("%08d.tab", id) }

// installed replaces the manifest in force. edit changes a copy. After an error the old one is in force, or the store
// takes no more writes.
func (s *Store) install(edit func(m *manifest.Manifest)) error {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := s.man.Clone()
	edit(next)
	next.Generation++
	if maybe, err := manifest.Write(s.opt.FS, s.dir, next); maybe {
		return s.turnReadOnly("writing the manifest", err)
	} else if err != nil {
		return fmt.Errorf("store: writing the manifest: %w", err)
	}
	s.man = next
	return nil
}

// nextID returns a number for a new file.
func (s *Store) nextID() uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	id := s.man.NextID
	s.man.NextID++
	return id
}

// remove removes a file that nothing names any more. If that fails, the next opening does it.
func (s *Store) remove(name string) {
	if err := s.opt.FS.Remove(s.path(name)); err != nil {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "file": name}).Warn("file left behind")
	}
}

// Sync returns when all that was committed is on disk.
func (s *Store) Sync() error {
	return s.writer.runInWriter(func() error { return s.writer.sync(s) })
}

// Compact has the index written down and all rewritten that is worth it, until passes find nothing more.
func (s *Store) Compact(ctx context.Context) error {
	least := s.Stats().Bytes
	for idle := 0; idle < maxIdlePasses; idle++ {
		again, err := s.compactor.runPass(ctx, s, passOptions{freeze: true})
		if err != nil || !again {
			return err
		}
		if now := s.Stats().Bytes; now < least {
			idle, least = -1, now
		}
	}
	return nil
}

// maxIdlePasses is how many passes in a row may find something to rewrite and yet gain nothing: deletions take a few to
// become needless.
const maxIdlePasses = 4

// maxCloseTail is how many bytes of log an orderly end leaves to be read at the next opening.
const maxCloseTail = 2 << 20

// Close ends the store when all that was committed is on disk. Snapshots and iterators must be closed before.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.mu.Unlock()
	var err error
	if s.fault.Load() == nil {
		err = s.Sync()
		if err == nil && s.writer.unindexed.Load() > maxCloseTail {
			if s.limiter != nil {
				s.limiter.SetLimit(rate.Inf) // nobody else is waiting for the disk now
			}
			// Only saves time at the next opening, so that a fault of it harms nothing.
			if _, perr := s.compactor.runPass(s.ctx, s, passOptions{freeze: true, indexOnly: true}); perr != nil {
				s.opt.Log.WithError(perr).WithField("store", s.dir).Warn("index not written down at the end")
			}
		}
	}
	if s.fault.Load() == nil {
		err = errors.Join(err, s.writer.runInWriter(func() error { return s.writer.trimZeros(s) }))
	}
	s.cancel()
	s.writer.stop()
	s.goroutines.Wait()
	s.writer.removePrepared(s)
	s.mu.Lock()
	s.version.unref()
	s.mu.Unlock()
	if cerr := s.lock.Close(); err == nil {
		err = cerr
	}
	return err
}
