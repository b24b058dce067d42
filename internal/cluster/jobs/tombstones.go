package jobs

import "strings"

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

// tombstoneSet has the tombstones of a shard by job id.
type tombstoneSet struct {
	byID map[string]tombstone
	// order has an entry for each tombstone. Entries of replaced or removed tombstones stay in order until they expire. Such
	// an entry is outdated: its id has no tombstone, or a tombstone with a different untilMs.
	order expiryQueue
}

func newTombstoneSet() tombstoneSet { return tombstoneSet{byID: map[string]tombstone{}} }

func (t *tombstoneSet) count() int { return len(t.byID) }

// get returns the tombstone of an id, or the zero value if there is none.
func (t *tombstoneSet) get(id string) tombstone { return t.byID[id] }

// put sets the tombstone of an id, replacing an existing one. It adds no entry to order if the expiry stays the same.
func (t *tombstoneSet) put(id string, next tombstone) {
	before, known := t.byID[id]
	if known && before.untilMs == next.untilMs {
		t.byID[id] = next
		return
	}
	id = strings.Clone(id)
	t.byID[id] = next
	t.order.push(id, next.untilMs)
}

// remove deletes the tombstone of an id that is accepted after a fence, with a newer version of the configuration.
func (t *tombstoneSet) remove(id string) { delete(t.byID, id) }

// expire deletes the tombstones that have expired at the given age. The entry that it pops may be outdated, so that the
// tombstone's own expiry decides.
func (t *tombstoneSet) expire(ageMs int64) {
	for id, ok := t.order.pop(ageMs); ok; id, ok = t.order.pop(ageMs) {
		if t.byID[id].untilMs < ageMs {
			delete(t.byID, id)
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
