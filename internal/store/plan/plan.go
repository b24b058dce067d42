// Package plan makes the store's decisions: when a segment is full, when the index is written down, which
// segments are rewritten or dropped, what of them must be kept, and what is too old. It has no files, no clock and
// no goroutines.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Kind tells what a segment holds.
type Kind string

// The kinds.
const (
	Log    Kind = "log"    // commits in their order
	Output Kind = "output" // records that compaction kept, by key
)

// Segment is what is known of one segment file. It is part of the manifest.
type Segment struct {
	ID     uint64 `json:"id"`
	Kind   Kind   `json:"kind"`
	Sealed bool   `json:"sealed,omitempty"` // nothing is written to it any more
	First  uint64 `json:"first"`            // lowest sequence number; of the open one, the first to come
	Last   uint64 `json:"last,omitempty"`   // highest sequence number, when sealed
	Size   int64  `json:"size,omitempty"`   // bytes, when sealed
	Puts   int64  `json:"puts,omitempty"`   // bytes of the keys and values put, see PutBytes
	// Live is how many of its bytes were the newest record of their key when a pass last looked; all puts until then.
	Live int64 `json:"live"`
	// Tombstones is how many bytes its deletions take. They matter as long as an older record may be found elsewhere.
	Tombstones int64 `json:"graves,omitempty"`
	// Clean: no record in it is shadowed by a deletion with a number up to this one.
	Clean uint64 `json:"clean,omitempty"`
}

// PutBytes is what a record counts for in Segment.Puts.
func PutBytes(key, value int) int64 { return int64(key + value + 8) }

// LiveBytes is the part of a segment that is live if that many of its put bytes are.
func (s Segment) LiveBytes(puts int64) int64 {
	if s.Puts <= 0 {
		return 0
	}
	return int64(float64(s.body()-s.Tombstones) * min(1, float64(puts)/float64(s.Puts)))
}

// body is what a segment holds beside its head, which is no garbage: a small segment would be rewritten forever.
func (s Segment) body() int64 { return max(s.Size-Header, 0) }

// garbage is the fraction of the segment that is neither live nor a deletion.
func (s Segment) garbage() float64 { return 1 - float64(s.Live+s.Tombstones)/float64(max(s.body(), 1)) }

// Header is how many bytes of a segment file are its head.
const Header = 64

// Limits are the settings that decisions depend on. All must be set.
type Limits struct {
	SegmentBytes int64
	// Garbage is the share of a segment that must be dead before it is rewritten, 0 to 1.
	Garbage float64
	// Tombstones is the share of all bytes that deletions may take before the segments that they are kept for are
	// rewritten.
	Tombstones float64
	// PassBytes bounds what one pass copies.
	PassBytes int64
}

// SegmentFull tells whether a segment of size bytes is to be sealed before next more are written. A batch larger than a
// segment gets one of its own.
func SegmentFull(size, next int64, l Limits) bool {
	return size > Header && size+next > l.SegmentBytes
}

// PrepareNext tells whether the next segment should be made ready ahead, given how long the last one took to fill: it costs
// writing a segment's bytes twice, which only many commits a second are worth.
func PrepareNext(filled time.Duration) bool { return filled < 5*time.Second }

// Tail is what has come since the index was last written down.
type Tail struct {
	Log     int64 // bytes to be read again at the next opening
	Overlay int64 // bytes that the part of the index in memory takes
	Table   int64 // bytes of the part on disk, which a pass writes anew
}

// maxOverlay bounds the part of the index in memory, however large the part on disk is.
const maxOverlay = 16 << 20

// PassDue tells whether a pass is worth its cost when a segment is sealed. The index is written anew each time, so it must
// have grown by a part of itself; or it must be small beside the log, as where few keys are written over and over, so
// that what is dead goes soon; or opening would take long.
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

// UnindexedLogs returns the log segments with commits over known, in the order of their commits. That is not the order of their
// numbers: a segment that was made ready early may be opened after one with a higher number.
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

// TombstoneNeeded tells whether a deletion with that number must outlast its segment: whether one of the segments that
// stay may hold a record that it shadows, which an index made anew from the segments would find.
func TombstoneNeeded(seq uint64, staying []Segment) bool {
	for _, s := range staying {
		if s.First < seq && s.Clean < seq {
			return true
		}
	}
	return false
}

// Mark tells that sequence numbers up to Seq were given by that time.
type Mark struct {
	Seq    uint64 `json:"seq"`
	UnixMs int64  `json:"ms"`
}

// Retention is how long a space's records are kept. Zero fields do not bound.
type Retention struct {
	AgeMs int64 `json:"age_ms,omitempty"`
	Bytes int64 `json:"bytes,omitempty"`
}

// Floor returns the sequence number up to which a space's records are too old. held tells for each mark how many
// of the space's bytes have numbers over the previous mark's and up to its own; marks are in order. The floor is
// always a mark's number or what it was, so records go a whole stretch between two marks at a time, and some are kept
// up to a stretch longer than asked.
func Floor(was uint64, r Retention, marks []Mark, held []int64, nowMs int64) uint64 {
	floor := was
	if r.AgeMs > 0 {
		for _, m := range marks {
			if m.UnixMs <= nowMs-r.AgeMs {
				floor = max(floor, m.Seq)
			}
		}
	}
	if r.Bytes > 0 {
		var sum int64
		for i := len(marks) - 1; i >= 0; i-- {
			if sum += held[i]; sum > r.Bytes {
				floor = max(floor, marks[i].Seq)
				break
			}
		}
	}
	return floor
}

// TrimMarks drops marks that no floor can need any more, so that their number stays bounded: the newest most marks stay,
// and of the older ones every second.
func TrimMarks(marks []Mark, most int) []Mark {
	if len(marks) <= most {
		return marks
	}
	old := marks[:len(marks)-most/2]
	var kept []Mark
	for i, m := range old {
		if i%2 == 1 || i == len(old)-1 {
			kept = append(kept, m)
		}
	}
	return append(kept, marks[len(marks)-most/2:]...)
}
