package consensus

// entryBytes is about what an entry costs on the wire besides its data.
const entryBytes = 24

// entryLog is the part of the log that is held in memory: everything after base. Slices of it are given out, so what
// was once appended is never overwritten in place.
type entryLog struct {
	base     uint64 // last index that was compacted away or replaced by a snapshot
	baseTerm uint64
	entries  []Entry
	handed   uint64 // last index that was given out to be written
}

// last is the index of the newest entry.
func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm is the term of the newest entry.
func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term is the term at an index, if the log still knows it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches tells whether the entry at an index is known and of that term.
func (l *entryLog) matches(index, term uint64) bool {
	held, known := l.term(index)
	return known && held == term
}

// between gives the entries after `after` up to and including `to`, both within the log.
func (l *entryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	start, end := after-l.base, to-l.base
	return l.entries[start:end:end]
}

// batch gives the entries after an index, up to and including another within the log and up to about maxBytes; at least
// one if there is any.
func (l *entryLog) batch(after, to uint64, maxBytes int) []Entry {
	rest := l.between(after, to)
	size := 0
	for position := range rest {
		size += len(rest[position].Data) + entryBytes
		if size > maxBytes && position > 0 {
			return rest[:position:position]
		}
	}
	return rest
}

// add appends an entry of a leader's own.
func (l *entryLog) add(entry Entry) {
	l.entries = append(l.entries, entry)
}

// replaceFrom drops everything from the first entry's index on and appends the entries.
func (l *entryLog) replaceFrom(entries []Entry) {
	first := entries[0].Index
	keep := int(first - l.base - 1)
	if keep < len(l.entries) {
		l.entries = l.entries[:keep:keep] // the next append moves to fresh memory
	}
	l.entries = append(l.entries, entries...)
	l.handed = min(l.handed, first-1)
}

// compact forgets the entries up to an index within the log.
func (l *entryLog) compact(index uint64) {
	term, known := l.term(index)
	if !known || index == l.base {
		return
	}
	rest := l.between(index, l.last())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, term
}

// reset puts a snapshot in the place of the whole log.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, handed: index}
}

// backTo finds the newest index up to `from` whose term is no newer than `term`: where two logs may still agree.
func (l *entryLog) backTo(from, term uint64) uint64 {
	index := min(from, l.last())
	for index > l.base {
		if held, _ := l.term(index); held <= term {
			break
		}
		index--
	}
	return index
}
