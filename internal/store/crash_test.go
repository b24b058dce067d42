package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

const dir = "/store"

// history is a sequence of batches and, for each sequence number, the content of the store after that commit.
type history struct {
	fs     *vfstest.Mem
	opt    store.Options
	rnd    *rand.Rand
	states map[uint64]map[string]string // by sequence number: "space/key" to value
	acked  uint64                       // the highest number that a commit returned
	tried  uint64                       // the highest number that a commit may have got
}

var spaceNames = []string{"a", "b"}

func newHistory(fsys *vfstest.Mem, seed uint64, opt store.Options) *history {
	opt.FS = fsys
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = 4 << 10
	}
	return &history{fs: fsys, opt: opt, rnd: rand.New(rand.NewPCG(seed, 1)),
		states: map[uint64]map[string]string{0: {}}}
}

// begin creates the spaces.
func (h *history) begin(s *store.Store) ([]*store.Space, error) {
	var all []*store.Space
	for _, name := range spaceNames {
		h.tried = h.acked + 1
		h.states[h.tried] = h.states[h.acked]
		sp, err := s.Space(name, store.Retention{})
		if err != nil {
			return nil, err
		}
		h.acked = max(h.acked, s.Stats().Seq)
		all = append(all, sp)
	}
	return all, nil
}

// commit commits a random batch.
func (h *history) commit(s *store.Store, spaces []*store.Space) error {
	var b store.Batch
	next := maps.Clone(h.states[h.acked])
	for range 1 + h.rnd.IntN(4) {
		i := h.rnd.IntN(len(spaces))
		key := fmt.Sprintf("k%02d", h.rnd.IntN(30))
		switch h.rnd.IntN(10) {
		case 0, 1:
			b.Delete(spaces[i], []byte(key))
			delete(next, spaceNames[i]+"/"+key)
		case 2:
			to := fmt.Sprintf("k%02d", h.rnd.IntN(30))
			b.DeleteRange(spaces[i], []byte(key), []byte(to))
			maps.DeleteFunc(next, func(k, _ string) bool {
				return strings.HasPrefix(k, spaceNames[i]) && k >= spaceNames[i]+"/"+key && k < spaceNames[i]+"/"+to
			})
		default:
			value := fmt.Sprintf("%d-%s", h.acked, strings.Repeat("v", h.rnd.IntN(200)))
			b.Put(spaces[i], []byte(key), []byte(value))
			next[spaceNames[i]+"/"+key] = value
		}
	}
	if b.Len() == 0 {
		return nil
	}
	h.tried = h.acked + 1
	h.states[h.tried] = next
	seq, err := s.Commit(&b)
	if err == nil {
		if seq != h.tried {
			return fmt.Errorf("commit %d got number %d", h.tried, seq)
		}
		h.acked = seq
	}
	return err
}

// run opens a store, commits that many batches, and closes it; it ends at the first error.
func (h *history) run(commits int) error {
	s, err := store.Open(dir, h.opt)
	if err != nil {
		return err
	}
	err = func() error {
		spaces, err := h.begin(s)
		for i := 0; err == nil && i < commits; i++ {
			if err = h.commit(s, spaces); err == nil && i%40 == 39 {
				err = s.Compact(context.Background())
			}
		}
		return err
	}()
	if cerr := s.Close(); err == nil {
		err = cerr
	}
	return err
}

// verify opens what is in a file system and compares it with the history: it must be one of its states, and none before
// that of commit minSeq.
func (h *history) verify(t *testing.T, fsys *vfstest.Mem, minSeq uint64, what ...any) {
	t.Helper()
	opt := h.opt
	opt.FS = fsys
	s, err := store.Open(dir, opt)
	require.NoError(t, err, what...)
	defer closeStore(t, s)
	seq := s.Stats().Seq
	require.GreaterOrEqual(t, seq, minSeq, what...)
	want, ok := h.states[seq]
	require.True(t, ok, "commit %d never was; %v", seq, what)
	require.Equal(t, want, state(t, s, what...), what...)
}

// state returns the content of a store. It reads it with iterators and key by key, and expects the same.
func state(t *testing.T, s *store.Store, what ...any) map[string]string {
	t.Helper()
	got := map[string]string{}
	snap := s.Snapshot()
	defer snap.Close()
	for _, name := range spaceNames {
		sp, err := s.Lookup(name)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		it := snap.Range(sp, nil, nil)
		for it.Next() {
			v, err := it.Value()
			require.NoError(t, err, what...)
			got[name+"/"+string(it.Key())] = string(v)
			one, seq, err := sp.Get(it.Key())
			require.NoError(t, err, what...)
			require.Equal(t, string(v), string(one), what...)
			require.Equal(t, it.Seq(), seq, what...)
		}
		require.NoError(t, it.Err(), what...)
	}
	return got
}

func TestACrashAtAnyCallLeavesAPrefixWithAllThatWasAcknowledged(t *testing.T) {
	crashes := 0
	step := 1
	if testing.Short() || raceEnabled {
		step = 7
	}
	for n := 1; ; n += step {
		h := newHistory(&vfstest.Mem{}, 7, store.Options{PassBytesPerS: -1})
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{Off: c.N == n} })
		if h.run(130) == nil {
			break
		}
		crashes++
		for seed := range uint64(4) {
			rnd := rand.New(rand.NewPCG(uint64(n), seed))
			left := h.fs.Crash(rnd)
			// A second crash while it recovers, and a third.
			for range 2 {
				at := 1 + rnd.IntN(12)
				left.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{Off: c.N == at} })
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

// resume commits to a store that was recovered and opens it once more.
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

func TestSyncEveryLosesNoMoreThanThePromiseAndKeepsTheOrder(t *testing.T) {
	for n := 5; n < 200; n += 3 {
		h := newHistory(&vfstest.Mem{}, 9, store.Options{PassBytesPerS: -1, SyncEvery: 1e9})
		h.fs.SetOnCall(func(c vfstest.Call) vfstest.Fault { return vfstest.Fault{Off: c.N == n} })
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

// openSegment returns the name of the segment that is written to.
func openSegment(t *testing.T, files map[string][]byte) string {
	t.Helper()
	_, body, _ := bytes.Cut(files[dir+"/MANIFEST-A"], []byte("\n"))
	var m struct {
		Segments []struct {
			ID     int
			Sealed bool
		}
	}
	require.NoError(t, json.Unmarshal(body, &m))
	for _, g := range m.Segments {
		if !g.Sealed {
			return fmt.Sprintf("%s/%08d.seg", dir, g.ID)
		}
	}
	require.FailNow(t, "no open segment")
	return ""
}

func TestEveryFileTruncatedAtEveryOffset(t *testing.T) {
	h := newHistory(&vfstest.Mem{}, 3, store.Options{PassBytesPerS: -1, Garbage: 0.3})
	require.NoError(t, h.run(150))
	files := h.fs.Files()
	kinds := map[string]int{}
	step := 1
	if testing.Short() || raceEnabled {
		step = 13
	}
	last := openSegment(t, files)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		for at := 0; at < len(files[name]); at += step {
			truncated := maps.Clone(files)
			truncated[name] = files[name][:at]
			fsys := vfstest.Of(truncated)
			opt := h.opt
			opt.FS = fsys
			if !strings.HasSuffix(name, ".seg") || name == last {
				// The open segment may end anywhere; what the other files have exists a second time.
				minSeq := h.acked
				if name == last {
					minSeq = 0
				}
				h.verify(t, fsys, minSeq, "file", name, "offset", at)
				kinds["opens"]++
				continue
			}
			_, err := store.Open(dir, opt)
			require.ErrorIs(t, err, store.ErrCorrupt, "%s cut at %d", name, at)
			var fe *store.FileError
			require.ErrorAs(t, err, &fe)
			require.Equal(t, filepath.Base(name), fe.File)
			require.EqualValues(t, at, fe.Offset)
			require.Equal(t, truncated, fsys.Files(), "a store that does not open stays as it is")
			kinds["refuses"]++
			if at%97 == 0 {
				h.repair(t, fsys)
				kinds["repairs"]++
			}
		}
	}
	t.Log(kinds)
	require.Greater(t, kinds["opens"], 100)
	require.Greater(t, kinds["refuses"], 100)
	require.Greater(t, kinds["repairs"], 3)
}

// repair repairs a store and expects each key to have a value that it had at some time.
func (h *history) repair(t *testing.T, fsys *vfstest.Mem) {
	t.Helper()
	opt := h.opt
	opt.FS = fsys
	r, err := store.Repair(context.Background(), dir, "/repaired", opt)
	require.NoError(t, err)
	require.NotEmpty(t, r.Lost)
	s, err := store.Open("/repaired", opt)
	require.NoError(t, err)
	defer closeStore(t, s)
	for key, value := range state(t, s) {
		ever := false
		for _, st := range h.states {
			ever = ever || st[key] == value
		}
		require.True(t, ever, "%s=%s never was", key, value)
	}
}

func TestAFlippedBitIsFoundWhereverItIs(t *testing.T) {
	h := newHistory(&vfstest.Mem{}, 5, store.Options{PassBytesPerS: -1})
	require.NoError(t, h.run(150))
	files := h.fs.Files()
	step := 3
	if testing.Short() || raceEnabled {
		step = 41
	}
	said := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if filepath.Base(name) == "LOCK" {
			continue
		}
		for at := 0; at < len(files[name]); at += step {
			bad := maps.Clone(files)
			bad[name] = slices.Clone(files[name])
			bad[name][at] ^= 1 << (at % 8)
			fsys := vfstest.Of(bad)
			r, err := store.Check(context.Background(), dir, fsys)
			require.NoError(t, err)
			if r.Err() == nil && len(r.Notes) == 0 {
				require.FailNow(t, "not found", "%s, offset %d", name, at)
			}
			opt := h.opt
			opt.FS = fsys
			s, err := store.Open(dir, opt)
			if err != nil {
				require.True(t, errors.Is(err, store.ErrCorrupt) || errors.Is(err, store.ErrNewer), "%v", err)
				said["open"]++
				continue
			}
			h.readDamaged(t, s, said, fmt.Sprintf("%s, offset %d", name, at))
			require.NoError(t, s.Close())
		}
	}
	t.Log(said)
	require.Greater(t, said["open"], 20)
	require.Greater(t, said["read"], 5)
	require.Positive(t, said["torn"])
}

// readDamaged reads all of a store that has a flipped bit and opens nevertheless: it holds one of the states, or says where
// reading fails. said counts what it says.
func (h *history) readDamaged(t *testing.T, s *store.Store, said map[string]int, where string) {
	t.Helper()
	want := h.states[s.Stats().Seq]
	require.NotNil(t, want)
	// Only the last commit cannot be told from a torn end: a later one calls each other durable.
	require.GreaterOrEqual(t, s.Stats().Seq, h.acked-1, where)
	if s.Stats().Seq < h.acked {
		said["torn"]++
	}
	snap := s.Snapshot()
	defer snap.Close()
	for _, n := range spaceNames {
		sp, err := s.Lookup(n)
		if err != nil {
			continue
		}
		it := snap.Range(sp, nil, nil)
		for it.Next() {
			v, err := it.Value()
			if err != nil {
				require.ErrorIs(t, err, store.ErrCorrupt)
				said["read"]++
				continue
			}
			require.Equal(t, want[n+"/"+string(it.Key())], string(v))
		}
		if it.Err() != nil {
			require.ErrorIs(t, it.Err(), store.ErrCorrupt)
			said["read"]++
		}
	}
}

func TestMissingAndSwappedSegmentsAreNotPassedOver(t *testing.T) {
	h := newHistory(&vfstest.Mem{}, 11, store.Options{PassBytesPerS: -1})
	require.NoError(t, h.run(150))
	files := h.fs.Files()
	var segs []string
	for name := range files {
		if strings.HasSuffix(name, ".seg") {
			segs = append(segs, name)
		}
	}
	slices.Sort(segs)
	require.Greater(t, len(segs), 2)
	opens := func(files map[string][]byte) error {
		opt := h.opt
		opt.FS = vfstest.Of(files)
		s, err := store.Open(dir, opt)
		if err == nil {
			_ = s.Close()
		}
		return err
	}
	for i, name := range segs {
		without := maps.Clone(files)
		delete(without, name)
		require.ErrorContains(t, opens(without), filepath.Base(name))
		swapped := maps.Clone(files)
		other := segs[(i+1)%len(segs)]
		swapped[name], swapped[other] = files[other], files[name]
		require.ErrorIs(t, opens(swapped), store.ErrCorrupt)
	}
	other := newHistory(&vfstest.Mem{}, 11, store.Options{PassBytesPerS: -1, SegmentBytes: 1 << 20})
	require.NoError(t, other.run(5))
	foreign := maps.Clone(files)
	foreign[openSegment(t, files)] = other.fs.Files()[dir+"/00000001.seg"]
	require.ErrorContains(t, opens(foreign), "another store")
}

func TestADiskThatIsFullFailsTheCommitAndNothingElse(t *testing.T) {
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
				require.Equal(t, h.states[h.acked], state(t, s), "reading goes on")
			}
		}
		if !full.Load() { // there are no more calls
			require.Greater(t, n, 100)
			require.NoError(t, s.Close())
			break
		}
		require.NoError(t, s.Err(), "writing has gone on")
		require.Less(t, failed, 60)
		require.Equal(t, h.states[h.acked], state(t, s))
		require.NoError(t, s.Close())
		h.verify(t, h.fs.Crash(rand.New(rand.NewPCG(uint64(n), 1))), h.acked, "call", n)
	}
}

func TestAFailedSyncIsNeverTakenForOneThatWorked(t *testing.T) {
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
			require.Equal(t, h.states[h.acked], state(t, s), "reading goes on")
		}
		_ = s.Close()
		h.verify(t, h.fs.Crash(rand.New(rand.NewPCG(uint64(n), 1))), h.acked, "call", n)
	}
	require.Greater(t, readOnly, 20)
}
