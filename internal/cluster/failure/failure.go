// Package failure has the closed list of error kinds of the scheduler. An error carries one kind through every layer
// and over the internal protocol; package answers has the HTTP response for each.
//
// An error without a kind counts as UnknownOutcome: only a layer that knows that nothing was done may say so by a
// kind.
package failure

import "github.com/pkg/errors"

// Kind is what went wrong, as far as the caller has to act on it. It is on the wire: values must not change.
type Kind uint8

// The kinds. The zero value means that nothing is wrong.
const (
	None           Kind = iota
	NotLeader           // this process does not own the shard; certainly nothing was done
	Unavailable         // nothing can be done now; certainly nothing was done
	Overloaded          // refused for lack of capacity; certainly nothing was done
	UnknownOutcome      // it may have been done, or may still be
	Invalid             // the request can never be accepted as it is
	Conflict            // based on another version than the present one
	TooLarge            // over a limit of size
	NoRoute             // no such queue or path
	Gone                // no such job
	Stale               // the caller's configuration is older than the owner's; certainly nothing was done
	Moved               // the job's queue belongs to another shard now; certainly nothing was done
	Forgotten           // it was done or not, and no later attempt can show which

	Kinds // the number of kinds, not a kind
)

// names are those of the kinds in logs and in the bodies of responses.
var names = [Kinds]string{
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

// String returns the kind's name. An unknown kind has the name of UnknownOutcome.
func (k Kind) String() string {
	if k >= Kinds {
		k = UnknownOutcome
	}
	return names[k]
}

// Error is an error with its kind. Package transport sends all of its fields.
type Error struct {
	Kind    Kind
	Message string
	Leader  string // NotLeader: internal address of the owner; empty if it is not known
}

// Error returns the kind's name and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// New returns an *Error of kind k.
func New(k Kind, message string) error { return &Error{Kind: k, Message: message} }

// Newf is New with a format as fmt.Sprintf's.
func Newf(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Message: errors.Errorf(format, args...).Error()}
}

// KindOf returns the kind of err or of an error that it wraps: None for nil, UnknownOutcome if there is no kind.
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

// LeaderOf returns the Leader of err or of an error that it wraps, or "".
func LeaderOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Leader
	}
	return ""
}
