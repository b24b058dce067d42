// Package answers contains the HTTP response for each kind of error: its status, whether it asks the client to retry, and
// advice for operators. Frontends, agents and operators' commands share this table, and docs/operations.md lists it.
package answers

import (
	"net/http"

	"ospreypond/internal/cluster/failure"
)

// Answer is the HTTP response for errors of one kind.
type Answer struct {
	Name   string // name of the kind, in logs and in bodies of responses
	Status int    // HTTP status
	Retry  bool   // whether the response has a Retry-After header
	Advice string // advice to the operator on how to resolve the error
}

// table contains the answer for each kind, without its Name.
var table = [failure.KindCount]Answer{
	failure.None:           {Status: http.StatusOK, Advice: "nothing"},
	failure.NotLeader:      {Status: http.StatusServiceUnavailable, Retry: true, Advice: "wait for the election; look at `shards`"},
	failure.Unavailable:    {Status: http.StatusServiceUnavailable, Retry: true, Advice: "look at `members`: is a quorum running and connected?"},
	failure.Overloaded:     {Status: http.StatusTooManyRequests, Retry: true, Advice: "add runners, or lower the load"},
	failure.UnknownOutcome: {Status: http.StatusGatewayTimeout, Advice: "send the same request again: it is done once"},
	failure.Invalid:        {Status: http.StatusBadRequest, Advice: "correct what the message names"},
	failure.Conflict:       {Status: http.StatusPreconditionFailed, Advice: "read the configuration and build on its version"},
	failure.TooLarge:       {Status: http.StatusRequestEntityTooLarge, Advice: "send less, or raise the limit"},
	failure.NoRoute:        {Status: http.StatusNotFound, Advice: "check host and path against the configuration"},
	failure.Gone:           {Status: http.StatusGone, Advice: "the job is unknown, was forgotten after its time, or was cancelled before it was accepted"},
	failure.Stale:          {Status: http.StatusServiceUnavailable, Retry: true, Advice: "nothing: the frontend catches up by itself"},
	failure.Moved:          {Status: http.StatusServiceUnavailable, Retry: true, Advice: "nothing: the frontend catches up by itself"},
	failure.Forgotten:      {Status: http.StatusGatewayTimeout, Advice: "read the configuration: is the change in it?"},
}

// ForKind returns the answer for a kind. For a value that is not a kind it returns that for failure.UnknownOutcome.
func ForKind(kind failure.Kind) Answer {
	if kind >= failure.KindCount {
		kind = failure.UnknownOutcome
	}
	answer := table[kind]
	answer.Name = kind.String()
	return answer
}
