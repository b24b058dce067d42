// Package failure contains the closed list of error kinds of the scheduler. An error keeps its kind through every layer and
// over the internal protocol. Package answers contains the HTTP response for each kind.
//
// Callers must treat an error without a kind as UnknownOutcome, as KindOf does. A layer may return a kind that promises "no
// effect" only if it knows that the request had no effect.
package failure

import "github.com/pkg/errors"

// Kind is the kind of an error. It determines how the caller can react. The values are part of the internal protocol and
// must not change.
type Kind uint8

// The kinds. The zero value means that there is no error.
const (
	None           Kind = iota
	NotLeader           // this process does not own the shard; the request had no effect
	Unavailable         // the request can't be served now; it had no effect
	Overloaded          // the request was refused for lack of capacity; it had no effect
	UnknownOutcome      // the request may have taken effect, or may still do so
	Invalid             // the request can never be accepted without changes to it
	Conflict            // the request is based on a version other than the current one
	TooLarge            // the request exceeds a limit on size
	NoRoute             // there is no such queue or path
	Gone                // there is no such job or incarnation of a runner, or it is no longer known
	Stale               // the caller's configuration is older than the owner's; the request had no effect
	Moved               // the job's queue belongs to another shard now; the request had no effect
	Forgotten           // it is unknown whether the request took effect, and repeating the request cannot show it

	KindCount // the number of kinds; it is not a kind
)

// names are the names of the kinds in logs and in the bodies of HTTP responses.
var names = [KindCount]string{
	None:           "none",
	NotLeader:      "not_leader",
	Unavailable:    "unavailable",
	Overloaded:     "overloaded",
	UnknownOutcome: "unknown_outcome",
	Invalid:        "invalid",
	Conflict:       "conflict",
	TooLarge:       "too_large",
	NoRoute:        "no_route",
	Gone:           "gone",
	Stale:          "stale",
	Moved:          "moved",
	Forgotten:      "forgotten",
}

// String returns the name of the kind. A value that is not a kind has the name of UnknownOutcome.
func (k Kind) String() string {
	if k >= KindCount {
		k = UnknownOutcome
	}
	return names[k]
}

// Error is an error with a kind. Package transport sends all of its fields over the internal protocol.
type Error struct {
	Kind    Kind
	Message string
	Leader  string // with NotLeader: internal address of the shard's owner, empty if it is not known
}

// Error returns the name of the kind, a colon and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// New returns an *Error of kind k with a message.
func New(k Kind, message string) error { return &Error{Kind: k, Message: message} }

// Newf returns an *Error of kind k. It formats the message as fmt.Sprintf does.
func Newf(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Message: errors.Errorf(format, args...).Error()}
}

// KindOf returns the kind of err or of the first *Error that it wraps. It returns None for nil, and UnknownOutcome for an
// error without a kind.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return UnknownOutcome
}

// LeaderOf returns the Leader of err or of the first *Error that it wraps. It returns an empty string if there is none, also
// for nil.
func LeaderOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Leader
	}
	return ""
}
