package frontend

import (
	"context"
	"net/http"
	"time"

	"ospreypond/internal/deadline"
	"ospreypond/internal/failure"
)

// target is where a request goes, by one view.
type target struct {
	view  *View
	route *Route
	id    string // what follows the prefix
}

// find returns a request's target by the newest view. That there is no such queue is said only if no unseen version
// may have it.
func (s *Service) find(ctx context.Context, arrived time.Time, r *http.Request) (target, error) {
	// Freshness is looked at before the view: a confirmation tells about the view that was in force when it came.
	fresh := s.Directory.Fresh(s.exact)
	found, ok := s.lookup(r)
	if ok {
		return found, nil
	}
	if !fresh {
		ctx, cancel := deadline.WithDeadline(ctx, s.Clock, arrived.Add(budget(clientWait(r), 0, askTry)))
		defer cancel()
		fresh = s.confirm(ctx, s.exact)
		if found, ok = s.lookup(r); ok {
			return found, nil
		}
	}
	if fresh {
		return target{}, failure.New(failure.NoRoute, "no queue has this host and path")
	}
	return target{}, failure.New(failure.Unavailable, "it is not known whether a newer configuration has this queue")
}

func (s *Service) lookup(r *http.Request) (target, bool) {
	view := s.Views.Current()
	route, id, ok := view.Table.Lookup(r.Host, r.URL.Path)
	return target{view: view, route: route, id: id}, ok
}

// confirm asks for a confirmation that isn't older than within, waits for it for a short time and reports whether it
// is there. Views seen after it are at least as new as the confirmation.
func (s *Service) confirm(ctx context.Context, within time.Duration) bool {
	if s.Directory.Fresh(within) {
		return true
	}
	s.Directory.Refresh()
	ctx, cancel := deadline.WithTimeout(ctx, s.Clock, confirmWait)
	defer cancel()
	ticker := s.Clock.NewTicker(confirmPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.Directory.Fresh(within)
		case <-ticker.Chan():
			if s.Directory.Fresh(within) {
				return true
			}
		}
	}
}
