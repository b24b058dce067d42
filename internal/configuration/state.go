package configuration

import (
	"ospreypond/internal/failure"
)

// takenOrders is how many orders are remembered to be acknowledged again when they are resent.
const takenOrders = 2048

// State is the state machine of the configuration shard: the document in force and the orders that led to it. It is
// used by one goroutine at a time; the documents it hands out may go anywhere.
type State struct {
	document *Document
	taken    []taken // oldest first
	tail     tail
}

// taken is an order that was taken.
type taken struct {
	Base   uint64
	Digest digest
}

// NewState returns the state before the first configuration.
func NewState() *State { return &State{document: noDocument} }

// Document returns the document in force, with version 0 before the first.
func (s *State) Document() *Document { return s.document }

// Apply carries out one entry of the log and returns its Result. It has the form that a replica wants.
func (s *State) Apply(_, _ uint64, data []byte) any {
	command, err := DecodeCommand(data)
	if err != nil {
		return s.refuse(failure.Invalid, err)
	}
	return s.Execute(command)
}

// Execute carries out one command. An order that was taken before is acknowledged again, whatever came after it. Of two
// orders on the same version, the first one wins.
func (s *State) Execute(command Command) Result {
	if result, decided := s.decided(command); decided {
		return result
	}
	next, err := s.document.apply(command)
	if err != nil {
		return s.refuse(failure.KindOf(err), err)
	}
	s.tail.add(s.document, next, command)
	s.remember(command)
	s.document = next
	return Result{Version: next.version}
}

// decided answers an order that does not build on the current version.
func (s *State) decided(command Command) (Result, bool) {
	if command.Base == s.document.version {
		return Result{}, false
	}
	if s.wasTaken(command) {
		return Result{Version: s.orderVersion(command)}, true
	}
	err := failure.Newf(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
	return s.refuse(failure.Conflict, err), true
}

func (s *State) refuse(kind failure.Kind, err error) Result {
	return Result{Kind: kind, Version: s.document.version, Message: messageOf(err)}
}

// messageOf returns the message without the kind that failure.Error puts before it.
func messageOf(err error) string {
	if known, ok := err.(*failure.Error); ok {
		return known.Message
	}
	return err.Error()
}

func (s *State) wasTaken(command Command) bool {
	for i := len(s.taken) - 1; i >= 0; i-- {
		if s.taken[i].Base == command.Base {
			return s.taken[i].Digest == digestOf(command)
		}
	}
	return false
}

// orderVersion returns the version that a taken order has.
func (s *State) orderVersion(command Command) uint64 {
	_, version, err := readFields(command.Body)
	if err != nil {
		return s.document.version
	}
	return version
}

func (s *State) remember(command Command) {
	s.taken = append(s.taken, taken{Base: command.Base, Digest: digestOf(command)})
	if len(s.taken) > takenOrders {
		s.taken = append(s.taken[:0], s.taken[len(s.taken)-takenOrders:]...)
	}
}
