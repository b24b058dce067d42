package configuration

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// Bounds of recentChanges. The oldest changes are dropped while either bound is exceeded.
const (
	maxRecentChanges = 256       // commands
	maxRecentBytes   = 256 << 10 // of the commands' bodies together
)

// recentChanges has the newest accepted commands, for followers that are only a few versions behind. It is not part of the
// replicated state: a State that was just restored has none, and feeds complete documents until it has accepted commands.
type recentChanges struct {
	changes      []Command         // each builds on the version that the previous change led to
	bytes        int               // of the commands' bodies
	encodedFeeds map[uint64][]byte // encoded feeds to the current version by the version that they start from; 0: complete
}

// add adds the command that led from one document to the next. In place of a replacement it adds an equivalent update if
// that is much shorter (see difference).
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

// since returns the changes that lead from a version to the current one, or nil if r doesn't have all of these.
func (r *recentChanges) since(version uint64) []Command {
	for i := range r.changes {
		if r.changes[i].Base == version {
			return r.changes[i:]
		}
	}
	return nil
}
