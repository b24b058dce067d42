package consensus

import (
	"fmt"
	"time"
)

// entryID identifies an entry. Log matching requires that two entries with the same index and term are equal.
type entryID struct{ index, term uint64 }

// invariantChecker observes all members of a world, and records the first violation of one of Raft's safety properties (figure
// 3.2 of the thesis) or of the promise of a leadership confirmation.
type invariantChecker struct {
	violation      string                   // empty: none
	leaders        map[uint64]MemberID      // by term
	electedAt      map[uint64]time.Duration // by term, in the world's time
	entries        map[entryID]uint64       // hash of each entry that was seen and of the term before it
	committed      []uint64                 // at position i, the hash of all committed entries up to index i+1
	committedTerms []uint64                 // at position i, the term of the committed entry at index i+1
	newestTerm     uint64                   // highest term that has had a leader
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{
		leaders:   map[uint64]MemberID{},
		electedAt: map[uint64]time.Duration{},
		entries:   map[entryID]uint64{},
	}
}

// hashEntry returns the hash of an entry and of before. before is the hash of the preceding entries, or the term of the
// preceding entry.
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

// violate records the first violation.
func (c *invariantChecker) violate(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// checkEntries checks log matching: entries with the same index and term are equal, and so are the terms before them. It is
// called only for entries that are sent or on a disk: a crash may lose an entry that was neither, and a different entry with
// the same index and term may then take its place.
func (c *invariantChecker) checkEntries(m *machine, before uint64, entries []Entry) {
	for _, entry := range entries {
		sum := hashEntry(before, entry)
		key := entryID{index: entry.Index, term: entry.Term}
		if known, seen := c.entries[key]; seen && known != sum {
			c.violate("%s: log matching: a different entry with index %d and term %d", m.name, entry.Index, entry.Term)
		}
		c.entries[key] = sum
		before = entry.Term
	}
}

// checkCommitted checks state machine safety: all members apply the same entries in the same order.
func (c *invariantChecker) checkCommitted(m *machine, entry Entry) {
	if entry.Index != m.state.index+1 {
		c.violate("%s: applies the entry at index %d after the one at index %d", m.name, entry.Index, m.state.index)
		return
	}
	sum := hashEntry(m.state.hash, entry)
	if entry.Index <= uint64(len(c.committed)) {
		if c.committed[entry.Index-1] != sum {
			c.violate("%s: state machine safety: a different entry was committed at index %d", m.name, entry.Index)
		}
		return
	}
	c.committed = append(c.committed, sum)
	c.committedTerms = append(c.committedTerms, entry.Term)
}

// checkSnapshot checks that a snapshot contains the committed entries up to its index.
func (c *invariantChecker) checkSnapshot(m *machine, snapshot *Snapshot) {
	state := decodeRegister(snapshot.Data)
	known := snapshot.Index > 0 && snapshot.Index <= uint64(len(c.committed))
	if !known || state.index != snapshot.Index || state.hash != c.committed[snapshot.Index-1] {
		c.violate("%s: a snapshot of index %d does not contain the committed entries up to that index", m.name, snapshot.Index)
	}
}

// checkStatus checks election safety (no term has two leaders) and the confirmation that a leader reports.
func (c *invariantChecker) checkStatus(m *machine) {
	if m.node.role != roleLeader {
		return
	}
	status := m.node.Status()
	known, seen := c.leaders[status.Term]
	if seen && known != status.ID {
		c.violate("term %d has two leaders, members %d and %d", status.Term, known, status.ID)
	}
	if !seen {
		c.checkNewLeader(m, status)
	}
	if status.ConfirmedAt > 0 {
		c.checkConfirmed(m, status)
	}
}

// checkNewLeader checks leader completeness: a new leader has all committed entries.
func (c *invariantChecker) checkNewLeader(m *machine, status Status) {
	c.leaders[status.Term] = status.ID
	c.electedAt[status.Term] = m.world.now
	c.newestTerm = max(c.newestTerm, status.Term)
	if status.Term < c.newestTerm {
		return // a later term had a leader before, so this leader can commit no entry
	}
	for index := m.node.log.base + 1; index <= uint64(len(c.committed)); index++ {
		if !m.node.log.matches(index, c.committedTerms[index-1]) {
			c.violate("%s: the leader of term %d lacks the committed entry at index %d", m.name, status.Term, index)
			return
		}
	}
}

// checkConfirmed checks that no member was elected in a later term before the confirmed time of a leader.
func (c *invariantChecker) checkConfirmed(m *machine, status Status) {
	confirmed := status.ConfirmedAt + m.clockOffset
	for term := status.Term + 1; term <= c.newestTerm; term++ {
		if elected, seen := c.electedAt[term]; seen && elected < confirmed {
			c.violate("%s: the leadership of term %d is confirmed at %v, but term %d had a leader at %v", m.name, status.Term, confirmed, term, elected)
		}
	}
}
