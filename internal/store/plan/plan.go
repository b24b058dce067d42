// Package plan makes the store's decisions: when a segment is full, when a compaction pass is due, which segments it
// rewrites or removes, which deletions must outlast their segment, and which records have expired. Its functions depend on
// their arguments only: it has no files, clock or goroutines.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what a segment consists of. Its values are on disk, in the manifest.
type Kind string

// The kinds of segments.
const (
	Log    Kind = "log"    // commits in their order
	Output Kind = "output" // records that compaction kept, by key
)

// Segment is what is known of one segment file. It is part of the manifest: the JSON keys are on disk.
type Segment struct {
	ID     uint64 `json:"id"`
	Kind   Kind   `json:"kind"`
	Sealed bool   `json:"sealed,omitempty"` // complete: nothing is written to it any more
	First  uint64 `json:"first"`            // lowest sequence number; of the open segment, that of its first commit
	Last   uint64 `json:"last,omitempty"`   // highest sequence number, when sealed
	Size   int64  `json:"size,omitempty"`   // bytes, when sealed
	Puts   int64  `json:"puts,omitempty"`   // bytes of the keys and values put, see PutBytes
	// Live is how many bytes of it are live, as the last pass counted: each the newest record of its key. Until a pass has
	// counted, all puts are.
	Live int64 `json:"live"`
	// Tombstones is how many bytes its deletions take. A deletion must be kept as long as an older record of its key may
	// exist in another segment.
	Tombstones int64 `json:"graves,omitempty"`
	// Clean is the sequence number up to which no deletion shadows a record in it.
	Clean uint64 `json:"clean,omitempty"`
}

// PutBytes is what a record counts for in Segment.Puts, given the lengths of its key and value.
func PutBytes(key, value int) int64 { return int64(key + value + 8) }

// LiveBytes returns how many bytes of a segment are live if that many of its put bytes are.
func (s Segment) LiveBytes(puts int64) int64 {
	if s.Puts <= 0 {
		return 0
	}
	return int64(float64(s.body()-s.Tombstones) * min(1, float64(puts)/float64(s.Puts)))
}

// body is the segment without its header, which is no garbage: otherwise a small segment would be rewritten forever.
func (s Segment) body() int64 { return max(s.Size-Header, 0) }

// garbage is the fraction of the segment that is neither live nor a deletion.
func (s Segment) garbage() float64 { return 1 - float64(s.Live+s.Tombstones)/float64(max(s.body(), 1)) }

// Header is the size of a segment file's header in bytes.
const Header = 64

// Limits are the settings that decisions depend on. All must be over 0.
type Limits struct {
	SegmentBytes int64
	// Garbage is the fraction of a segment that must be dead before it is rewritten, 0 to 1.
	Garbage float64
	// Tombstones is the fraction of all bytes that deletions may take before segments are rewritten to get rid of them.
	Tombstones float64
	// PassBytes bounds what one pass copies.
	PassBytes int64
}

// SegmentFull reports whether a segment of size bytes is to be sealed before next more bytes are written. A batch larger than
// a segment gets one of its own.
func SegmentFull(size, next int64, l Limits) bool {
	return size > Header && size+next > l.SegmentBytes
}

// PrepareNext reports whether the next segment should be prepared in advance, given how long the last one took to fill. It
// costs writing each byte of a segment twice, which only pays at many commits a second.
func PrepareNext(filled time.Duration) bool { return filled < 5*time.Second }

// Tail is what was committed since the last layer was frozen, and what it has to be merged with.
type Tail struct {
	Log     int64 // bytes of log that the next Open would read
	Overlay int64 // bytes that the uppermost layer takes in memory
	Table   int64 // bytes of the table, which a pass writes anew
}

// maxOverlay is the size of the uppermost layer from which a pass is due however large the table is.
const maxOverlay = 16 << 20

// PassDue reports whether a pass is worth its cost when a segment is sealed. A pass writes the index anew, so one is due when
// the index has grown by a fraction of its size; when the index is small compared with the log, as where few keys are
// written over and over, so that dead records are removed soon; or when Open would take long.
func PassDue(t Tail, l Limits) bool {
	if t.Log == 0 {
		return false
	}
	grown := t.Overlay >= min(maxOverlay, max(t.Table/4, l.SegmentBytes*3/8))
	cheap := t.Log >= 2*l.SegmentBytes && t.Table+t.Overlay <= t.Log/4
	return grown || cheap || t.Log >= 8*l.SegmentBytes
}

// Victims chooses the segments that a pass rewrites or drops, and returns their numbers in ascending order. It prefers those
// with most garbage. The pass has the index up to the sequence number upTo, so only segments that end there or before can be
// chosen.
func Victims(segments []Segment, upTo uint64, l Limits) []uint64 {
	var all, tombstones int64
	var sealed []Segment
	for _, s := range segments {
		if s.Sealed && s.Last <= upTo {
			sealed = append(sealed, s)
			all += s.Size
			tombstones += s.Tombstones
		}
	}
	p := picker{limit: l.PassBytes}
	p.pickGarbage(sealed, l.Garbage)
	if float64(tombstones) > l.Tombstones*float64(all) {
		p.pickUncleaned(sealed, upTo)
	}
	slices.Sort(p.ids)
	return p.ids
}

// picker collects the victims of one pass.
type picker struct {
	ids    []uint64
	copied int64 // bytes that the pass will copy out of them
	limit  int64 // of copied
}

// pick reports whether a segment is a victim now. The first one always is, whatever it costs, or a large segment would
// never be rewritten.
func (p *picker) pick(s Segment) bool {
	if slices.Contains(p.ids, s.ID) {
		return true
	}
	cost := s.Live + s.Tombstones
	if p.copied+cost > p.limit && p.copied > 0 {
		return false
	}
	p.ids, p.copied = append(p.ids, s.ID), p.copied+cost
	return true
}

// pickGarbage picks the segments whose fraction of garbage is at least minGarbage, those with most of it first.
func (p *picker) pickGarbage(sealed []Segment, minGarbage float64) {
	byGarbage := slices.SortedFunc(slices.Values(sealed), func(a, b Segment) int {
		return cmp.Or(cmp.Compare(b.garbage(), a.garbage()), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range byGarbage {
		if s.garbage() < minGarbage || !p.pick(s) {
			return
		}
	}
}

// pickUncleaned picks segments so that deletions go, which they can once no older segment is left uncleaned: the segments
// that were cleaned longest ago go first.
func (p *picker) pickUncleaned(sealed []Segment, upTo uint64) {
	byClean := slices.SortedFunc(slices.Values(sealed), func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Clean, b.Clean), cmp.Compare(a.First, b.First), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range byClean {
		if (s.Clean < upTo || s.Tombstones > 0) && !p.pick(s) {
			return
		}
	}
}

// UnindexedLogs returns the log segments with commits after known, the last one in the table, in the order of their commits.
// That is not the order of their numbers: a prepared segment may be opened after one with a higher number.
func UnindexedLogs(segments []Segment, known uint64) []Segment {
	var log []Segment
	for _, s := range segments {
		if s.Kind == Log && (!s.Sealed || s.Last > known) {
			log = append(log, s)
		}
	}
	slices.SortFunc(log, func(a, b Segment) int { return cmp.Compare(a.First, b.First) })
	return log
}

// TombstoneNeeded reports whether the deletion of commit seq must outlast its segment: whether one of the segments that
// remain may have a record that it shadows, which an index rebuilt from the segments would bring back.
func TombstoneNeeded(seq uint64, remaining []Segment) bool {
	for _, s := range remaining {
		if s.First < seq && s.Clean < seq {
			return true
		}
	}
	return false
}

// TimePoint relates sequence numbers to time: those up to Seq were assigned by then. The manifest has an index of them, with
// a point for each sealed segment.
type TimePoint struct {
	Seq    uint64 `json:"seq"`
	UnixMs int64  `json:"ms"`
}

// Retention bounds the records of a space; a zero field sets no bound. Its JSON is on disk, in the records of the spaces.
type Retention struct {
	AgeMs int64 `json:"age_ms,omitempty"` // since the commit
	Bytes int64 `json:"bytes,omitempty"`  // as PutBytes counts them
}

// Floor returns the sequence number up to which a space's records have expired, given that it was that number before. The
// index is in order; bytesByTime has for each point how many of the space's bytes have numbers after the previous point's and
// up to its own, and may be nil if r.Bytes is 0. The floor only ever rises, to the number of a point: all records between two
// points expire together, so some are retained that much longer than r says.
func Floor(was uint64, r Retention, index []TimePoint, bytesByTime []int64, nowMs int64) uint64 {
	floor := was
	if r.AgeMs > 0 {
		for _, p := range index {
			if p.UnixMs <= nowMs-r.AgeMs {
				floor = max(floor, p.Seq)
			}
		}
	}
	if r.Bytes > 0 {
		var sum int64
		for i := len(index) - 1; i >= 0; i-- {
			if sum += bytesByTime[i]; sum > r.Bytes {
				floor = max(floor, index[i].Seq)
				break
			}
		}
	}
	return floor
}

// TrimTimeIndex bounds the number of points. If there are more than maxPoints, the newest maxPoints/2 stay and of the older
// ones every second, so that old records expire in larger steps.
func TrimTimeIndex(index []TimePoint, maxPoints int) []TimePoint {
	if len(index) <= maxPoints {
		return index
	}
	old := index[:len(index)-maxPoints/2]
	var trimmed []TimePoint
	for i, p := range old {
		if i%2 == 1 || i == len(old)-1 {
			trimmed = append(trimmed, p)
		}
	}
	return append(trimmed, index[len(index)-maxPoints/2:]...)
}
