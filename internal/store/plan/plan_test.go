package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var limits = Limits{SegmentBytes: 1 << 20, Garbage: 0.5, Tombstones: 0.2, PassBytes: 1 << 20}

func TestVictimsAreTheEmptiestAndFitIntoAPass(t *testing.T) {
	s := []Segment{
		{ID: 1, Sealed: true, Last: 9, Size: 1000, Live: 900},
		{ID: 2, Sealed: true, Last: 19, Size: 1000, Live: 100},
		{ID: 3, Sealed: true, Last: 29, Size: 1000},
		{ID: 4, Sealed: true, Last: 39, Size: 1000, Live: 400},
		{ID: 5, First: 40},
	}
	require.Equal(t, []uint64{2, 3, 4}, Victims(s, 39, limits))
	require.Equal(t, []uint64{2, 3}, Victims(s, 29, limits), "the index does not know segment 4 yet")
	small := limits
	small.PassBytes = 450
	require.Equal(t, []uint64{2, 3}, Victims(s, 39, small))
	small.PassBytes = 10
	require.Equal(t, []uint64{2, 3}, Victims(s, 39, small), "the first segment with anything to copy is chosen even if it exceeds the limit")
}

func TestATombstoneOutlastsItsSegmentWhileAnOlderRecordMayExist(t *testing.T) {
	old := Segment{ID: 1, First: 1, Last: 50, Sealed: true}
	clean := Segment{ID: 2, First: 1, Last: 50, Clean: 100, Sealed: true}
	later := Segment{ID: 3, First: 70}
	require.True(t, TombstoneNeeded(60, []Segment{clean, old}))
	require.False(t, TombstoneNeeded(60, []Segment{clean, later}))
	require.True(t, TombstoneNeeded(101, []Segment{clean}), "the segment was cleaned before that deletion")
}

func TestManyTombstonesCauseTheLeastRecentlyCleanedSegmentsToBeRewritten(t *testing.T) {
	s := []Segment{
		{ID: 1, Sealed: true, First: 1, Last: 9, Size: 1000, Live: 936},
		{ID: 2, Sealed: true, First: 10, Last: 19, Size: 1000, Tombstones: 900},
		{ID: 3, First: 20},
	}
	require.Equal(t, []uint64{1, 2}, Victims(s, 19, limits))
	s[0].Clean, s[1].Clean, s[1].Tombstones = 19, 19, 0
	s[1].Live = 936
	require.Empty(t, Victims(s, 19, limits))
}

func TestFloorsNeverFallAndRespectRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index []TimePoint
		var bytesByTime []int64
		seq, ms := uint64(0), int64(0)
		for range rapid.IntRange(0, 20).Draw(t, "points") {
			seq += rapid.Uint64Range(1, 9).Draw(t, "seq")
			ms += rapid.Int64Range(0, 9).Draw(t, "ms")
			index, bytesByTime = append(index, TimePoint{seq, ms}), append(bytesByTime, rapid.Int64Range(0, 9).Draw(t, "bytes by time"))
		}
		r := Retention{AgeMs: rapid.Int64Range(0, 50).Draw(t, "age"), Bytes: rapid.Int64Range(0, 50).Draw(t, "bytes")}
		was := rapid.Uint64Range(0, seq+1).Draw(t, "was")
		now := ms + rapid.Int64Range(0, 50).Draw(t, "now")
		floor := Floor(was, r, index, bytesByTime, now)
		require.GreaterOrEqual(t, floor, was)
		for i, m := range index {
			tooOld := r.AgeMs > 0 && m.UnixMs <= now-r.AgeMs
			if m.Seq <= floor && floor > was {
				require.True(t, tooOld || r.Bytes > 0 && sum(bytesByTime[i:]) > r.Bytes, "a record expired though neither limit was exceeded")
			}
			if m.Seq > floor {
				require.False(t, tooOld, "a record is retained though it is too old")
			}
		}
		if floor == was && r == (Retention{}) {
			return
		}
		trimmed := TrimTimeIndex(index, 8)
		require.LessOrEqual(t, len(trimmed), max(8, len(index)))
		if len(index) > 0 {
			require.Equal(t, index[len(index)-1], trimmed[len(trimmed)-1])
		}
	})
}

func sum(values []int64) (total int64) {
	for _, v := range values {
		total += v
	}
	return total
}

func TestAPassIsDueWhenTheIndexHasGrownOrTheLogIsLong(t *testing.T) {
	require.False(t, PassDue(Tail{LogBytes: 1 << 10, TopLayerBytes: 1 << 10}, limits))
	require.True(t, PassDue(Tail{LogBytes: 1 << 20, TopLayerBytes: 400 << 10}, limits))
	require.False(t, PassDue(Tail{LogBytes: 1 << 20, TopLayerBytes: 400 << 10, TableBytes: 4 << 20}, limits))
	require.True(t, PassDue(Tail{LogBytes: 8 << 20, TopLayerBytes: 1, TableBytes: 4 << 20}, limits))
	require.True(t, PassDue(Tail{LogBytes: 2 << 20, TopLayerBytes: 100 << 10, TableBytes: 100 << 10}, limits), "few keys were overwritten often, so much of the log is garbage")
	require.False(t, PassDue(Tail{LogBytes: 2 << 20, TopLayerBytes: 100 << 10, TableBytes: 1 << 20}, limits))
	require.True(t, PassDue(Tail{LogBytes: 1 << 20, TopLayerBytes: 16 << 20, TableBytes: 1 << 30}, limits), "the uppermost layer has reached its limit of memory")
	require.False(t, SegmentFull(Header, 2<<20, limits), "a batch larger than a segment gets an empty one")
	require.True(t, SegmentFull(Header+1, 1<<20, limits))
}

func TestTheLogIsReadInTheOrderOfItsCommits(t *testing.T) {
	s := []Segment{
		{ID: 3, Kind: Output, Sealed: true, First: 1, Last: 9},
		{ID: 5, Kind: Log, Sealed: true, First: 5, Last: 9},
		{ID: 6, Kind: Log, First: 31},
		{ID: 8, Kind: Log, Sealed: true, First: 20, Last: 30},
		{ID: 9, Kind: Log, Sealed: true, First: 10, Last: 19},
	}
	require.Equal(t, []Segment{s[4], s[3], s[2]}, UnindexedLogs(s, 9))
	require.Equal(t, []Segment{s[2]}, UnindexedLogs(s, 30))
}
