package frontend

import (
	"context"
	"net/http"
	"strings"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
)

// target is where a request goes, by one view.
type target struct {
	view  *View
	route *Route
	id    string // what follows the prefix
}

// find returns a request's target by the newest view. That there is no such queue, or nothing at the path below it, is
// said only if no unseen version may have it: a newer one may have a queue with a longer prefix.
func (s *Service) find(ctx context.Context, arrived time.Time, r *http.Request) (target, error) {
	// Freshness is looked at before the view: a confirmation tells about the view that was in force when it came.
	fresh := s.Directory.Fresh(s.exact)
	found, err := s.lookup(r)
	if err == nil {
		return found, nil
	}
	if !fresh {
		ctx, cancel := deadline.WithDeadline(ctx, s.Clock, arrived.Add(budget(clientWait(r), 0, askTry)))
		defer cancel()
		fresh = s.confirm(ctx, s.exact)
		if found, err = s.lookup(r); err == nil {
			return found, nil
		}
	}
	if fresh {
		return target{}, err
	}
	return target{}, failure.New(failure.Unavailable, "it is not known whether a newer configuration has this queue")
}

// lookup returns what the newest view has at a request's path.
func (s *Service) lookup(r *http.Request) (target, error) {
	view := s.Views.Current()
	route, id, ok := view.Table.Lookup(r.Host, r.URL.Path)
	if !ok {
		return target{}, failure.New(failure.NoRoute, "no queue has this host and path")
	}
	if id != "" && !validID(id) {
		return target{}, badID(id)
	}
	return target{view: view, route: route, id: id}, nil
}

// badID tells what is wrong with a path after its prefix: below a job there is nothing.
func badID(id string) error {
	if strings.Contains(id, "/") {
		return failure.New(failure.NoRoute, "there is nothing at this path")
	}
	return failure.Newf(failure.Invalid, "a job's name has %d hex digits", idDigits)
}

// confirm asks for a confirmation that isn't older than within, waits for it for a short time and reports whether it
// is there. Views seen after it are at least as new as the confirmation.
func (s *Service) confirm(ctx context.Context, within time.Duration) bool {
	return s.await(ctx, func() bool { return s.Directory.Fresh(within) })
}

// confirmSince is confirm for a confirmation of what is in force at or after a time.
func (s *Service) confirmSince(ctx context.Context, at time.Time) bool {
	return s.await(ctx, func() bool { return s.Directory.ConfirmedSince(at) })
}

// await asks for a confirmation until there is one as wanted, for a short time, and reports whether there is.
func (s *Service) await(ctx context.Context, confirmed func() bool) bool {
	if confirmed() {
		return true
	}
	s.Directory.Refresh()
	ctx, cancel := deadline.WithTimeout(ctx, s.Clock, confirmWait)
	defer cancel()
	ticker := deadline.In(ctx, s.Clock).NewTicker(confirmPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return confirmed()
		case <-ticker.Chan():
			if confirmed() {
				return true
			}
			s.Directory.Refresh() // a question that was on its way already may have left too early
		}
	}
}
