package plan

import (
	"cmp"
	"slices"
)

// Victims chooses the segments that a pass rewrites, and returns their numbers in ascending order. From a victim
// without live records the pass copies only the deletions that are still needed. Only sealed segments whose last commit is
// upTo or earlier can be chosen, because the pass merges the index up to upTo.
//
// First come the segments with at least l.Garbage of garbage, ordered from the most garbage to the least. If deletions
// take more than l.Tombstones of all bytes, more segments follow, so that the pass can drop deletions.
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
	copied int64 // bytes that the pass will copy out of the victims
	limit  int64 // maximum of copied
}

// pick makes a segment a victim if the pass can still copy its live bytes and deletions within the limit. It reports whether
// the segment is a victim. If no bytes are to be copied so far, pick ignores the limit: otherwise a segment with more
// bytes than the limit would never be rewritten.
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

// pickGarbage picks the segments whose fraction of garbage is at least minGarbage, in descending order of that fraction.
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

// pickUncleaned picks segments so that deletions can be dropped. A deletion can be dropped once no segment with older
// records has a lower Clean than the deletion's number (TombstoneNeeded). So the segments with the lowest Clean come first.
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

// TombstoneNeeded reports whether a pass must copy a deletion of commit seq out of its victim. It must if one of the
// remaining segments may have a record that the deletion hides: it has a commit before seq, and was not cleaned up to seq.
// Without the deletion an index rebuilt from the segments would have that record again.
func TombstoneNeeded(seq uint64, remaining []Segment) bool {
	for _, s := range remaining {
		if s.First < seq && s.Clean < seq {
			return true
		}
	}
	return false
}
