package consensus

import (
	"fmt"
	"time"
)

// place is where an entry stands.
type place struct{ index, term uint64 }

// truth watches all members at once and notes the first rule that is broken.
type truth struct {
	broken     string
	leaders    map[uint64]MemberID      // by term
	electedAt  map[uint64]time.Duration // by term, in the world's time
	written    map[place]uint64         // hash of each entry and the term before it
	committed  []uint64                 // hash over all committed entries up to index position+1
	terms      []uint64                 // term of the committed entry at index position+1
	newestTerm uint64                   // of all leaders
}

func newTruth() *truth {
	return &truth{
		leaders:   map[uint64]MemberID{},
		electedAt: map[uint64]time.Duration{},
		written:   map[place]uint64{},
	}
}

// hashEntry adds an entry to a hash over all before it.
func hashEntry(before uint64, entry Entry) uint64 {
	const prime = 1099511628211
	sum := before
	for _, value := range [...]uint64{14695981039346656037, entry.Term, entry.Index, uint64(entry.Kind)} {
		sum = (sum ^ value) * prime
		sum ^= sum >> 29
	}
	for _, value := range entry.Data {
		sum = (sum ^ uint64(value)) * prime
	}
	return sum
}

// breaks notes the first broken rule.
func (t *truth) breaks(format string, args ...any) {
	if t.broken == "" {
		t.broken = fmt.Sprintf(format, args...)
	}
}

// sawEntries checks that two logs which agree on an entry's index and term agree on it and on what is before it. It is
// shown what is sent and what is on a disk: an entry that was neither may be made anew.
func (t *truth) sawEntries(m *machine, before uint64, entries []Entry) {
	for _, entry := range entries {
		sum := hashEntry(before, entry)
		key := place{index: entry.Index, term: entry.Term}
		if known, seen := t.written[key]; seen && known != sum {
			t.breaks("%s: log matching: another entry at index %d, term %d", m.name, entry.Index, entry.Term)
		}
		t.written[key] = sum
		before = entry.Term
	}
}

// sawCommitted checks that every member applies the same entries in the same order.
func (t *truth) sawCommitted(m *machine, entry Entry) {
	if entry.Index != m.state.index+1 {
		t.breaks("%s: applies index %d after %d", m.name, entry.Index, m.state.index)
		return
	}
	sum := hashEntry(m.state.hash, entry)
	if entry.Index <= uint64(len(t.committed)) {
		if t.committed[entry.Index-1] != sum {
			t.breaks("%s: state machine safety: another entry at index %d", m.name, entry.Index)
		}
		return
	}
	t.committed = append(t.committed, sum)
	t.terms = append(t.terms, entry.Term)
}

// sawSnapshot checks that a snapshot holds what was committed.
func (t *truth) sawSnapshot(m *machine, snapshot *Snapshot) {
	state := decodeRegister(snapshot.Data)
	known := snapshot.Index > 0 && snapshot.Index <= uint64(len(t.committed))
	if !known || state.index != snapshot.Index || state.hash != t.committed[snapshot.Index-1] {
		t.breaks("%s: a snapshot of index %d holds something else", m.name, snapshot.Index)
	}
}

// sawStatus checks what a member says of its leadership.
func (t *truth) sawStatus(m *machine) {
	if m.node.role != roleLeader {
		return
	}
	status := m.node.Status()
	known, seen := t.leaders[status.Term]
	if seen && known != status.ID {
		t.breaks("two leaders in term %d: %d and %d", status.Term, known, status.ID)
	}
	if !seen {
		t.elected(m, status)
	}
	if status.ConfirmedAt > 0 {
		t.sawConfirmed(m, status)
	}
}

// elected checks that a new leader has all that is committed.
func (t *truth) elected(m *machine, status Status) {
	t.leaders[status.Term] = status.ID
	t.electedAt[status.Term] = m.world.now
	t.newestTerm = max(t.newestTerm, status.Term)
	if status.Term < t.newestTerm {
		return // a candidate that was passed by, which can commit nothing
	}
	for index := m.node.log.base + 1; index <= uint64(len(t.committed)); index++ {
		if !m.node.log.matches(index, t.terms[index-1]) {
			t.breaks("%s: leader of term %d lacks the committed entry %d", m.name, status.Term, index)
			return
		}
	}
}

// sawConfirmed checks that nobody was elected in a later term before the confirmed time.
func (t *truth) sawConfirmed(m *machine, status Status) {
	confirmed := status.ConfirmedAt + m.zero
	for term := status.Term + 1; term <= t.newestTerm; term++ {
		if elected, seen := t.electedAt[term]; seen && elected < confirmed {
			t.breaks("%s: term %d confirmed at %v, term %d elected at %v", m.name, status.Term, confirmed, term, elected)
		}
	}
}
