package plan

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
