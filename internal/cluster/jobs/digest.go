package jobs

import "github.com/cespare/xxhash/v2"

// Digest returns the same number for equal states: that of the bytes of Snapshot. A state that cannot be written has the
// digest 0.
func (s *State) Digest() uint64 {
	data, err := s.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
