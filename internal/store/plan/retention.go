package plan

// TimePoint says that all commits up to Seq were made by the time UnixMs. The manifest has an index of points: one is added
// when a segment is sealed.
type TimePoint struct {
	Seq    uint64 `json:"seq"`
	UnixMs int64  `json:"ms"` // milliseconds since 1970
}

// Retention limits which records a space retains; a zero field sets no limit. Its JSON is on disk, in the records of the
// spaces.
type Retention struct {
	AgeMs int64 `json:"age_ms,omitempty"` // maximum time since the commit, in milliseconds
	Bytes int64 `json:"bytes,omitempty"`  // maximum total of PutBytes of the live records
}

// Floor returns the sequence number up to which a space's records have expired. was is the floor so far. index is ascending.
// bytesByTime[i] is how many live bytes of the space have sequence numbers above index[i-1].Seq and up to index[i].Seq; it
// may be nil if r.Bytes is 0.
//
// The floor is the highest of
//
//   - was: the floor never falls;
//   - the highest point that is at least r.AgeMs old;
//   - the highest point i such that the sum of bytesByTime[i:] exceeds r.Bytes.
//
// Records between two points expire together, so the oldest are retained longer than r says.
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

// TrimTimeIndex reduces the number of points if there are more than maxPoints. It keeps the newest maxPoints/2 points. Of
// the older points it keeps every second one and the last. Old records then expire in larger steps.
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
