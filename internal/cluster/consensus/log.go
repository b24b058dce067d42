package consensus

// entryOverheadBytes is the approximate size in bytes of an encoded entry without its data.
const entryOverheadBytes = 24

// entryLog is the part of the log in memory: all entries after base. Outputs and messages contain slices of it, so entries
// are never overwritten in place.
type entryLog struct {
	base       uint64 // last index that was compacted or replaced by a snapshot
	baseTerm   uint64 // term of the entry at base
	entries    []Entry
	lastOutput uint64 // last index that Output has returned in Entries, or that a snapshot covers
}

// last returns the index of the newest entry, or base if there is none.
func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm returns the term of the newest entry, or baseTerm if there is none.
func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at an index, and false if the entry is compacted or was never in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the log has an entry with this index and term. The entry at base is included.
func (l *entryLog) matches(index, term uint64) bool {
	found, known := l.term(index)
	return known && found == term
}

// between returns the entries after index after, up to and including index to. Neither index may be before base or after
// the last entry.
func (l *entryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	start, end := after-l.base, to-l.base
	return l.entries[start:end:end]
}

// batch returns the entries after index after, up to and including index to at most: as many as fit into about maxBytes,
// but at least one if there is any.
func (l *entryLog) batch(after, to uint64, maxBytes int) []Entry {
	rest := l.between(after, to)
	size := 0
	for position := range rest {
		size += len(rest[position].Data) + entryOverheadBytes
		if size > maxBytes && position > 0 {
			return rest[:position:position]
		}
	}
	return rest
}

// bytesAfter returns the approximate size in bytes of the entries after an index, which must not be before base.
func (l *entryLog) bytesAfter(index uint64) int {
	size := 0
	for _, entry := range l.between(index, l.last()) {
		size += len(entry.Data) + entryOverheadBytes
	}
	return size
}

// append adds the entry after the newest one.
func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// truncateAndAppend drops all entries from the index of the first given entry on, and appends the given entries. There must
// be at least one, after base and without a gap.
func (l *entryLog) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	keep := int(first - l.base - 1)
	if keep < len(l.entries) {
		l.entries = l.entries[:keep:keep] // limits the capacity: the next append must not overwrite entries
	}
	l.entries = append(l.entries, entries...)
	l.lastOutput = min(l.lastOutput, first-1)
}

// compact drops the entries up to and including an index within the log.
func (l *entryLog) compact(index uint64) {
	term, known := l.term(index)
	if !known || index == l.base {
		return
	}
	rest := l.between(index, l.last())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, term
}

// reset replaces the complete log by a snapshot. index and term are those of the last entry that the snapshot covers.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, lastOutput: index}
}

// findAgreement returns the newest index at which this log may agree with another log that has an entry of the given term at
// index from. Terms never decrease within a log. So the result is the newest index, not above from, with a term not greater
// than the given one. The search ends at base.
func (l *entryLog) findAgreement(from, term uint64) uint64 {
	index := min(from, l.last())
	for index > l.base {
		if found, _ := l.term(index); found <= term {
			break
		}
		index--
	}
	return index
}
