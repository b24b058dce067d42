package frontend

import (
	"context"
	"net/http"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// staleRetryInterval is how long a submission waits for a newer configuration before its owner is called again.
const staleRetryInterval = 250 * time.Millisecond

// serveSubmit accepts a job.
func (s *Service) serveSubmit(ctx context.Context, w *closingWriter, r *http.Request, arrived time.Time, to target) {
	body, err := httpjson.ReadBody(w.Unwrap(), r, to.view.maxBodyBytes())
	if err != nil {
		httpjson.WriteError(w, s.unlessLimitRaised(ctx, r, arrived, to, err))
		return
	}
	spec, err := parseSpec(body)
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxSubmitTime)
	defer cancel()
	if err := s.submit(ctx, arrived, r, spec); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
}

// unlessLimitRaised returns the error for a body that wasn't read. It is TooLarge only if no version unknown here may allow
// the body.
func (s *Service) unlessLimitRaised(ctx context.Context, r *http.Request, arrived time.Time, to target, err error) error {
	if failure.KindOf(err) != failure.TooLarge {
		return err
	}
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxSubmitTime)
	defer cancel()
	if !s.confirm(ctx, s.maxAgeExact) || s.Views.Current().maxBodyBytes() > to.view.maxBodyBytes() {
		return failure.New(failure.Unavailable, "a newer configuration may allow a body of this size")
	}
	return err
}

// submit carries a job to the owner of its queue's shard. If the owner knows another configuration than this process, it
// starts again as soon as a newer one has arrived, or a little later: the owner may be the one that is behind.
func (s *Service) submit(ctx context.Context, arrived time.Time, r *http.Request, spec *protocol.JobSpec) error {
	if err := s.confirmForSubmit(ctx); err != nil {
		return err
	}
	for {
		to, err := s.findTarget(ctx, arrived, r)
		if err != nil {
			return err
		}
		err = s.submitTo(ctx, to, spec)
		switch failure.KindOf(err) {
		case failure.Stale, failure.Moved:
			s.Directory.Refresh()
			if !s.awaitNewer(ctx, to.view.Version) {
				return err
			}
		default:
			return err
		}
	}
}

// awaitNewer waits up to staleRetryInterval for a view above version, and reports whether there is time for another attempt.
func (s *Service) awaitNewer(ctx context.Context, version uint64) bool {
	waiting, cancel := deadline.WithTimeout(ctx, s.Clock, staleRetryInterval)
	defer cancel()
	return s.Views.awaitNewerThan(waiting, version) || !s.isLate(ctx)
}

// isLate reports whether ctx has ended, or its deadline has passed by the clock and it is about to.
func (s *Service) isLate(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return isDone(ctx) || hasDeadline && s.Clock.Until(deadline) <= 0
}

// confirmForSubmit rejects a job only if the configuration here is so old that the job's queue may long have been dropped.
// The owner checks the rest by the version that goes with the job.
func (s *Service) confirmForSubmit(ctx context.Context) error {
	if s.confirm(ctx, s.maxAgeNormal) || s.Directory.Fresh(s.maxAgeSubmit) {
		return nil
	}
	return failure.New(failure.Unavailable, "the configuration of this frontend may be out of date")
}

// submitTo submits the job to the owner of the target's shard, after all shards that may have accepted it earlier have
// either answered that they have it or promised never to accept it.
func (s *Service) submitTo(ctx context.Context, to target, spec *protocol.JobSpec) error {
	for _, earlier := range to.route.Shards[1:] {
		fence := &protocol.FenceRequest{Shard: earlier, ID: to.id, ConfigurationVersion: to.view.Version}
		response, err := s.Owners.Fence(ctx, fence)
		if err != nil {
			return notSubmitted(err)
		}
		if response.HasJob {
			return nil
		}
	}
	if isDone(ctx) {
		return errTimeOver
	}
	_, err := s.Owners.Submit(ctx, &protocol.SubmitRequest{
		Shard:                to.route.Shards[0],
		ID:                   to.id,
		Queue:                to.route.Queue,
		Job:                  *spec,
		ConfigurationVersion: to.view.Version,
	})
	return err
}

// notSubmitted returns the error of a submission that ended at a fence: whether or not the promise was committed, no shard
// has accepted the job.
func notSubmitted(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "an earlier shard of the queue does not respond: %v", err)
	}
	return err
}
