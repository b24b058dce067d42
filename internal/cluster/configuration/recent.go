package configuration

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// The bounds of recentChanges: beyond them the oldest changes are dropped.
const (
	maxRecentChanges = 256
	maxRecentBytes   = 256 << 10
)

// recentChanges is the newest changes, for followers that are only a little behind. It is not part of the replicated state: a
// State that was restored has none, and feeds complete documents.
type recentChanges struct {
	changes      []Command // each builds on the version that the one before led to
	bytes        int
	encodedFeeds map[uint64][]byte // feeds to the current version, by the version that they start from
}

// add adds the command that led from one document to the next. It adds a replacement as a shorter update, if there is one.
func (r *recentChanges) add(before, next *Document, command Command) {
	if command.Kind == protocol.ConfigurationReplace {
		command = difference(before, next, command)
	}
	r.encodedFeeds = nil
	r.changes = append(r.changes, command)
	r.bytes += len(command.Body)
	first := 0
	for first < len(r.changes) && (r.bytes > maxRecentBytes || len(r.changes)-first > maxRecentChanges) {
		r.bytes -= len(r.changes[first].Body)
		first++
	}
	r.changes = slices.Delete(r.changes, 0, first)
}

// since returns the changes after a version, or nil if they are no longer remembered.
func (r *recentChanges) since(version uint64) []Command {
	for i := range r.changes {
		if r.changes[i].Base == version {
			return r.changes[i:]
		}
	}
	return nil
}
