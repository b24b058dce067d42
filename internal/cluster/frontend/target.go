package frontend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
)

// target is the queue or job that a request is for, by one version of the configuration.
type target struct {
	view  *View
	route *Route
	id    string // the job's ID, which is the path after the route's prefix; empty: the request is for the queue
}

// findTarget returns the target of a request by the newest view. A newer version may have a queue with a longer prefix, for
// which the path is valid. The error is therefore NoRoute or Invalid only if this process's version was confirmed recently
// enough, and otherwise Unavailable.
func (s *Service) findTarget(ctx context.Context, arrived time.Time, r *http.Request) (target, error) {
	// Fresh is called before the view is read: a confirmation is about the view that was current when it arrived, and the
	// view that is read later is at least as new.
	fresh := s.Directory.Fresh(s.maxAgeExact)
	to, err := s.lookup(r)
	if err == nil {
		return to, nil
	}
	if !fresh {
		ctx, cancel := deadline.WithDeadline(ctx, s.Clock, arrived.Add(budget(clientWait(r), 0, maxQueryTime)))
		defer cancel()
		fresh = s.confirm(ctx, s.maxAgeExact)
		if to, err = s.lookup(r); err == nil {
			return to, nil
		}
	}
	if fresh {
		return target{}, err
	}
	return target{}, failure.New(failure.Unavailable, "the configuration was not confirmed in time: a newer version may have this queue")
}

// lookup returns the target of a request's host and path by the newest view.
func (s *Service) lookup(r *http.Request) (target, error) {
	view := s.Views.Current()
	route, id, ok := view.Table.Lookup(r.Host, r.URL.Path)
	if !ok {
		return target{}, failure.New(failure.NoRoute, "no queue has this host and path")
	}
	if id != "" && !isValidID(id) {
		return target{}, invalidIDError(id)
	}
	return target{view: view, route: route, id: id}, nil
}

// invalidIDError returns the error for a path that has something else than a job's ID after its prefix. A further slash
// makes it NoRoute, as no path below a job is served.
func invalidIDError(id string) error {
	if strings.Contains(id, "/") {
		return failure.New(failure.NoRoute, "there is nothing at this path")
	}
	return failure.Newf(failure.Invalid, "a job's ID must have %d hexadecimal digits", jobIDDigits)
}

// confirm reports whether this process's version of the configuration was confirmed at most maxAge ago. If it wasn't,
// confirm requests a confirmation and waits for it, up to confirmTimeout. Views that are read after that are of the
// confirmed version or a newer one.
func (s *Service) confirm(ctx context.Context, maxAge time.Duration) bool {
	return s.awaitConfirmation(ctx, func() bool { return s.Directory.Fresh(maxAge) })
}

// confirmSince reports the same about a confirmation that this process's version was the newest at that time or later.
func (s *Service) confirmSince(ctx context.Context, at time.Time) bool {
	return s.awaitConfirmation(ctx, func() bool { return s.Directory.ConfirmedSince(at) })
}

// awaitConfirmation requests confirmations until isConfirmed returns true, for confirmTimeout at most, and returns the last
// result of isConfirmed.
func (s *Service) awaitConfirmation(ctx context.Context, isConfirmed func() bool) bool {
	if isConfirmed() {
		return true
	}
	s.Directory.Refresh()
	ctx, cancel := deadline.WithTimeout(ctx, s.Clock, confirmTimeout)
	defer cancel()
	ticker := deadline.ClockFor(ctx, s.Clock).NewTicker(confirmPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return isConfirmed()
		case <-ticker.Chan():
			if isConfirmed() {
				return true
			}
			s.Directory.Refresh() // the watch in flight may have been sent before the time that must be confirmed
		}
	}
}
