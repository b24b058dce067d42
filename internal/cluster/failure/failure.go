// Package failure has the closed list of error kinds of the scheduler. An error carries one kind through every layer and
// over the internal protocol; what a caller over HTTP is told for it is in package answers.
package failure

import "github.com/pkg/errors"

// Kind is what went wrong, as far as the caller has to act on it.
type Kind uint8

// The kinds. The zero value means that nothing is wrong.
const (
	None           Kind = iota
	NotLeader           // this process does not own the shard; certainly nothing was done
	Unavailable         // nothing can be done now; certainly nothing was done
	Overloaded          // refused for want of room; certainly nothing was done
	UnknownOutcome      // it may have been done, or may still be
	Invalid             // the request can never be accepted as it is
	Conflict            // another version is in place
	TooLarge            // over a limit of size
	NoRoute             // no such queue or path
	Gone                // no such job
	Stale               // the caller's configuration is older than the owner's; certainly nothing was done
	Moved               // the job's queue belongs to another shard now; certainly nothing was done
	Forgotten           // it was done or it was not, and no later try will tell which

	Kinds // the number of kinds
)

// names are those of the kinds in logs and in the bodies of answers.
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

// String returns the kind's name; an unknown kind has that of UnknownOutcome.
func (k Kind) String() string {
	if k >= Kinds {
		k = UnknownOutcome
	}
	return names[k]
}

// Error is an error with its kind.
type Error struct {
	Kind    Kind
	Message string
	Leader  string // NotLeader: internal address of the owner as far as known, else empty
}

// Error returns the kind's name and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.Message }

// New returns an error of kind k.
func New(k Kind, message string) error { return &Error{Kind: k, Message: message} }

// Newf is New with a format.
func Newf(k Kind, format string, args ...any) error {
	return &Error{Kind: k, Message: errors.Errorf(format, args...).Error()}
}

// KindOf returns the kind that err carries: None for nil, UnknownOutcome where it carries none.
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

// LeaderOf returns the owner's internal address that a NotLeader error names, or "".
func LeaderOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Leader
	}
	return ""
}
