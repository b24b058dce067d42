package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ospreypond/internal/cluster/failure"
)

// DeadlineHeader is the request header with the time that the client waits for its response, in ms from sending the request.
const DeadlineHeader = "Ospreypond-Deadline-Ms"

// Times that a request may take.
const (
	// responseMargin is reserved for the response's way back to the client.
	responseMargin = 150 * time.Millisecond
	// minRequestTime is the time that a request gets at least, whatever its deadline.
	minRequestTime = 50 * time.Millisecond
	// maxSubmitTime bounds the time spent on calling owners for a submission. If they can't accept the job by then, the
	// client learns so while there is time to come back before its job loses its value.
	maxSubmitTime = 1200 * time.Millisecond
	// maxQueryTime is the same for states, cancellations and counts.
	maxQueryTime = 1400 * time.Millisecond
	// defaultTimeout replaces a route's timeout that isn't set.
	defaultTimeout = 3 * time.Second
)

// errTimeOver is the error of a request that has used its time before the next call: that call certainly wasn't made.
var errTimeOver = failure.New(failure.Unavailable, "the time for this request is over")

// clientWait returns how long the client waits, 0 if it doesn't say so.
func clientWait(r *http.Request) time.Duration {
	values := r.Header[DeadlineHeader]
	if len(values) == 0 {
		return 0
	}
	ms, err := strconv.ParseInt(values[0], 10, 32)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// budget returns how long a request may be worked on from its arrival: limit, or less if the client's wait or the route's
// timeout ends earlier. A wait or timeout of 0 is unknown.
func budget(wait, routeTimeout, limit time.Duration) time.Duration {
	available := defaultTimeout
	if routeTimeout > 0 {
		available = routeTimeout
	}
	if wait > 0 {
		available = min(available, wait)
	}
	return min(max(available-responseMargin, minRequestTime), limit)
}

// isDone reports whether ctx has ended.
func isDone(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
