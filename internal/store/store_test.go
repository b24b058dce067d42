package store_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
)

// open opens a store.
func open(t *testing.T, dir string, opt store.Options) *store.Store {
	t.Helper()
	s, err := store.Open(dir, opt)
	require.NoError(t, err)
	return s
}

// space returns a space without a retention, and creates it if it does not exist.
func space(t *testing.T, s *store.Store, name string) *store.Space {
	t.Helper()
	sp, err := s.Space(name, store.Retention{})
	require.NoError(t, err)
	return sp
}

// put commits pairs of keys and values in one batch and returns its sequence number.
func put(t *testing.T, s *store.Store, sp *store.Space, pairs ...string) uint64 {
	t.Helper()
	var b store.Batch
	for i := 0; i < len(pairs); i += 2 {
		b.Put(sp, []byte(pairs[i]), []byte(pairs[i+1]))
	}
	seq, err := s.Commit(&b)
	require.NoError(t, err)
	return seq
}

// content returns the records of a space as "key=value", in the order of their keys.
func content(t *testing.T, s *store.Store, sp *store.Space) []string {
	t.Helper()
	snap := s.Snapshot()
	defer snap.Close()
	return contentOf(t, snap, sp)
}

// contentOf returns the records of a space in a snapshot, as content does.
func contentOf(t *testing.T, snap *store.Snapshot, sp *store.Space) []string {
	t.Helper()
	all := []string{}
	it := snap.Range(sp, nil, nil)
	for it.Next() {
		v, err := it.Value()
		require.NoError(t, err)
		all = append(all, string(it.Key())+"="+string(v))
	}
	require.NoError(t, it.Err())
	return all
}

// closeStore closes a store and expects no error.
func closeStore(t *testing.T, s *store.Store) {
	t.Helper()
	require.NoError(t, s.Close())
}

func TestCommittedRecordsAreReadAfterReopening(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, store.Options{})
	a, b := space(t, s, "a"), space(t, s, "b")
	put(t, s, a, "k", "1", "l", "2")
	last := put(t, s, b, "k", "3")
	require.NoError(t, s.Close())

	s = open(t, dir, store.Options{})
	defer closeStore(t, s)
	a, b = space(t, s, "a"), space(t, s, "b")
	require.Equal(t, []string{"k=1", "l=2"}, content(t, s, a))
	require.Equal(t, []string{"k=3"}, content(t, s, b))
	v, seq, err := b.Get([]byte("k"))
	require.NoError(t, err)
	require.Equal(t, "3", string(v))
	require.Equal(t, last, seq)
	require.Equal(t, last+1, put(t, s, a, "m", "4"), "sequence numbers continue after the store was opened again")
	_, _, err = a.Get([]byte("x"))
	require.ErrorIs(t, err, store.ErrNotFound)
}

func TestDeletionsHideRecordsOfTheTableBeforeAndAfterCompaction(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, store.Options{SegmentBytes: 4 << 10})
	a, b := space(t, s, "a"), space(t, s, "b")
	for i := range 500 {
		put(t, s, a, fmt.Sprintf("k%03d", i), fmt.Sprintf("%0100d", i))
		put(t, s, b, fmt.Sprintf("k%03d", i), "b")
	}
	require.NoError(t, s.Compact(context.Background()))
	require.Greater(t, s.Stats().TableKeys, uint64(900))

	var batch store.Batch
	batch.DeleteRange(a, []byte("k010"), []byte("k490"))
	batch.Put(a, []byte("k100"), []byte("again"))
	batch.Delete(a, []byte("k000"))
	_, err := s.Commit(&batch)
	require.NoError(t, err)
	check := func() {
		t.Helper()
		got := content(t, s, a)
		require.Len(t, got, 20)
		require.Contains(t, got, "k100=again")
		require.Len(t, content(t, s, b), 500)
		_, _, err := a.Get([]byte("k200"))
		require.ErrorIs(t, err, store.ErrNotFound)
		v, _, err := a.Get([]byte("k100"))
		require.NoError(t, err)
		require.Equal(t, "again", string(v))
	}
	check()
	require.NoError(t, s.Compact(context.Background()))
	check()
	bytes := s.Stats().Bytes
	require.Less(t, bytes, int64(80<<10), "the passes removed the deleted records")
	require.NoError(t, s.Close())
	r, err := store.Check(context.Background(), dir, nil)
	require.NoError(t, err)
	require.NoError(t, r.Err())
	s = open(t, dir, store.Options{})
	a, b = space(t, s, "a"), space(t, s, "b")
	check()
	require.NoError(t, s.Close())
}

func TestCommitsAndPassesDoNotChangeASnapshot(t *testing.T) {
	s := open(t, t.TempDir(), store.Options{SegmentBytes: 4 << 10})
	defer closeStore(t, s)
	a := space(t, s, "a")
	put(t, s, a, "x", "1", "y", "1")
	snap := s.Snapshot()
	defer snap.Close()
	for i := range 200 {
		put(t, s, a, "x", fmt.Sprintf("%0100d", i), fmt.Sprint("n", i), "new")
	}
	require.NoError(t, s.Compact(context.Background()))
	require.Equal(t, []string{"x=1", "y=1"}, contentOf(t, snap, a))
	require.Len(t, content(t, s, a), 202)
}
