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
