package jobs

import "strings"

// tombstoneKind is why an id is known without a state. Its number is part of the encoding of snapshots.
type tombstoneKind uint8

const (
	forgottenJob tombstoneKind = iota + 1 // a job that ended, and whose state is no longer retained
	fencedID                              // an id that the shard won't accept by some versions of the configuration
)

// tombstone is what is known of an id without a state. Its zero value stands for nothing.
type tombstone struct {
	kind    tombstoneKind
	version uint64 // fencedID: the newest version of the configuration that is fenced
	untilMs int64  // by the shard's age
}

// tombstoneSet has the ids that a shard must not accept.
type tombstoneSet struct {
	byID map[string]tombstone
	// order has an entry for each tombstone, and outdated ones of tombstones that were replaced or removed.
	order expiryQueue
}

func newTombstoneSet() tombstoneSet { return tombstoneSet{byID: map[string]tombstone{}} }

func (t *tombstoneSet) count() int { return len(t.byID) }

// get returns the tombstone of an id, or the zero value.
func (t *tombstoneSet) get(id string) tombstone { return t.byID[id] }

// put sets the tombstone of an id, in place of an earlier one.
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

// remove forgets an id that is accepted after all.
func (t *tombstoneSet) remove(id string) { delete(t.byID, id) }

func (t *tombstoneSet) expire(now int64) {
	for id, ok := t.order.pop(now); ok; id, ok = t.order.pop(now) {
		if t.byID[id].untilMs < now {
			delete(t.byID, id)
		}
	}
}

// current returns the entries of the order that are not outdated.
func (t *tombstoneSet) current() []retainedID {
	entries := make([]retainedID, 0, len(t.byID))
	for _, entry := range t.order.all() {
		if known, ok := t.byID[entry.id]; ok && known.untilMs == entry.untilMs {
			entries = append(entries, entry)
		}
	}
	return entries
}
