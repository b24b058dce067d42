// Package answers has the table from each kind of error to what a caller over HTTP is told.
package answers

import (
	"net/http"

	"ospreypond/internal/cluster/failure"
)

// Answer is what a caller is told for a kind.
type Answer struct {
	Name   string // the kind's, in logs and in bodies
	Status int    // HTTP status
	Retry  bool   // whether Retry-After is sent
	Advice string // what an operator can do
}

// row is an Answer without the name.
type row struct {
	status int
	retry  bool
	advice string
}

var rows = [failure.Kinds]row{
	failure.None:           {http.StatusOK, false, "nothing"},
	failure.NotLeader:      {http.StatusServiceUnavailable, true, "wait for the election; look at `shards`"},
	failure.Unavailable:    {http.StatusServiceUnavailable, true, "look at `members`: is a quorum running and connected?"},
	failure.Overloaded:     {http.StatusTooManyRequests, true, "add runners, or lower the load"},
	failure.UnknownOutcome: {http.StatusGatewayTimeout, false, "send the same request again: it is done once"},
	failure.Invalid:        {http.StatusBadRequest, false, "correct what the message names"},
	failure.Conflict:       {http.StatusPreconditionFailed, false, "read the configuration and build on its version"},
	failure.TooLarge:       {http.StatusRequestEntityTooLarge, false, "send less, or raise the limit"},
	failure.NoRoute:        {http.StatusNotFound, false, "check host and path against the configuration"},
	failure.Gone:           {http.StatusGone, false, "the job is unknown, or was forgotten after its time"},
	failure.Stale:          {http.StatusServiceUnavailable, true, "nothing: the frontend catches up by itself"},
	failure.Moved:          {http.StatusServiceUnavailable, true, "nothing: the frontend catches up by itself"},
	failure.Forgotten:      {http.StatusGatewayTimeout, false, "read the configuration: is the change in it?"},
}

// To returns the answer for a kind; an unknown kind is answered as failure.UnknownOutcome.
func To(kind failure.Kind) Answer {
	if kind >= failure.Kinds {
		kind = failure.UnknownOutcome
	}
	told := rows[kind]
	return Answer{Name: kind.String(), Status: told.status, Retry: told.retry, Advice: told.advice}
}
