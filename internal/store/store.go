// Package store is an ordered key-value store for one process. A crash of the process or of the machine at any point leaves
// a store that can be opened. docs/store.md has the design and the format on disk.
//
// # Guarantees
//
//   - Batches are atomic and ordered: after a crash the store has a prefix of the batches that were committed, in the order
//     of their commits, and no part of any other.
//   - By default Commit returns when the batch is on disk (fdatasync). Batches that wait at the same time share one sync.
//   - With Options.SyncEvery, Commit returns when the operating system has the batch, and a sync follows within that
//     time. A crash of the process loses no commit. A power failure may lose the commits of about the last SyncEvery, and
//     still leaves a prefix. Sync waits until every earlier commit is on disk.
//   - A commit that failed because the disk is full has no effect, and later ones may succeed. After a failed sync the
//     store rejects writes (ErrReadOnly): which of the last commits are on disk is known only when it is opened again.
//   - Damage is always reported: Open or a read fails with the file and the offset (FileError). Repair copies the undamaged
//     records to a new store.
//
// # Limits of the guarantees
//
//   - Damage to the very last commits before a crash can't be distinguished from a write that the crash interrupted.
//   - A Snapshot is the only isolation: there are no transactions that read.
//   - Only one process at a time can open a store.
//
// # Duties of the caller
//
// The caller closes snapshots and iterators before the store, and opens the store again after ErrReadOnly if it is to write
// again. Several goroutines may use a Store or a Space; a Batch, a Snapshot or an Iterator belongs to one goroutine at a
// time.
//
// # Design
//
// The writer appends commits to a log of segments. The values stay there. The index maps each key to the location of its
// value. Its newest entries are in memory, in B-trees, and the rest is in one sorted table on disk. A compaction pass
// rewrites that table from time to time, and copies the live records out of segments that are mostly garbage. The log
// follows Kreps' and Bitcask's; the separation of keys and values follows WiscKey's.
//
// # Order of writes and syncs
//
//   - Commit: append the frames, sync the segment, then acknowledge.
//   - Next segment: sync and truncate the full one, write and sync the new one's header, sync the folder unless the segment
//     was prepared (that has synced it), then write the manifest that names both. Only then are frames appended to it.
//   - Pass: sync the new table and the new segments, sync the folder, write the manifest, then remove the old files.
//   - Manifest: write and sync both copies under temporary names, then rename each and sync the folder after each rename.
//
// # Faults of the disk
//
//   - A crash tore the last write: Open truncates the open segment after its last complete frame and logs that.
//   - A frame that Open must read, because the table does not cover it, is damaged: Open fails if the segment is sealed or a
//     later frame says that this one was durable. Otherwise the frame looks like a torn write.
//   - A write of a commit failed, as on a full disk: the writer truncates the segment to its size before the write and syncs
//     it. If either fails, the store turns read-only.
//   - A sync of frames failed, or the renaming of a copy of the manifest: the store turns read-only.
//   - The table is missing, or its size, footer or index is wrong: Open builds a new one from the sealed segments.
//   - A block of the table or a value is damaged: the read fails with ErrCorrupt.
//   - One copy of the manifest is missing or damaged: Open uses the other copy and then writes both.
//   - A pass failed: its files are removed, the store stays as it was, and the compactor tries again after a delay.
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

// Upper limits in bytes. Commit of a batch that exceeds one fails with ErrTooLarge.
const (
	MaxKey   = 4 << 10  // length of a key, without the number of its space
	MaxValue = 16 << 20 // length of a value
	MaxBatch = 32 << 20 // encoded batch, with the header of its frame
)

// Store is an open store. It is safe for use by several goroutines. It runs three goroutines: the writer's, the applier's
// and the compactor's. Close ends them and waits until they have returned.
type Store struct {
	dir     string
	opt     Options
	limits  plan.Limits
	id      [16]byte  // chosen at random when the store was created; in the manifest and in the header of each file
	lock    io.Closer // of the folder; closing it unlocks
	cache   *table.Cache
	limiter *rate.Limiter   // of the bytes that passes read and write; nil: no limit
	ctx     context.Context // ends when the store is closed
	cancel  context.CancelFunc
	fault   atomic.Pointer[error] // why the store is read-only; nil: it accepts writes

	// mu guards what readers see.
	mu      sync.RWMutex
	top     *layer         // index entries of the commits since the last freeze, except those in pending
	pending []pendingBatch // acknowledged commits that are not in top yet; see applyPending
	version *version
	seq     uint64            // sequence number of the last acknowledged commit
	spaces  map[string]*Space // by name
	closed  bool

	// manMu guards the current manifest, which the writer and the compactor replace.
	manMu sync.Mutex
	man   *manifest.Manifest

	writer    writer
	compactor compactor

	spaceMu    sync.Mutex // serializes calls of Space, which change a space
	goroutines sync.WaitGroup
	durable    atomic.Uint64 // all commits up to this sequence number are on disk
	passes     atomic.Uint64 // completed since the store was opened
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

// turnReadOnly makes the store reject writes from now on, and returns the error for the write that failed. action says
// which operation of the store failed with err. Err returns the first cause only.
func (s *Store) turnReadOnly(action string, err error) error {
	e := fmt.Errorf("%w: %s: %w", ErrReadOnly, action, err)
	if s.fault.CompareAndSwap(nil, &e) {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "what": action}).
			Error("store turns read-only; open it again once the disk is well")
	}
	return e
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func segmentName(id uint64) string { return fmt.Sprintf("%08d.seg", id) }
func tableName(id uint64) string   { return fmt.Sprintf("%08d.tab", id) }

// install replaces the current manifest, in memory and on disk, by a copy that edit has changed. After an error the old one
// is still the current one, or the store is read-only.
func (s *Store) install(edit func(m *manifest.Manifest)) error {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := s.man.Clone()
	edit(next)
	next.Generation++
	if mayTakeEffect, err := manifest.Write(s.opt.FS, s.dir, next); mayTakeEffect {
		return s.turnReadOnly("writing the manifest", err)
	} else if err != nil {
		return fmt.Errorf("store: writing the manifest: %w", err)
	}
	s.man = next
	return nil
}

// nextID returns the number for a new segment or table. It is on disk with the next manifest: a file that a crash left
// before that is removed by Open, so its number may be assigned again.
func (s *Store) nextID() uint64 {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	id := s.man.NextID
	s.man.NextID++
	return id
}

// remove removes a file that neither copy of the manifest names. If that fails, the next Open removes it.
func (s *Store) remove(name string) {
	if err := s.opt.FS.Remove(s.path(name)); err != nil {
		s.opt.Log.WithError(err).WithFields(logrus.Fields{"store": s.dir, "file": name}).Warn("file left behind")
	}
}

// Sync returns when every commit that was made before the call is on disk.
func (s *Store) Sync() error {
	return s.writer.runInWriter(func() error { return s.writer.sync(s) })
}

// Compact runs compaction passes until no work is left for a pass, or until maxIdlePasses passes in a row have not made the
// store smaller. Commits and reads continue at the same time. If ctx is done first, Compact returns its error.
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

// maxIdlePasses is how many passes in a row Compact runs though none made the store smaller. A deletion can be dropped only
// once no segment has an older record that it hides, and rewriting those segments takes several passes.
const maxIdlePasses = 4

// maxCloseTail is how many bytes of log that the table does not cover Close may leave. The next Open must read them.
const maxCloseTail = 2 << 20

// Close syncs the log, ends the store's goroutines and unlocks its folder. If the next Open would have to read more than
// maxCloseTail bytes of log, Close first writes a new table. Commits in progress either succeed or fail with ErrClosed. The
// caller closes snapshots and iterators first. A second call returns ErrClosed.
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
				s.limiter.SetLimit(rate.Inf) // the limit protects commits from delays by passes; no commits follow
			}
			// The pass only shortens the next Open: the log on disk is complete without it.
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
	s.writer.removeUnusedPreparedSegment(s)
	s.mu.Lock()
	s.version.unref()
	s.mu.Unlock()
	if cerr := s.lock.Close(); err == nil {
		err = cerr
	}
	return err
}
