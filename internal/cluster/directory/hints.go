package directory

const maxHints = 2 // hints followed at once, one after the other

// hints decides how the hints to an owner are followed that processes give which are not the owner themselves. After some
// hints in a row a caller has to wait, since an owner may not know yet that it is one. From then on it alternates between
// the hint and the next address, since two processes may go on taking each other for the owner.
type hints struct {
	inRow     int
	alternate bool // the newest hint after a wait was followed
}

// followAtOnce reports whether a hint may be followed without waiting, and counts it.
func (h *hints) followAtOnce() bool {
	if h.inRow >= maxHints {
		return false
	}
	h.inRow++
	return true
}

// followAfterWait reports whether a hint is to be followed after waiting, instead of asking the next address.
func (h *hints) followAfterWait() bool {
	h.alternate = !h.alternate
	return h.alternate
}

// waited begins a new row of hints.
func (h *hints) waited() { h.inRow = 0 }
