package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

// machine is a rapid state machine: it applies the same random operations to a store and to a map, and compares the two.
type machine struct {
	opt   store.Options
	s     *store.Store
	space *store.Space
	model map[string]string // the store's expected content
	snaps []openSnapshot    // snapshots that are still open
}

type openSnapshot struct {
	snap  *store.Snapshot
	model map[string]string // the snapshot's expected content
}

// keys generates keys from a small set, so that operations often concern the same ones.
var keys = rapid.StringMatching(`[a-c]{0,3}`)

func (m *machine) open(t *rapid.T) {
	s, err := store.Open(dir, m.opt)
	require.NoError(t, err)
	sp, err := s.Space("x", store.Retention{})
	require.NoError(t, err)
	m.s, m.space = s, sp
}

func (m *machine) write(t *rapid.T) {
	var b store.Batch
	for range rapid.IntRange(1, 5).Draw(t, "ops") {
		key := keys.Draw(t, "key")
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			b.Delete(m.space, []byte(key))
			delete(m.model, key)
		case 1:
			to := keys.Draw(t, "to")
			b.DeleteRange(m.space, []byte(key), []byte(to))
			maps.DeleteFunc(m.model, func(k, _ string) bool { return k >= key && k < to })
		case 2:
			b.DeleteRange(m.space, []byte(key), nil)
			maps.DeleteFunc(m.model, func(k, _ string) bool { return k >= key })
		default:
			value := strings.Repeat(rapid.StringMatching(`[x-z]`).Draw(t, "value"), rapid.IntRange(0, 900).Draw(t, "size"))
			b.Put(m.space, []byte(key), []byte(value))
			m.model[key] = value
		}
	}
	_, err := m.s.Commit(&b)
	require.NoError(t, err)
}

func (m *machine) compact(t *rapid.T) { require.NoError(t, m.s.Compact(context.Background())) }

func (m *machine) reopen(t *rapid.T) {
	m.release()
	require.NoError(t, m.s.Close())
	m.open(t)
}

func (m *machine) snapshot(*rapid.T) {
	if len(m.snaps) < 4 {
		m.snaps = append(m.snaps, openSnapshot{m.s.Snapshot(), maps.Clone(m.model)})
	}
}

func (m *machine) release() {
	for _, h := range m.snaps {
		h.snap.Close()
	}
	m.snaps = nil
}

func (m *machine) rangeOf(t *rapid.T) {
	from, to := keys.Draw(t, "from"), keys.Draw(t, "to")
	var want, got []string
	for _, k := range slices.Sorted(maps.Keys(m.model)) {
		if k >= from && k < to {
			want = append(want, k)
		}
	}
	snap := m.s.Snapshot()
	defer snap.Close()
	it := snap.Range(m.space, []byte(from), []byte(to))
	for it.Next() {
		got = append(got, string(it.Key()))
	}
	require.NoError(t, it.Err())
	require.Equal(t, want, got)
	want, got = nil, nil
	for _, k := range slices.Sorted(maps.Keys(m.model)) {
		if strings.HasPrefix(k, from) {
			want = append(want, k)
		}
	}
	for it := snap.Prefix(m.space, []byte(from)); it.Next(); {
		got = append(got, string(it.Key()))
	}
	require.Equal(t, want, got)
}

func (m *machine) get(t *rapid.T) {
	key := keys.Draw(t, "key")
	v, _, err := m.space.Get([]byte(key))
	if want, ok := m.model[key]; ok {
		require.NoError(t, err)
		require.Equal(t, want, string(v))
	} else {
		require.ErrorIs(t, err, store.ErrNotFound)
	}
}

// all returns the content of a space in a snapshot.
func all(t *rapid.T, snap *store.Snapshot, sp *store.Space) map[string]string {
	got := map[string]string{}
	it := snap.Range(sp, nil, nil)
	for it.Next() {
		v, err := it.Value()
		require.NoError(t, err)
		got[string(it.Key())] = string(v)
	}
	require.NoError(t, it.Err())
	return got
}

func (m *machine) check(t *rapid.T) {
	snap := m.s.Snapshot()
	defer snap.Close()
	require.Equal(t, m.model, all(t, snap, m.space))
	for _, h := range m.snaps {
		require.Equal(t, h.model, all(t, h.snap, m.space), "a snapshot has changed")
	}
}

func TestTheStoreBehavesLikeAMapUnderAnySequenceOfOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{opt: store.Options{FS: &vfstest.Mem{}, SegmentBytes: 4 << 10, PassBytesPerS: -1, CacheBytes: 4 << 10},
			model: map[string]string{}}
		m.open(t)
		defer func() {
			m.release()
			_ = m.s.Close()
		}()
		t.Repeat(map[string]func(*rapid.T){"write": m.write, "write more": m.write, "compact": m.compact, "reopen": m.reopen,
			"snapshot": m.snapshot, "range": m.rangeOf, "get": m.get, "": m.check})
	})
}

// Guards against races that make half a batch visible, lose an acknowledged commit, or leave a commit without an answer.
func TestConcurrentWritersReadersAndPassesSeeWholeBatches(t *testing.T) {
	s := open(t, t.TempDir(), store.Options{SegmentBytes: 32 << 10, PassBytesPerS: -1})
	sp := space(t, s, "x")
	stop := time.Now().Add(700 * time.Millisecond)
	var writers, others sync.WaitGroup
	last := make([]int, 8)
	for w := range last {
		writers.Go(func() { last[w] = writePairs(t, s, sp, w, stop) })
	}
	for range 4 {
		others.Go(func() { readPairs(t, s, sp, len(last), stop) })
	}
	others.Go(func() {
		for time.Now().Before(stop) {
			if err := s.Compact(context.Background()); err != nil {
				t.Error(err)
			}
			_ = s.Stats()
		}
	})
	writers.Wait()
	others.Wait()
	for w, n := range last {
		v, _, err := sp.Get(fmt.Appendf(nil, "b%d", w))
		require.NoError(t, err)
		require.True(t, bytes.HasPrefix(v, fmt.Append(nil, n)))
	}
	// The store is closed while goroutines still commit. Each commit must return, and the acknowledged ones must be in the
	// store when it is opened again.
	var acked sync.Map
	var late sync.WaitGroup
	for w := range 8 {
		late.Go(func() { writeUntilClosed(t, s, sp, w, &acked) })
	}
	time.Sleep(20 * time.Millisecond)
	dir := s.Dir()
	require.NoError(t, s.Close())
	late.Wait()
	s = open(t, dir, store.Options{})
	defer closeStore(t, s)
	sp = space(t, s, "x")
	acked.Range(func(key, _ any) bool {
		_, _, err := sp.Get([]byte(key.(string)))
		require.NoError(t, err, key)
		return true
	})
}

// writePairs sets two keys of writer w in one batch, again and again with a rising number, and reads one of them back. It
// returns the last number that was acknowledged.
func writePairs(t *testing.T, s *store.Store, sp *store.Space, w int, stop time.Time) (last int) {
	t.Helper()
	var b store.Batch
	for n := 0; time.Now().Before(stop); n++ {
		b.Reset()
		for _, half := range []string{"a", "b"} {
			b.Put(sp, fmt.Appendf(nil, "%s%d", half, w), fmt.Appendf(nil, "%d%s", n, strings.Repeat(".", n%300)))
		}
		if _, err := s.Commit(&b); err != nil {
			t.Error(err)
			return last
		}
		v, _, err := sp.Get(fmt.Appendf(nil, "a%d", w))
		if err != nil || !bytes.HasPrefix(v, fmt.Append(nil, n)) {
			t.Errorf("Get returns %q and error %v after the commit of %d", v, err, n)
			return last
		}
		last = n
	}
	return last
}

// readPairs takes snapshots and expects the two keys of each writer to have the same value in each.
func readPairs(t *testing.T, s *store.Store, sp *store.Space, writers int, stop time.Time) {
	t.Helper()
	for time.Now().Before(stop) {
		snap := s.Snapshot()
		values := map[string]string{}
		for it := snap.Range(sp, nil, nil); it.Next(); {
			v, err := it.Value()
			if err != nil {
				t.Error(err)
				return
			}
			values[string(it.Key())] = string(v)
		}
		for w := range writers {
			if a, b := values[fmt.Sprint("a", w)], values[fmt.Sprint("b", w)]; a != b {
				t.Errorf("a snapshot has half a batch: %q and %q", a, b)
			}
		}
		snap.Close()
	}
}

// writeUntilClosed commits one key after the other until the store is closed, and adds the acknowledged ones to acked.
func writeUntilClosed(t *testing.T, s *store.Store, sp *store.Space, w int, acked *sync.Map) {
	t.Helper()
	for n := 0; ; n++ {
		var b store.Batch
		key := fmt.Sprintf("late%d-%d", w, n)
		b.Put(sp, []byte(key), nil)
		if _, err := s.Commit(&b); err != nil {
			if !errors.Is(err, store.ErrClosed) {
				t.Error(err)
			}
			return
		}
		acked.Store(key, true)
	}
}

// Guards against records that expire before their limit is exceeded, records that are retained much longer, and records of
// other spaces in the same segments that are lost.
func TestRetentionExpiresOldRecordsOnly(t *testing.T) {
	var now atomic.Int64 // milliseconds since 1970; atomic because passes read the clock too
	now.Store(1_000_000_000_000)
	opt := store.Options{FS: &vfstest.Mem{}, SegmentBytes: 8 << 10, PassBytesPerS: -1,
		Now: func() time.Time { return time.UnixMilli(now.Load()) }}
	s := open(t, dir, opt)
	aged, err := s.Space("aged", store.Retention{Age: time.Hour})
	require.NoError(t, err)
	sized, err := s.Space("sized", store.Retention{Bytes: 40 << 10})
	require.NoError(t, err)
	unbounded := space(t, s, "kept")
	value := strings.Repeat("v", 200)
	for n := range 1000 {
		now.Add(10_000) // 1000 times 10 s: 2 h 46 min
		key := fmt.Sprintf("%04d", n)
		put(t, s, aged, key, value)
		put(t, s, sized, key, value)
		if n%50 == 0 {
			put(t, s, unbounded, key, value)
		}
	}
	require.NoError(t, s.Compact(context.Background()))
	check := func() {
		t.Helper()
		got := content(t, s, aged)
		require.GreaterOrEqual(t, len(got), 360, "all records of the last hour are retained")
		require.Less(t, len(got), 360+40, "few older records are retained")
		require.True(t, strings.HasPrefix(got[len(got)-1], "0999="))
		got = content(t, s, sized)
		require.Less(t, len(got), 40<<10/200+40)
		require.Greater(t, len(got), 100)
		require.True(t, strings.HasPrefix(got[len(got)-1], "0999="))
		require.Len(t, content(t, s, unbounded), 20, "the space without a retention keeps all records")
	}
	check()
	require.Less(t, s.Stats().Bytes, int64(200<<10), "of the 400 KiB that were written, expired records were removed")
	require.NoError(t, s.Close())
	r, err := store.Check(context.Background(), dir, opt.FS)
	require.NoError(t, err)
	require.NoError(t, r.Err())
	s = open(t, dir, opt)
	aged, _ = s.Lookup("aged")
	sized, _ = s.Lookup("sized")
	unbounded, _ = s.Lookup("kept")
	check()
	require.NoError(t, s.Close())
}

func TestInvalidCallsReturnAnErrorThatNamesTheCause(t *testing.T) {
	base := t.TempDir()
	s := open(t, base, store.Options{})
	sp := space(t, s, "x")
	_, err := store.Open(base, store.Options{})
	require.ErrorIs(t, err, store.ErrLocked)
	require.ErrorContains(t, err, base)
	for what, b := range map[string]func(b *store.Batch){
		"key of 4097 bytes":       func(b *store.Batch) { b.Put(sp, make([]byte, store.MaxKey+1), nil) },
		"value of 16777217 bytes": func(b *store.Batch) { b.Put(sp, []byte("k"), make([]byte, store.MaxValue+1)) },
		"batch of": func(b *store.Batch) {
			for range 3 {
				b.Put(sp, []byte("k"), make([]byte, store.MaxValue))
			}
		},
	} {
		var batch store.Batch
		b(&batch)
		_, err := s.Commit(&batch)
		require.ErrorIs(t, err, store.ErrTooLarge)
		require.ErrorContains(t, err, what)
	}
	var big store.Batch
	big.Put(sp, make([]byte, store.MaxKey), make([]byte, store.MaxValue))
	_, err = s.Commit(&big)
	require.NoError(t, err, "a batch may be larger than a segment")
	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Close(), store.ErrClosed)
	_, err = s.Commit(&big)
	require.NoError(t, err, "the batch is empty after its commit, and an empty batch commits nothing")
	big.Put(sp, nil, nil)
	_, err = s.Commit(&big)
	require.ErrorIs(t, err, store.ErrClosed)
	_, err = store.Open(t.TempDir(), store.Options{Existing: true})
	require.ErrorIs(t, err, store.ErrNoStore)
	file := filepath.Join(base, "MANIFEST-A")
	_, err = store.Open(filepath.Join(file, "x"), store.Options{})
	require.ErrorContains(t, err, file)
	_, err = store.Open(t.TempDir(), store.Options{SegmentBytes: 1})
	require.ErrorContains(t, err, "SegmentBytes")
}

// Guards against Open changing or replacing a file that it can't read because a newer release wrote it.
func TestOpenRejectsAndKeepsAFileOfANewerFormat(t *testing.T) {
	h := newHistory(&vfstest.Mem{}, 21, store.Options{})
	require.NoError(t, h.run(60))
	files := h.fs.Files()
	for name, b := range files {
		newer := maps.Clone(files)
		switch {
		case strings.Contains(name, "MANIFEST"):
			newer[name] = bytes.Replace(b, []byte("ospreystore 1 "), []byte("ospreystore 2 "), 1)
		case strings.HasSuffix(name, ".seg"):
			newer[name] = slices.Clone(b)
			newer[name][8] = 2
		case strings.HasSuffix(name, ".tab"):
			newer[name] = slices.Clone(b)
			newer[name][len(b)-80+8] = 2
		default:
			continue
		}
		opt := h.opt
		opt.FS = vfstest.FromFiles(newer)
		_, err := store.Open(dir, opt)
		require.ErrorIs(t, err, store.ErrNewer, name)
		require.Equal(t, newer, opt.FS.(*vfstest.Mem).Files())
	}
}
