package configuration

import (
	"cmp"
	"slices"

	"ospreypond/internal/cluster/failure"
)

// Bounds of what is remembered of orders.
const (
	// takenOrders is how many taken orders are known again when they are resent: nearly three days of 3,000 changes.
	takenOrders = 8192
	// earlyOrders is how many refused orders are remembered that build on a version that is yet to come.
	earlyOrders = 64
	// documentBytes bounds a document that updates let grow, so that it fits into one message to who starts anew.
	documentBytes = 12 << 20
)

// State is the state machine of the configuration shard: the document in force and the orders that led to it. It is
// used by one goroutine at a time; the documents it hands out may go anywhere.
//
// What becomes of an order is a function of the entries before it in the log, and of nothing else. Every version is
// built on once at most, so that the base of an order names the one order that was taken on it.
type State struct {
	document *Document
	taken    []orderKey // the newest orders that were taken, by rising base
	early    []orderKey // orders that were refused and build on the current version or a later one
	tail     tail
}

// orderKey tells one order from all others.
type orderKey struct {
	Base   uint64
	Digest digest
}

func keyOf(command Command) orderKey { return orderKey{Base: command.Base, Digest: digestOf(command)} }

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

// Execute carries out one command. An order that was taken before is acknowledged again, whatever came after it; one
// that was refused before is never taken. Of two orders on the same version, the first one wins. Where it is not known
// any more whether an order was taken, the Result is failure.Forgotten.
func (s *State) Execute(command Command) Result {
	switch current := s.document.version; {
	case command.Base < current:
		return s.resent(command)
	case command.Base > current:
		return s.refuseEarly(command)
	case slices.Contains(s.early, keyOf(command)):
		return s.refusef(failure.Conflict, "the change was refused before version %d was current", current)
	}
	next, err := s.document.apply(command)
	if err != nil {
		return s.refuse(failure.KindOf(err), err)
	}
	if next.size() > documentBytes {
		return s.refusef(failure.Invalid, "a configuration has at most %d bytes", documentBytes)
	}
	s.tail.add(s.document, next, command)
	s.remember(command)
	s.document = next
	s.forgetEarly()
	return Result{Version: next.version}
}

// resent answers an order that builds on a version before the current one: it was taken, or another one was.
func (s *State) resent(command Command) Result {
	if len(s.taken) == 0 || command.Base < s.taken[0].Base {
		return s.refusef(failure.Forgotten, "version %d is current; which change of version %d was taken is not known any more",
			s.document.version, command.Base)
	}
	if s.wasTaken(command) {
		return Result{Version: s.orderVersion(command)}
	}
	return s.refusef(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
}

// refuseEarly answers an order that builds on a version that is not there. A copy of it may still be on its way when
// that version is: what is refused here is remembered until then, so that the copy is refused as well.
func (s *State) refuseEarly(command Command) Result {
	if key := keyOf(command); !slices.Contains(s.early, key) {
		if len(s.early) >= earlyOrders {
			return s.refusef(failure.Unavailable, "version %d is current, and too many changes build on later ones", s.document.version)
		}
		s.early = append(s.early, key)
	}
	return s.refusef(failure.Conflict, "version %d is current, the change builds on %d", s.document.version, command.Base)
}

// forgetEarly drops what is refused anyhow from now on.
func (s *State) forgetEarly() {
	s.early = slices.DeleteFunc(s.early, func(key orderKey) bool { return key.Base < s.document.version })
}

func (s *State) refusef(kind failure.Kind, format string, args ...any) Result {
	return s.refuse(kind, failure.Newf(kind, format, args...))
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
	at, found := slices.BinarySearchFunc(s.taken, command.Base, func(key orderKey, base uint64) int {
		return cmp.Compare(key.Base, base)
	})
	return found && s.taken[at].Digest == digestOf(command)
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
	s.taken = append(s.taken, keyOf(command))
	if len(s.taken) > takenOrders {
		s.taken = append(s.taken[:0], s.taken[len(s.taken)-takenOrders:]...)
	}
}
