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

// staleRetryInterval bounds the wait of a submission for a newer configuration. After it, the submission calls the owner
// again.
const staleRetryInterval = 250 * time.Millisecond

// serveSubmit submits a job and responds once a shard has accepted it.
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

// unlessLimitRaised returns the error that a client gets for a body that could not be read because of err. TooLarge is
// final, so it stays only if no newer version of the configuration can allow the body: this process's version is
// confirmed, and has not raised the limit since the request arrived. Otherwise the client is asked to retry.
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

// submit submits a job to the owner of its queue's shard. The error Stale or Moved says that the queue belongs to another
// service or shard by a version of the configuration that the owner or another frontend has; see the package's comment.
// submit then waits for a newer version and starts again by it. Without a newer version it starts again after
// staleRetryInterval, because the owner's version may be the older one.
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

// awaitNewer waits up to staleRetryInterval for a view of a higher version, and reports whether the submission should be
// tried again: there is such a view, or ctx leaves time.
func (s *Service) awaitNewer(ctx context.Context, version uint64) bool {
	waiting, cancel := deadline.WithTimeout(ctx, s.Clock, staleRetryInterval)
	defer cancel()
	return s.Views.awaitNewerThan(waiting, version) || !s.isLate(ctx)
}

// isLate reports whether ctx has ended, or its deadline has passed by the clock. The context ends a moment after that.
func (s *Service) isLate(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return isDone(ctx) || hasDeadline && s.Clock.Until(deadline) <= 0
}

// confirmForSubmit waits for a confirmation no older than maxAgeNormal. Without one it returns an error if the
// confirmation of this process's configuration is older than maxAgeSubmit: the job's queue may have been dropped long
// ago. A newer confirmation than that need not be exact, as the owner checks the version that the submission carries.
func (s *Service) confirmForSubmit(ctx context.Context) error {
	if s.confirm(ctx, s.maxAgeNormal) || s.Directory.Fresh(s.maxAgeSubmit) {
		return nil
	}
	return failure.New(failure.Unavailable, "the configuration of this frontend may be out of date: it was not confirmed recently")
}

// submitTo submits a job to the current shard of its queue. Before that it fences the job's ID at each earlier shard of the
// queue, one after the other. If an earlier shard has the job already, the job is not submitted again. Invariant: at most
// one shard accepts the job.
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

// notSubmitted returns the error of a submission after a fence request has failed with err. No shard has accepted the job
// in this attempt, whether or not the promise was committed. An unknown outcome therefore becomes Unavailable.
func notSubmitted(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "no response from an earlier shard of the queue: %v", err)
	}
	return err
}
