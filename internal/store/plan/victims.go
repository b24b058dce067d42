package plan

import (
	"cmp"
	"slices"
)

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
