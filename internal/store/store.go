// Package store is an ordered key-value store for one process. It survives the end of the process and of the machine at
// any point. docs/store.md has the design and the form on disk.
//
// What it promises:
//
//   - Batches are atomic and ordered: after a crash the store has a prefix of the batches that were committed, in the order
//     of their commits, and no part of any other.
//   - By default Commit returns when the batch is on disk (fdatasync). Batches that wait at the same time share one sync.
//   - With Options.SyncEvery, Commit returns when the operating system has the batch, and a sync follows within that
//     time. The end of the process loses nothing; a power failure may lose the newest commits, those of about the last
//     SyncEvery, and still leaves a prefix. Sync waits until all is on disk.
//   - A commit that failed because the disk is full has no effect, and later ones may succeed. After a failed sync the
//     store accepts no more writes (ErrReadOnly): which of the last ones are on disk is known only when it is opened again.
//   - Damage is always reported: Open fails, or reads do, with the file and the offset (FileError). Repair makes a new
//     store of what is undamaged.
//
// What it does not promise: that damage to the very last commits before a crash can be told from a write that the crash
// interrupted; isolation beyond that of a Snapshot (there are no transactions that read); more than one process at a time.
//
// What callers must do: close snapshots and iterators before the store, and treat ErrReadOnly as the end of the store until
// it is opened again. Store and Space may be used by several goroutines; a Batch, a Snapshot and an Iterator by one at a time.
//
// Commits are appended to a log of segments, in which values stay. The index has the newest records in memory, in a
// B-tree, and the rest in one sorted table on disk. A compaction pass writes that table anew from time to time, and
// rewrites the segments that are mostly dead. The log is Kreps' and Bitcask's, the split of keys and values WiscKey's.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"ospreypond/internal/store/manifest"
	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/table"
)

// Limits on the sizes of keys, values and batches, in bytes. What is over one fails with ErrTooLarge.
const (
	MaxKey   = 4 << 10
	MaxValue = 16 << 20
	MaxBatch = 32 << 20
)

// Store is an open store. It is safe for use by several goroutines. It has three goroutines of its own, the writer's, the
// applier's and the compactor's, which Close ends and waits for.
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
	fault   atomic.Pointer[error] // why it is read-only; nil: it is not

	// mu guards what readers see.
	mu      sync.RWMutex
	top     *layer         // commits since the last freeze
	pending []pendingBatch // the last of them, which top does not have yet; see applyPending
	version *version
	seq     uint64 // of the last commit that readers see
	spaces  map[string]*Space
	closed  bool

	// manMu guards the manifest in force, which the writer and the compactor replace.
	manMu sync.Mutex
	man   *manifest.Manifest

	writer    writer
	compactor compactor

	spaceMu    sync.Mutex // one call of Space at a time changes a space
	goroutines sync.WaitGroup
	durable    atomic.Uint64
	passes     atomic.Uint64
}

// Dir returns the store's folder.
func (s *Store) Dir() string { return s.dir }

// Err returns why the store is read-only, an error that wraps ErrReadOnly, or nil while it accepts writes.
func (s *Store) Err() error {
	if f := s.fault.Load(); f != nil {
		return *f
	}
	return nil
}

// turnReadOnly has the store reject writes from now on, and returns the error for the one that failed. Only the first
// cause is kept.
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

// install replaces the manifest in force by a copy that edit has changed. After an error the old one is still in force, or
// the store is read-only.
func (s *Store) install(edit func(m *manifest.Manifest)) error {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := s.man.Clone()
	edit(next)
	next.Generation++
	if mayBeInForce, err := manifest.Write(s.opt.FS, s.dir, next); mayBeInForce {
		return s.turnReadOnly("writing the manifest", err)
	} else if err != nil {
		return fmt.Errorf("store: writing the manifest: %w", err)
	}
	s.man = next
	return nil
}

// nextID returns the number of a new file.
func (s *Store) nextID() uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	id := s.man.NextID
	s.man.NextID++
	return id
}

// remove removes a file that no manifest names any more. If that fails, the next Open removes it.
func (s *Store) remove(name string) {
	if err := s.opt.FS.Remove(s.path(name)); err != nil {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "file": name}).Warn("file left behind")
	}
}

// Sync returns when every commit before it is on disk.
func (s *Store) Sync() error {
	return s.writer.runInWriter(func() error { return s.writer.sync(s) })
}

// Compact runs compaction passes until they find nothing more to rewrite or no longer make the store smaller. Commits and
// reads go on meanwhile. It returns early with ctx's error once that is done.
func (s *Store) Compact(ctx context.Context) error {
	smallest := s.Stats().Bytes
	for idle := 0; idle < maxIdlePasses; idle++ {
		more, err := s.compactor.runPass(ctx, s, passOptions{freeze: true})
		if err != nil || !more {
			return err
		}
		if size := s.Stats().Bytes; size < smallest {
			idle, smallest = -1, size
		}
	}
	return nil
}

// maxIdlePasses is how many passes in a row may rewrite something without making the store smaller: it takes several until
// no record is left that a deletion must hide.
const maxIdlePasses = 4

// maxCloseTail is how many bytes of log Close may leave for the next Open to read.
const maxCloseTail = 2 << 20

// Close writes what is not yet on disk, ends the store's goroutines and unlocks its folder. Commits that are in flight either
// succeed or fail with ErrClosed. Snapshots and iterators must be closed before. A second call returns ErrClosed.
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
				s.limiter.SetLimit(rate.Inf) // no commit waits for the disk any more
			}
			// This only shortens the next Open, so an error does no harm.
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
