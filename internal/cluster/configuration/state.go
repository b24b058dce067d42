package configuration

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

const (
	// maxAcceptedCommands is the number of accepted commands that are recognised when they are resent. At 3,000 changes a day
	// it lasts for nearly three days.
	maxAcceptedCommands = 8192
	// maxEarlyCommands bounds the commands that are remembered because they were rejected before their base existed.
	maxEarlyCommands = 64
	// maxDocumentBytes bounds the JSON of a document, which updates could otherwise let grow without limit. A new follower is
	// sent the complete document in one message, and package transport sends at most 16 MiB in one.
	maxDocumentBytes = 12 << 20
)

// State is the replicated state machine of the configuration shard: the current document, and the keys of the commands that
// led to it. It must be used by one goroutine at a time; the documents that it returns may be used by any.
//
// The kind and version of a Result depend only on the command and the entries before it in the log. A command is accepted
// only on the current version and then raises it, so at most one command is accepted on each version, and a base
// identifies the command that was accepted on it.
type State struct {
	document *Document
	accepted []commandKey  // the newest accepted commands, sorted by base; each replaced the version that is its base
	early    []commandKey  // commands that were rejected before their base existed; it is the current version or a later one
	recent   recentChanges // not replicated: neither in snapshots nor in the digest
}

// commandKey identifies a command. It is encoded by gob: the field names are the format.
type commandKey struct {
	Base   uint64
	Digest commandDigest
}

func keyOfCommand(command Command) commandKey {
	return commandKey{Base: command.Base, Digest: digestOfCommand(command)}
}

// NewState returns the state before the first configuration.
func NewState() *State { return &State{document: emptyDocument} }

// Document returns the current document, never nil; it has version 0 before the first configuration.
func (s *State) Document() *Document { return s.document }

// Apply executes an entry of the log and returns its Result. Package replica prescribes the signature for its state
// machines; State doesn't use the entry's index and term.
func (s *State) Apply(_, _ uint64, data []byte) any {
	command, err := DecodeCommand(data)
	if err != nil {
		return s.reject(failure.Invalid, err)
	}
	return s.Execute(command)
}

// Execute executes a command. The result depends on the version that the command builds on, its base:
//   - The current version: the command is accepted, unless it is invalid (Invalid) or was rejected before the version
//     existed (Conflict).
//   - An earlier version: the command is acknowledged again if it is the command that was accepted on that version,
//     whatever commands followed it. Any other command is rejected (Conflict). If the state no longer remembers the
//     accepted command, it can't tell the two cases apart (Forgotten).
//   - A later version: the command is rejected (Conflict) and remembered, or is left undecided if too many are
//     remembered (Unavailable).
//
// So an accepted command is never executed a second time, and a command rejected with Invalid or Conflict is never
// accepted later, however often and however late it is resent.
func (s *State) Execute(command Command) Result {
	switch current := s.document.version; {
	case command.Base < current:
		return s.answerResent(command)
	case command.Base > current:
		return s.rejectEarly(command)
	case slices.Contains(s.early, keyOfCommand(command)):
		return s.rejectf(failure.Conflict, "the change was rejected before version %d was current", current)
	}
	next, err := s.document.apply(command)
	if err != nil {
		return s.reject(failure.KindOf(err), err)
	}
	if next.size() > maxDocumentBytes {
		return s.rejectf(failure.Invalid, "the configuration would have about %d bytes of JSON, the limit is %d",
			next.size(), maxDocumentBytes)
	}
	s.recent.add(s.document, next, command)
	s.recordAccepted(command)
	s.document = next
	s.dropEarly()
	return Result{Version: next.version}
}

// answerResent returns the result of a command that builds on a version before the current one. Either this or another
// command was accepted on that version.
func (s *State) answerResent(command Command) Result {
	if len(s.accepted) == 0 || command.Base < s.accepted[0].Base {
		return s.rejectf(failure.Forgotten, "version %d is current; which change of version %d was accepted is no longer known",
			s.document.version, command.Base)
	}
	if s.wasAccepted(command) {
		return Result{Version: s.resultVersion(command)}
	}
	return s.rejectf(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
}

// rejectEarly rejects a command that builds on a version that doesn't exist yet. A duplicate of the command may arrive after
// that version has come to exist, and would be valid then, though the sender was told that its command is rejected. So the
// command is remembered until its base is an earlier version, and Execute rejects the duplicate.
func (s *State) rejectEarly(command Command) Result {
	if key := keyOfCommand(command); !slices.Contains(s.early, key) {
		if len(s.early) >= maxEarlyCommands {
			return s.rejectf(failure.Unavailable, "version %d is current, and too many changes build on later ones", s.document.version)
		}
		s.early = append(s.early, key)
	}
	return s.rejectf(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
}

// dropEarly forgets the early commands that build on versions before the current one: answerResent rejects their duplicates.
func (s *State) dropEarly() {
	s.early = slices.DeleteFunc(s.early, func(key commandKey) bool { return key.Base < s.document.version })
}

// rejectf returns the result of a command that is not accepted, with a message.
func (s *State) rejectf(kind failure.Kind, format string, args ...any) Result {
	return s.reject(kind, failure.Newf(kind, format, args...))
}

// reject returns the result of a command that is not accepted, with the message of an error.
func (s *State) reject(kind failure.Kind, err error) Result {
	return Result{Kind: kind, Version: s.document.version, Message: messageOf(err)}
}

// messageOf returns an error's message. For a failure.Error it leaves out the name of the kind.
func messageOf(err error) string {
	var known *failure.Error
	if errors.As(err, &known) {
		return known.Message
	}
	return err.Error()
}

// wasAccepted reports whether a command is one of the accepted commands that are remembered.
func (s *State) wasAccepted(command Command) bool {
	at, found := slices.BinarySearchFunc(s.accepted, command.Base, func(key commandKey, base uint64) int {
		return cmp.Compare(key.Base, base)
	})
	return found && s.accepted[at].Digest == digestOfCommand(command)
}

// resultVersion returns the version that an accepted command led to, which is in its body.
func (s *State) resultVersion(command Command) uint64 {
	_, version, err := parseFields(command.Body)
	if err != nil {
		return s.document.version
	}
	return version
}

// recordAccepted remembers an accepted command, and forgets the oldest one if there are more than maxAcceptedCommands.
func (s *State) recordAccepted(command Command) {
	s.accepted = append(s.accepted, keyOfCommand(command))
	if len(s.accepted) > maxAcceptedCommands {
		s.accepted = append(s.accepted[:0], s.accepted[len(s.accepted)-maxAcceptedCommands:]...)
	}
}
