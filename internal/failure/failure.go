// Package failure has the closed list of error kinds of the scheduler, and the table from each kind to what a caller
// is told. An error carries one kind through every layer and over the internal protocol.
package failure

import (
	"net/http"

	"github.com/pkg/errors"
)

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
	kinds
)

// Answer is what a client is told for a kind.
type Answer struct {
	Name   string // in logs and in bodies
	Status int    // HTTP status
	Retry  bool   // whether Retry-After is sent
	Advice string // what an operator can do
}

var answers = [kinds]Answer{
	None:           {"none", http.StatusOK, false, "nothing"},
	NotLeader:      {"not_leader", http.StatusServiceUnavailable, true, "wait for the election; look at `shards`"},
	Unavailable:    {"unavailable", http.StatusServiceUnavailable, true, "look at `members`: is a quorum running and connected?"},
	Overloaded:     {"overloaded", http.StatusTooManyRequests, true, "add runners, or lower the load"},
	UnknownOutcome: {"unknown_outcome", http.StatusGatewayTimeout, false, "send the same request again: it is done once"},
	Invalid:        {"invalid", http.StatusBadRequest, false, "correct what the message names"},
	Conflict:       {"conflict", http.StatusPreconditionFailed, false, "read the configuration and build on its version"},
	TooLarge:       {"too_large", http.StatusRequestEntityTooLarge, false, "send less, or raise the limit"},
	NoRoute:        {"no_route", http.StatusNotFound, false, "check host and path against the configuration"},
	Gone:           {"gone", http.StatusGone, false, "the job is unknown, or was forgotten after its time"},
	Stale:          {"stale", http.StatusServiceUnavailable, true, "nothing: the frontend catches up by itself"},
	Moved:          {"moved", http.StatusServiceUnavailable, true, "nothing: the frontend catches up by itself"},
	Forgotten:      {"forgotten", http.StatusGatewayTimeout, false, "read the configuration: is the change in it?"},
}

// AnswerTo returns the answer for k; an unknown kind is answered as UnknownOutcome.
func AnswerTo(k Kind) Answer {
	if k >= kinds {
		k = UnknownOutcome
	}
	return answers[k]
}

// String returns the kind's name.
func (k Kind) String() string { return AnswerTo(k).Name }

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
