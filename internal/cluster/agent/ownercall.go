package agent

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// callOwner calls the shard's owner, and its successor if it gets one, until one responds or ctx ends. An attempt is over
// before the next begins, and only the result of the last one counts.
func (s *Service) callOwner(ctx context.Context, shard protocol.ShardID, call func(context.Context) error) error {
	for {
		err := s.callOwnerOnce(ctx, shard, call)
		if err == nil || !isRetryable(err) {
			return err
		}
		s.owners.Refresh()
		if !s.waitToRetry(ctx) {
			return err
		}
	}
}

// callOwnerOnce calls the owner and gives up as soon as a successor is known, or when ctx ends.
func (s *Service) callOwnerOnce(ctx context.Context, shard protocol.ShardID, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watchForSuccessor(ctx, shard, cancel)
	defer watch.stop()
	return call(ctx)
}

// isRetryable reports whether another attempt may reach an owner that can respond.
func isRetryable(err error) bool {
	switch failure.KindOf(err) {
	case failure.NotLeader, failure.Unavailable, failure.UnknownOutcome:
		return true
	}
	return false
}

// waitToRetry waits between two attempts and reports whether there is time for another.
func (s *Service) waitToRetry(ctx context.Context) bool {
	if until, ok := ctx.Deadline(); ok && s.clock.Until(until) < attemptRetryInterval+minAttemptTime {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-deadline.ClockFor(ctx, s.clock).After(attemptRetryInterval):
		return true
	}
}

// successorWatch checks whether the owner that an attempt calls has got a successor. While owners respond in time it
// costs no more than a timer.
type successorWatch struct {
	service     *Service
	clock       clockwork.Clock
	shard       protocol.ShardID
	owner       string // as known when the attempt began
	onSuccessor func()

	mutex   sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// watchForSuccessor calls onSuccessor once a successor is known, after successorCheckDelay at the earliest. The watch must
// be stopped.
func (s *Service) watchForSuccessor(ctx context.Context, shard protocol.ShardID, onSuccessor func()) *successorWatch {
	w := &successorWatch{
		service:     s,
		clock:       deadline.ClockFor(ctx, s.clock),
		shard:       shard,
		owner:       s.owners.Owner(shard),
		onSuccessor: onSuccessor,
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = w.clock.AfterFunc(successorCheckDelay, w.refreshAndPoll)
	return w
}

func (w *successorWatch) refreshAndPoll() {
	w.service.owners.Refresh()
	w.poll()
}

func (w *successorWatch) poll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped {
		return
	}
	if owner := w.service.owners.Owner(w.shard); owner != "" && owner != w.owner {
		w.onSuccessor()
		return
	}
	w.timer = w.clock.AfterFunc(successorPollInterval, w.poll)
}

func (w *successorWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
