package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ospreypond/internal/cluster/failure"
)

// DeadlineHeader is the request header that says how long the client waits for its response, in ms from sending the request.
const DeadlineHeader = "Ospreypond-Deadline-Ms"

// Times that a request may take. They count from the arrival of the request.
const (
	// responseMargin is the part of the client's wait that is reserved for the way of the response.
	responseMargin = 150 * time.Millisecond
	// minRequestTime is the least time for handling a request, also if its deadline is earlier.
	minRequestTime = 50 * time.Millisecond
	// maxSubmitTime bounds the time for a submission. If no owner has accepted the job by then, the client gets an error
	// early enough to submit the job again before it loses its value.
	maxSubmitTime = 1200 * time.Millisecond
	// maxQueryTime bounds the time for a query of a state or a count, and for a cancellation.
	maxQueryTime = 1400 * time.Millisecond
	// defaultTimeout is the timeout of a route without a timeout in the configuration.
	defaultTimeout = 3 * time.Second
)

// errTimeOver is the error of a request that has used up its time before a call of an owner. That call was certainly not
// made.
var errTimeOver = failure.New(failure.Unavailable, "the time for this request was over before the shard's owner was called")

// clientWait returns how long the client waits for its response. It returns 0 if the header is absent or invalid.
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

// budget returns for how long a request may be handled, from its arrival:
//
//	min(max(min(wait, routeTimeout) - responseMargin, minRequestTime), limit)
//
// A wait of 0 is unknown and doesn't count. A routeTimeout of 0 is not set and stands for defaultTimeout.
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
