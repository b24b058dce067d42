package jobs

import (
	"strings"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// tombstoneKind is the reason why an id without a job has a tombstone. Its number is part of the encoding of snapshots.
type tombstoneKind uint8

const (
	forgottenJob tombstoneKind = iota + 1 // the job has ended and its state was dropped
	fencedID                              // the id was fenced; see Fence
)

// tombstone records that the shard must not accept a job id. The zero value means that there is no tombstone.
type tombstone struct {
	kind    tombstoneKind
	version uint64 // fencedID only: the id can't be accepted with this version of the configuration or an older one
	untilMs int64  // the tombstone expires when State.ageMs is greater than this
}

// isWithdrawn reports whether the id is fenced for every version of the configuration.
func (t tombstone) isWithdrawn() bool {
	return t.kind == fencedID && t.version == protocol.EveryVersion
}

// tombstoneSet has the tombstones of a shard by job id.
type tombstoneSet struct {
	byID map[string]tombstone
	// order has an entry for each tombstone. Entries of replaced or removed tombstones stay in order until they expire. Such
	// an entry is outdated: its id has no tombstone, or a tombstone with a different untilMs.
	order     expiryQueue
	withdrawn int // number of tombstones in byID that are withdrawn
}

func newTombstoneSet() tombstoneSet { return tombstoneSet{byID: map[string]tombstone{}} }

func (t *tombstoneSet) count() int { return len(t.byID) }

// get returns the tombstone of an id, or the zero value if there is none.
func (t *tombstoneSet) get(id string) tombstone { return t.byID[id] }

// put sets the tombstone of an id, replacing an existing one. It adds no entry to order if the expiry stays the same.
func (t *tombstoneSet) put(id string, next tombstone) {
	before, known := t.byID[id]
	t.countWithdrawn(before, -1)
	t.countWithdrawn(next, 1)
	if known && before.untilMs == next.untilMs {
		t.byID[id] = next
		return
	}
	id = strings.Clone(id)
	t.byID[id] = next
	t.order.push(id, next.untilMs)
}

// countWithdrawn adds change to the number of withdrawn ids if the tombstone is of one.
func (t *tombstoneSet) countWithdrawn(of tombstone, change int) {
	if of.isWithdrawn() {
		t.withdrawn += change
	}
}

// remove deletes the tombstone of an id that is accepted after a fence, with a newer version of the configuration.
func (t *tombstoneSet) remove(id string) {
	t.countWithdrawn(t.byID[id], -1)
	delete(t.byID, id)
}

// expire deletes the tombstones that have expired at the given age. The entry that it pops may be outdated, so that the
// tombstone's own expiry decides.
func (t *tombstoneSet) expire(ageMs int64) {
	for id, ok := t.order.pop(ageMs); ok; id, ok = t.order.pop(ageMs) {
		if t.byID[id].untilMs < ageMs {
			t.remove(id)
		}
	}
}

// current returns the entries of order that are not outdated, in ascending order of expiry.
func (t *tombstoneSet) current() []retainedID {
	entries := make([]retainedID, 0, len(t.byID))
	for _, entry := range t.order.all() {
		if known, ok := t.byID[entry.id]; ok && known.untilMs == entry.untilMs {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Withdrawn reports whether a job's id is withdrawn: no submit of it is accepted for the remaining time, measured in the
// shard's age.
func (s *State) Withdrawn(id string) (remaining time.Duration, ok bool) {
	known := s.tombstones.get(id)
	return s.remaining(known), known.isWithdrawn()
}

// Forgotten reports whether a job with this id has ended and its state was dropped. A submit of the id is a Duplicate for
// the remaining time, measured in the shard's age.
func (s *State) Forgotten(id string) (remaining time.Duration, ok bool) {
	known := s.tombstones.get(id)
	return s.remaining(known), known.kind == forgottenJob
}

// remaining returns the time until a tombstone expires.
func (s *State) remaining(known tombstone) time.Duration {
	return time.Duration(known.untilMs-s.ageMs) * time.Millisecond
}
