// Package plan makes the store's decisions: when a segment is full, when a compaction pass is due, which segments it
// rewrites or removes, which deletions a pass must copy, and which records have expired. Its functions are pure: they depend
// on their arguments only and use no files, clock or goroutines.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Kind says which frames a segment has. Its values are on disk, in the manifest.
type Kind string

// The kinds of segments.
const (
	Log    Kind = "log"    // commits in their order, written by the writer
	Output Kind = "output" // records in the order of their keys, and deletions, copied by a pass
)

// Segment describes one segment file. It is part of the manifest: the JSON keys are on disk.
type Segment struct {
	ID     uint64 `json:"id"` // the file's number, in its name
	Kind   Kind   `json:"kind"`
	Sealed bool   `json:"sealed,omitempty"` // the file is complete and never written again
	First  uint64 `json:"first"`            // lowest sequence number; in the open segment, the number of its first commit
	Last   uint64 `json:"last,omitempty"`   // highest sequence number; 0 in the open segment
	Size   int64  `json:"size,omitempty"`   // of the file in bytes; 0 in the open segment
	Puts   int64  `json:"puts,omitempty"`   // total PutBytes of its records; 0 in the open segment
	// Live estimates how many bytes of the file are live, as of the last pass that covered it. A record is live if it is the
	// newest of its key and has not expired. Until a pass has counted them, all records are taken as live.
	Live int64 `json:"live"`
	// Tombstones is how many bytes the deletions take. A deletion must be kept while another segment may have an older
	// record of its key.
	Tombstones int64 `json:"graves,omitempty"`
	// Clean is a sequence number: no deletion up to it hides a record in this segment, because the pass that wrote the
	// segment covered all commits up to it. It is 0 for log segments.
	Clean uint64 `json:"clean,omitempty"`
}

// PutBytes returns the bytes that a record counts for in Segment.Puts: the lengths of its key and value, plus 8.
func PutBytes(key, value int) int64 { return int64(key + value + 8) }

// LiveBytes returns how many bytes of the file are live if puts of its put bytes are live:
//
//	(Size - Header - Tombstones) * min(1, puts / Puts), or 0 if Puts is 0
func (s Segment) LiveBytes(puts int64) int64 {
	if s.Puts <= 0 {
		return 0
	}
	return int64(float64(s.body()-s.Tombstones) * min(1, float64(puts)/float64(s.Puts)))
}

// body returns the bytes of the segment without its header. If the header counted as garbage, a small segment would be
// rewritten in every pass.
func (s Segment) body() int64 { return max(s.Size-Header, 0) }

// garbage returns the fraction of the segment's body that is neither live nor a deletion.
func (s Segment) garbage() float64 { return 1 - float64(s.Live+s.Tombstones)/float64(max(s.body(), 1)) }

// Header is the size of a segment file's header in bytes, the same as segment.HeaderSize.
const Header = 64

// Limits are the settings that decisions depend on. All must be over 0.
type Limits struct {
	// SegmentBytes is the size up to which a segment is filled.
	SegmentBytes int64
	// Garbage is the fraction of a segment, over 0 and up to 1, that must be garbage before a pass rewrites the segment.
	Garbage float64
	// Tombstones is the fraction of the bytes of all sealed segments that deletions may take. Above it, segments are
	// rewritten so that their deletions can be dropped.
	Tombstones float64
	// PassBytes limits how many bytes one pass copies out of segments.
	PassBytes int64
}

// SegmentFull reports whether a segment of size bytes must be sealed before next more bytes are written. A segment without
// frames is never full, so that a batch larger than SegmentBytes fits into one.
func SegmentFull(size, next int64, l Limits) bool {
	return size > Header && size+next > l.SegmentBytes
}

// PrepareNext reports whether the next segment should be prepared in advance, given how long the last one took to fill.
// Preparation makes syncs faster and writes each byte of a segment twice, which pays only at many commits a second.
func PrepareNext(filled time.Duration) bool { return filled < 5*time.Second }

// Tail has the sizes, in bytes, of the commits since the last layer was frozen and of the table with which a pass must merge
// them.
type Tail struct {
	LogBytes      int64 // of the log that the table does not cover, which the next Open would read
	TopLayerBytes int64 // of memory that the uppermost layer takes
	TableBytes    int64 // of the table, which a pass rewrites completely
}

// maxTopLayerBytes is the size of the uppermost layer from which a pass is due however large the table is. It limits the
// memory that the index takes.
const maxTopLayerBytes = 16 << 20

// PassDue reports whether a pass is worth its cost, which is mainly the cost of rewriting the table. It is called when a
// segment is sealed. A pass is due in one of three cases:
//
//   - The index has grown enough: the uppermost layer has reached maxTopLayerBytes, or the larger of a quarter of the table
//     and 3/8 of a segment.
//   - The index is small compared with the log, as when few keys are overwritten again and again. A pass then costs little
//     and removes much garbage.
//   - Open would have to read 8 segments of log.
func PassDue(t Tail, l Limits) bool {
	if t.LogBytes == 0 {
		return false
	}
	grown := t.TopLayerBytes >= min(maxTopLayerBytes, max(t.TableBytes/4, l.SegmentBytes*3/8))
	cheap := t.LogBytes >= 2*l.SegmentBytes && t.TableBytes+t.TopLayerBytes <= t.LogBytes/4
	return grown || cheap || t.LogBytes >= 8*l.SegmentBytes
}

// UnindexedLogs returns the log segments that have commits after covered, the last commit that the table covers, and the
// open segment, in the order of their commits. That may differ from the order of their numbers: a prepared segment gets its
// number early and may be opened after one with a higher number.
func UnindexedLogs(segments []Segment, covered uint64) []Segment {
	var log []Segment
	for _, s := range segments {
		if s.Kind == Log && (!s.Sealed || s.Last > covered) {
			log = append(log, s)
		}
	}
	slices.SortFunc(log, func(a, b Segment) int { return cmp.Compare(a.First, b.First) })
	return log
}
