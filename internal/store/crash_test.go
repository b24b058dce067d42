package store_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

// dir is the store's folder in file systems in memory.
const dir = "/store"

// Cuts the power at every call of the file system in turn. Guards against an acknowledged commit that is lost, a part of a
// batch that is found, and a recovery that fails when it is interrupted too.
func TestACrashAtAnyCallLeavesAPrefixWithAllAcknowledgedCommits(t *testing.T) {
	crashes := 0
	step := 1
	if testing.Short() || raceEnabled {
		step = 7
	}
	for n := 1; ; n += step {
		h := newHistory(&vfstest.Mem{}, 7, store.Options{PassBytesPerS: -1})
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: c.N == n} })
		if h.run(130) == nil {
			break
		}
		crashes++
		for seed := range uint64(4) {
			rnd := rand.New(rand.NewPCG(uint64(n), seed))
			left := h.fs.Crash(rnd)
			// The power also fails during the first recovery, and during the second.
			for range 2 {
				at := 1 + rnd.IntN(12)
				left.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: c.N == at} })
				opt := h.opt
				opt.FS = left
				if s, err := store.Open(dir, opt); err == nil {
					_ = s.Close()
				} else {
					require.ErrorIs(t, err, vfstest.ErrCrashed, "call %d, seed %d", n, seed)
				}
				left = left.Crash(rnd)
			}
			h.verify(t, left, h.acked, "call", n, "seed", seed)
			recovered := *h
			recovered.fs, recovered.opt.FS, recovered.states = left, left, maps.Clone(h.states)
			recovered.resume(t, "call", n, "seed", seed)
		}
	}
	require.Greater(t, crashes, 60)
}

// resume opens a recovered store, commits to it, compacts it, and expects that it can be opened again and has no faults.
func (h *history) resume(t *testing.T, what ...any) {
	t.Helper()
	s, err := store.Open(dir, h.opt)
	require.NoError(t, err, what...)
	h.acked = s.Stats().Seq
	spaces, err := h.begin(s)
	require.NoError(t, err, what...)
	for range 5 {
		require.NoError(t, h.commit(s, spaces), what...)
	}
	require.NoError(t, s.Compact(context.Background()), what...)
	require.NoError(t, s.Close(), what...)
	h.verify(t, h.fs, h.acked, what...)
	r, err := store.Check(context.Background(), dir, h.fs)
	require.NoError(t, err, what...)
	require.NoError(t, r.Err(), what...)
}

// Guards against a crash that loses commits before a Sync, or leaves commits in another order, when commits don't wait for a
// sync.
func TestWithSyncEveryACrashLeavesAPrefixWithAllSyncedCommits(t *testing.T) {
	for n := 5; n < 200; n += 3 {
		h := newHistory(&vfstest.Mem{}, 9, store.Options{PassBytesPerS: -1, SyncEvery: 1e9})
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{PowerOff: c.N == n} })
		s, err := store.Open(dir, h.opt)
		if err != nil {
			continue
		}
		var synced uint64
		spaces, err := h.begin(s)
		for i := 0; err == nil && i < 100; i++ {
			if err = h.commit(s, spaces); err == nil && i%10 == 0 {
				if err = s.Sync(); err == nil {
					synced = h.acked
				}
			}
		}
		_ = s.Close()
		for seed := range uint64(4) {
			h.verify(t, h.fs.Crash(rand.New(rand.NewPCG(uint64(n), seed))), synced, "call", n, "seed", seed)
		}
	}
}

// The disk is full for 25 calls, beginning at each call in turn; writes fail after some of their bytes. Guards against a
// store that turns read-only, a failed commit that has an effect, and a later commit that is lost.
func TestAFullDiskFailsCommitsWithoutAnEffectAndLaterOnesSucceed(t *testing.T) {
	for n := 1; n < 400; n++ {
		h := newHistory(&vfstest.Mem{}, 13, store.Options{PassBytesPerS: -1})
		s, err := store.Open(dir, h.opt)
		require.NoError(t, err)
		spaces, err := h.begin(s)
		require.NoError(t, err)
		var full atomic.Bool
		base := h.fs.Calls()
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault {
			if c.N-base >= n && c.N-base < n+25 && (c.Op == "write" || c.Op == "create") {
				full.Store(true)
				return vfstest.Fault{Err: syscall.ENOSPC, Short: c.N % 50}
			}
			return vfstest.Fault{}
		})
		failed := 0
		for range 120 {
			if err := h.commit(s, spaces); err != nil {
				require.ErrorIs(t, err, syscall.ENOSPC)
				require.NotErrorIs(t, err, store.ErrReadOnly)
				failed++
				require.Equal(t, h.states[h.acked], state(t, s), "reads continue after a commit failed")
			}
		}
		if !full.Load() { // the run made fewer than n calls, so the disk has been full at each call
			require.Greater(t, n, 100)
			require.NoError(t, s.Close())
			break
		}
		require.NoError(t, s.Err(), "the store accepts writes")
		require.Less(t, failed, 60)
		require.Equal(t, h.states[h.acked], state(t, s))
		require.NoError(t, s.Close())
		h.verify(t, h.fs.Crash(rand.New(rand.NewPCG(uint64(n), 1))), h.acked, "call", n)
	}
}

// Fails each sync in turn with EIO. Guards against commits that are acknowledged after it though the kernel dropped their
// pages.
func TestAFailedSyncLosesNoAcknowledgedCommit(t *testing.T) {
	readOnly := 0
	for n := 1; n < 500; n++ {
		h := newHistory(&vfstest.Mem{}, 17, store.Options{PassBytesPerS: -1})
		s, err := store.Open(dir, h.opt)
		require.NoError(t, err)
		spaces, err := h.begin(s)
		require.NoError(t, err)
		base := h.fs.Calls()
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault {
			if c.N-base == n && (c.Op == "sync" || c.Op == "syncdir") {
				return vfstest.Fault{Err: syscall.EIO}
			}
			return vfstest.Fault{}
		})
		for range 120 {
			if err = h.commit(s, spaces); err != nil {
				break
			}
		}
		if s.Err() != nil {
			readOnly++
			require.ErrorIs(t, err, store.ErrReadOnly)
			require.ErrorIs(t, err, syscall.EIO)
			var b store.Batch
			b.Put(spaces[0], []byte("late"), nil)
			_, err = s.Commit(&b)
			require.ErrorIs(t, err, store.ErrReadOnly)
			require.Equal(t, h.states[h.acked], state(t, s), "a read-only store can be read")
		}
		_ = s.Close()
		h.verify(t, h.fs.Crash(rand.New(rand.NewPCG(uint64(n), 1))), h.acked, "call", n)
	}
	require.Greater(t, readOnly, 20)
}
