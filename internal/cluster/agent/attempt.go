package agent

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// attempt asks the shard's owner, and its successor if it has one, until one answers or ctx ends. An attempt is over
// before the next begins, and only the last one's result counts.
func (s *Service) attempt(ctx context.Context, shard protocol.ShardID, call func(context.Context) error) error {
	for {
		err := s.attemptOnce(ctx, shard, call)
		if err == nil || !worthAnother(err) {
			return err
		}
		s.owners.Refresh()
		if !s.pause(ctx) {
			return err
		}
	}
}

// attemptOnce asks the owner and gives up as soon as a successor is known, or when ctx ends.
func (s *Service) attemptOnce(ctx context.Context, shard protocol.ShardID, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watch(ctx, shard, cancel)
	defer watch.stop()
	return call(ctx)
}

// worthAnother tells whether another attempt may find an owner that can answer.
func worthAnother(err error) bool {
	switch failure.KindOf(err) {
	case failure.NotLeader, failure.Unavailable, failure.UnknownOutcome:
		return true
	}
	return false
}

// pause waits between two attempts and reports whether there is time for another.
func (s *Service) pause(ctx context.Context) bool {
	if until, ok := ctx.Deadline(); ok && s.clock.Until(until) < attemptPause+shortestAttempt {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-deadline.In(ctx, s.clock).After(attemptPause):
		return true
	}
}

// watch looks for a successor of the owner that an attempt asks. It costs a timer, and no more while owners answer.
type watch struct {
	service *Service
	clock   clockwork.Clock
	shard   protocol.ShardID
	asked   string // owner as known when the attempt began
	found   func()

	mutex   sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// watch calls found once a successor is known, not before patience is over.
func (s *Service) watch(ctx context.Context, shard protocol.ShardID, found func()) *watch {
	w := &watch{service: s, clock: deadline.In(ctx, s.clock), shard: shard, asked: s.owners.Owner(shard), found: found}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = w.clock.AfterFunc(patience, w.first)
	return w
}

// first asks for news of owners, and looks.
func (w *watch) first() {
	w.service.owners.Refresh()
	w.look()
}

func (w *watch) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	if owner := w.service.owners.Owner(w.shard); owner != "" && owner != w.asked {
		w.found()
		return
	}
	w.timer = w.clock.AfterFunc(successorPoll, w.look)
}

func (w *watch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
