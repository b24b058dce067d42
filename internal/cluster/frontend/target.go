package frontend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
)

// target is where a request goes by one version of the configuration.
type target struct {
	view  *View
	route *Route
	id    string // of the job: what follows the route's prefix; empty: the queue itself
}

// findTarget returns a request's target by the newest view. The error is NoRoute or Invalid only if no version unknown here
// may have a target: a newer one may have a queue with a longer prefix.
func (s *Service) findTarget(ctx context.Context, arrived time.Time, r *http.Request) (target, error) {
	// Freshness is read before the view: a confirmation is about the view that was in force when it arrived.
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
	return target{}, failure.New(failure.Unavailable, "it is not known whether a newer configuration has this queue")
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

// invalidIDError returns what is wrong with the part of a path after its prefix: below a job there is nothing.
func invalidIDError(id string) error {
	if strings.Contains(id, "/") {
		return failure.New(failure.NoRoute, "there is nothing at this path")
	}
	return failure.Newf(failure.Invalid, "a job's ID has %d hex digits", jobIDDigits)
}

// confirm makes sure that the configuration here was confirmed at most maxAge ago. It waits for a confirmation, up to
// confirmTimeout, and reports whether there is one. Views that are read afterwards are at least as new as it.
func (s *Service) confirm(ctx context.Context, maxAge time.Duration) bool {
	return s.awaitConfirmation(ctx, func() bool { return s.Directory.Fresh(maxAge) })
}

// confirmSince is confirm for a confirmation of what was in force at that time or later.
func (s *Service) confirmSince(ctx context.Context, at time.Time) bool {
	return s.awaitConfirmation(ctx, func() bool { return s.Directory.ConfirmedSince(at) })
}

// awaitConfirmation asks for confirmations until isConfirmed, up to confirmTimeout, and returns its last result.
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
			s.Directory.Refresh() // a watch that was in flight already may have been sent too early
		}
	}
}
