package agent

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// callOwner calls the shard's owner until it responds, until an error makes another attempt useless, or until ctx ends.
// If the shard gets another owner, the next attempt calls the new owner. Attempts never overlap, and callOwner returns the
// result of the last attempt, so orders of an earlier attempt can't be mixed with it.
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

// callOwnerOnce makes one attempt. It cancels the attempt when it learns that the shard has another owner, or when ctx ends.
func (s *Service) callOwnerOnce(ctx context.Context, shard protocol.ShardID, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watchForSuccessor(ctx, shard, cancel)
	defer watch.stop()
	return call(ctx)
}

// isRetryable reports whether another attempt may succeed after err: the error says that the call reached no owner, or
// that its outcome is unknown. Other errors are the owner's answer.
func isRetryable(err error) bool {
	switch failure.KindOf(err) {
	case failure.NotLeader, failure.Unavailable, failure.UnknownOutcome:
		return true
	}
	return false
}

// waitToRetry pauses for attemptRetryInterval between two attempts. It returns false if ctx leaves less than minAttemptTime
// for another attempt after the pause, or ends during the pause.
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

// successorWatch detects during an attempt that the shard has a different owner than when the attempt began. If the owner
// responds within successorCheckDelay, the watch costs only a timer.
type successorWatch struct {
	service     *Service
	clock       clockwork.Clock
	shard       protocol.ShardID
	owner       string // address of the owner when the attempt began; empty: unknown
	onSuccessor func() // cancels the attempt

	mutex   sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// watchForSuccessor starts a watch that calls onSuccessor when the shard has another owner than now. It checks this for the
// first time after successorCheckDelay. The caller must stop the watch.
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

// refreshAndPoll requests the current owners once, and begins to check for a successor.
func (w *successorWatch) refreshAndPoll() {
	w.service.owners.Refresh()
	w.poll()
}

// poll calls onSuccessor if the shard has another owner, and otherwise checks again after successorPollInterval.
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

// stop ends the watch. onSuccessor is not called after it.
func (w *successorWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.timer.Stop()
}
