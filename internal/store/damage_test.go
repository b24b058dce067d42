package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs/vfstest"
)

// openSegment returns the path of the open segment, from the manifest.
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

// Guards against a truncated file that makes Open panic, change the store, or leave out records without an error.
func TestATruncatedFileIsReplacedOrReportedWithItsOffset(t *testing.T) {
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
			fsys := vfstest.FromFiles(truncated)
			opt := h.opt
			opt.FS = fsys
			if !strings.HasSuffix(name, ".seg") || name == last {
				// The open segment may end anywhere, as after a crash. A copy of the manifest, the table and the lock file
				// can be replaced without a loss.
				minSeq := h.acked
				if name == last {
					minSeq = 0
				}
				h.verify(t, fsys, minSeq, "file", name, "offset", at)
				kinds["opens"]++
				continue
			}
			_, err := store.Open(dir, opt)
			require.ErrorIs(t, err, store.ErrCorrupt, "%s truncated to %d bytes", name, at)
			var fe *store.FileError
			require.ErrorAs(t, err, &fe)
			require.Equal(t, filepath.Base(name), fe.File)
			require.EqualValues(t, at, fe.Offset)
			require.Equal(t, truncated, fsys.Files(), "Open changes nothing if it fails")
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

// repair repairs a store and expects every key in the new one to have a value that it had after some commit.
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
		require.True(t, ever, "key %s never had the value %s", key, value)
	}
}

// Guards against a flipped bit in any file that neither Check nor Open nor a read reports.
func TestCheckFindsAFlippedBitInAnyFile(t *testing.T) {
	h := newHistory(&vfstest.Mem{}, 5, store.Options{PassBytesPerS: -1})
	require.NoError(t, h.run(150))
	files := h.fs.Files()
	step := 3
	if testing.Short() || raceEnabled {
		step = 41
	}
	reported := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if filepath.Base(name) == "LOCK" {
			continue
		}
		for at := 0; at < len(files[name]); at += step {
			bad := maps.Clone(files)
			bad[name] = slices.Clone(files[name])
			bad[name][at] ^= 1 << (at % 8)
			fsys := vfstest.FromFiles(bad)
			r, err := store.Check(context.Background(), dir, fsys)
			require.NoError(t, err)
			if r.Err() == nil && len(r.Notes) == 0 {
				require.FailNow(t, "Check does not find the flipped bit", "%s, offset %d", name, at)
			}
			opt := h.opt
			opt.FS = fsys
			s, err := store.Open(dir, opt)
			if err != nil {
				require.True(t, errors.Is(err, store.ErrCorrupt) || errors.Is(err, store.ErrNewer), "%v", err)
				reported["open"]++
				continue
			}
			h.readDamaged(t, s, reported, fmt.Sprintf("%s, offset %d", name, at))
			require.NoError(t, s.Close())
		}
	}
	t.Log(reported)
	require.Greater(t, reported["open"], 20)
	require.Greater(t, reported["read"], 5)
	require.Positive(t, reported["torn"])
}

// readDamaged reads all records of a store that has a flipped bit and that Open opened. Each record must have its value as
// of the store's last commit, or the read must fail with ErrCorrupt. reported counts where faults were reported.
func (h *history) readDamaged(t *testing.T, s *store.Store, reported map[string]int, where string) {
	t.Helper()
	want := h.states[s.Stats().Seq]
	require.NotNil(t, want)
	// Only damage to the last commit looks like a torn end. Every other commit is before a frame that says that it was
	// durable.
	require.GreaterOrEqual(t, s.Stats().Seq, h.acked-1, where)
	if s.Stats().Seq < h.acked {
		reported["torn"]++
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
				reported["read"]++
				continue
			}
			require.Equal(t, want[n+"/"+string(it.Key())], string(v))
		}
		if it.Err() != nil {
			require.ErrorIs(t, it.Err(), store.ErrCorrupt)
			reported["read"]++
		}
	}
}

// Guards against Open accepting a store if a segment's file is missing, or has the content of another segment or of
// another store's segment.
func TestOpenRejectsMissingSwappedAndForeignSegments(t *testing.T) {
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
		opt.FS = vfstest.FromFiles(files)
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
