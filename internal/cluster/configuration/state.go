package configuration

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// The bounds of what is remembered of commands, and of a document.
const (
	// maxAcceptedCommands is how many accepted commands are recognised when they are resent: nearly three days of 3,000
	// changes each.
	maxAcceptedCommands = 8192
	// maxEarlyCommands is how many rejected commands are remembered that build on a version that doesn't exist yet.
	maxEarlyCommands = 64
	// maxDocumentBytes bounds a document that grows by updates, so that it fits into one message to a new follower.
	maxDocumentBytes = 12 << 20
)

// State is the replicated state machine of the configuration shard: the current document and the commands that led to it. It
// serves one goroutine at a time; the documents that it returns may be used by any.
//
// The outcome of a command depends on the entries before it in the log, and on nothing else. At most one command is accepted
// on each version, so that a base identifies the command that was accepted on it.
type State struct {
	document *Document
	accepted []commandKey  // the newest accepted commands, by rising base
	early    []commandKey  // rejected commands that build on the current version or a later one
	recent   recentChanges // not replicated
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

// Apply executes an entry of the log and returns its Result. It has the signature that a replica calls; index and term don't
// matter.
func (s *State) Apply(_, _ uint64, data []byte) any {
	command, err := DecodeCommand(data)
	if err != nil {
		return s.reject(failure.Invalid, err)
	}
	return s.Execute(command)
}

// Execute executes a command. One that was accepted before is acknowledged again, whatever came after it; one that was
// rejected as invalid or in conflict is never accepted later. Of two commands on the same version, the first one wins. If it
// is no longer known whether a command was accepted, the Result is of kind failure.Forgotten.
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
		return s.rejectf(failure.Invalid, "a configuration has at most %d bytes", maxDocumentBytes)
	}
	s.recent.add(s.document, next, command)
	s.recordAccepted(command)
	s.document = next
	s.dropEarly()
	return Result{Version: next.version}
}

// answerResent returns the result of a command that builds on a version before the current one: it was accepted, or another
// one was.
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

// rejectEarly rejects a command that builds on a version that doesn't exist yet. A duplicate of it may still be on its way
// once it does: the command is remembered until then, so that the duplicate is rejected as well.
func (s *State) rejectEarly(command Command) Result {
	if key := keyOfCommand(command); !slices.Contains(s.early, key) {
		if len(s.early) >= maxEarlyCommands {
			return s.rejectf(failure.Unavailable, "version %d is current, and too many changes build on later ones", s.document.version)
		}
		s.early = append(s.early, key)
	}
	return s.rejectf(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
}

// dropEarly forgets the early commands that would now be rejected in any case.
func (s *State) dropEarly() {
	s.early = slices.DeleteFunc(s.early, func(key commandKey) bool { return key.Base < s.document.version })
}

func (s *State) rejectf(kind failure.Kind, format string, args ...any) Result {
	return s.reject(kind, failure.Newf(kind, format, args...))
}

// reject returns the result of a command that is not accepted.
func (s *State) reject(kind failure.Kind, err error) Result {
	return Result{Kind: kind, Version: s.document.version, Message: messageOf(err)}
}

// messageOf returns an error's message, without the kind if it is a failure.Error.
func messageOf(err error) string {
	var known *failure.Error
	if errors.As(err, &known) {
		return known.Message
	}
	return err.Error()
}

// wasAccepted reports whether a command is one of the remembered accepted ones.
func (s *State) wasAccepted(command Command) bool {
	at, found := slices.BinarySearchFunc(s.accepted, command.Base, func(key commandKey, base uint64) int {
		return cmp.Compare(key.Base, base)
	})
	return found && s.accepted[at].Digest == digestOfCommand(command)
}

// resultVersion returns the version that an accepted command led to.
func (s *State) resultVersion(command Command) uint64 {
	_, version, err := parseFields(command.Body)
	if err != nil {
		return s.document.version
	}
	return version
}

// recordAccepted remembers an accepted command, and forgets the oldest beyond maxAcceptedCommands.
func (s *State) recordAccepted(command Command) {
	s.accepted = append(s.accepted, keyOfCommand(command))
	if len(s.accepted) > maxAcceptedCommands {
		s.accepted = append(s.accepted[:0], s.accepted[len(s.accepted)-maxAcceptedCommands:]...)
	}
}
