package configuration

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// What a tail keeps at most.
const (
	tailChanges = 256
	tailBytes   = 256 << 10
)

// tail is the newest changes, one after the other, for followers that are only a little behind. It is no part of what
// is replicated: a state without one feeds snapshots.
type tail struct {
	changes []Command // each builds on the version that the one before it made
	bytes   int
	fed     map[uint64][]byte // what was fed in the current version, by the version it starts from
}

// add takes up the command that led from one document to the next.
func (t *tail) add(before, next *Document, command Command) {
	if command.Kind == protocol.ConfigurationReplace {
		command = difference(before, next, command)
	}
	t.fed = nil
	t.changes = append(t.changes, command)
	t.bytes += len(command.Body)
	first := 0
	for first < len(t.changes) && (t.bytes > tailBytes || len(t.changes)-first > tailChanges) {
		t.bytes -= len(t.changes[first].Body)
		first++
	}
	t.changes = slices.Delete(t.changes, 0, first)
}

// since returns the changes that lead on from a version, or nil where the tail does not reach back so far.
func (t *tail) since(version uint64) []Command {
	for i := range t.changes {
		if t.changes[i].Base == version {
			return t.changes[i:]
		}
	}
	return nil
}
