// Package answers has the HTTP response for each kind of error: status, whether a retry makes sense, and advice for
// operators. Frontends, agents and operators' commands use this one table, which docs/operations.md shows.
package answers

import (
	"net/http"

	"ospreypond/internal/cluster/failure"
)

// Answer is the response to a caller over HTTP for one kind.
type Answer struct {
	Name   string // the kind's, in logs and in bodies
	Status int    // HTTP status
	Retry  bool   // Retry-After is sent
	Advice string // what an operator can do
}

// table has the answers without their names.
var table = [failure.Kinds]Answer{
	failure.None:           {Status: http.StatusOK, Advice: "nothing"},
	failure.NotLeader:      {Status: http.StatusServiceUnavailable, Retry: true, Advice: "wait for the election; look at `shards`"},
	failure.Unavailable:    {Status: http.StatusServiceUnavailable, Retry: true, Advice: "look at `members`: is a quorum running and connected?"},
	failure.Overloaded:     {Status: http.StatusTooManyRequests, Retry: true, Advice: "add runners, or lower the load"},
	failure.UnknownOutcome: {Status: http.StatusGatewayTimeout, Advice: "send the same request again: it is done once"},
	failure.Invalid:        {Status: http.StatusBadRequest, Advice: "correct what the message names"},
	failure.Conflict:       {Status: http.StatusPreconditionFailed, Advice: "read the configuration and build on its version"},
	failure.TooLarge:       {Status: http.StatusRequestEntityTooLarge, Advice: "send less, or raise the limit"},
	failure.NoRoute:        {Status: http.StatusNotFound, Advice: "check host and path against the configuration"},
	failure.Gone:           {Status: http.StatusGone, Advice: "the job is unknown, or was forgotten after its time"},
	failure.Stale:          {Status: http.StatusServiceUnavailable, Retry: true, Advice: "nothing: the frontend catches up by itself"},
	failure.Moved:          {Status: http.StatusServiceUnavailable, Retry: true, Advice: "nothing: the frontend catches up by itself"},
	failure.Forgotten:      {Status: http.StatusGatewayTimeout, Advice: "read the configuration: is the change in it?"},
}

// To returns the answer for a kind. An unknown kind is answered as failure.UnknownOutcome.
func To(kind failure.Kind) Answer {
	if kind >= failure.Kinds {
		kind = failure.UnknownOutcome
	}
	answer := table[kind]
	answer.Name = kind.String()
	return answer
}
