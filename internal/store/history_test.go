package store_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

// history commits random batches to a store and records the content that the store must have after each commit.
type history struct {
	fs     *vfstest.Mem
	opt    store.Options
	rnd    *rand.Rand
	states map[uint64]map[string]string // content after the commit of that sequence number: "space/key" to value
	acked  uint64                       // the highest sequence number that a commit returned
	tried  uint64                       // the highest sequence number that a commit may have got, acknowledged or not
}

var spaceNames = []string{"a", "b"}

// newHistory returns a history whose store is in fsys, with small segments unless opt says otherwise. seed determines its
// batches.
func newHistory(fsys *vfstest.Mem, seed uint64, opt store.Options) *history {
	opt.FS = fsys
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = 4 << 10
	}
	return &history{fs: fsys, opt: opt, rnd: rand.New(rand.NewPCG(seed, 1)),
		states: map[uint64]map[string]string{0: {}}}
}

// begin creates the spaces, each with a commit.
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

// commit commits a random batch of puts, deletions and range deletions.
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
			return fmt.Errorf("commit got sequence number %d instead of %d", seq, h.tried)
		}
		h.acked = seq
	}
	return err
}

// run opens a store, commits that many batches with a Compact after every 40, and closes the store. It stops at the first
// error.
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

// verify opens the store in fsys and expects it to have the content after one of the history's commits, minSeq or a later
// commit. The arguments in what identify the case in failure messages.
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
	require.True(t, ok, "the store has commit %d, which was never made; %v", seq, what)
	require.Equal(t, want, state(t, s, what...), what...)
}

// state returns the content of a store, by "space/key". It reads each record with an iterator and with Get, and expects both
// to return the same.
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
