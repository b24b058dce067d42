package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// DeadlineHeader has how long the client waits for its answer, in ms from the request's sending.
const DeadlineHeader = "Ospreypond-Deadline-Ms"

// Times that a request may take.
const (
	// answerMargin is kept for the answer's way back to the client.
	answerMargin = 150 * time.Millisecond
	// shortestTry is the least time that a request gets, whatever its deadline.
	shortestTry = 50 * time.Millisecond
	// handInTry is the longest time spent on trying owners for a hand-in. What the owners can't take by then is answered
	// at once, so that the client can come back while its job is still worth something.
	handInTry = 1200 * time.Millisecond
	// askTry is the same for states, cancels and counts.
	askTry = 1400 * time.Millisecond
	// defaultTimeout stands for a route's timeout and the client's wait where neither is known.
	defaultTimeout = 3 * time.Second
)

// clientWait returns how long the client waits, 0 if it doesn't say.
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

// budget returns how long a request may be tried from its arrival: most, or less where the client's wait or the route's
// timeout ends earlier. What is 0 doesn't bound.
func budget(wait, routeTimeout, most time.Duration) time.Duration {
	available := defaultTimeout
	if routeTimeout > 0 {
		available = routeTimeout
	}
	if wait > 0 {
		available = min(available, wait)
	}
	return min(max(available-answerMargin, shortestTry), most)
}

// over tells whether ctx has ended.
func over(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
		return false
	}
}
