package directory

// maxHints is the number of hints that are followed without a wait between them.
const maxHints = 2

// hints decides how to follow hints. A hint is the address of the owner, as named by a process that isn't the owner.
//
//  1. The first maxHints hints in a row are followed at once.
//  2. For the next one the caller waits, since a new owner may not know yet that it is the owner.
//  3. After such a wait the caller alternates: it follows the hint, and the next time it calls the next known address
//     instead. Otherwise two processes that each take the other for the owner would keep the caller from all others.
type hints struct {
	inRow     int  // hints that were followed at once since the last wait
	alternate bool // after the last wait the hint was followed, so that next time it isn't
}

// followAtOnce reports whether a hint may be followed without a wait. If so, it counts the hint.
func (h *hints) followAtOnce() bool {
	if h.inRow >= maxHints {
		return false
	}
	h.inRow++
	return true
}

// followAfterWait reports whether to follow a hint after a wait, instead of calling the next known address. It reports true
// every other time.
func (h *hints) followAfterWait() bool {
	h.alternate = !h.alternate
	return h.alternate
}

// waited records that the caller waits, so that maxHints hints may be followed at once again.
func (h *hints) waited() { h.inRow = 0 }
